"""Stand-in for the platform's list of instances, which lags behind changes."""

__all__ = ["ListedInstances"]


class ListedInstances:
    """Rows of instances; a change becomes visible after a lag.

    Parameters
    ----------
    clock : Clock
        Source of time.
    lag_s : float
        Time until a change becomes visible, in seconds.
    """

    __slots__ = ("_changes", "_clock", "_row_by_name", "lag_s")

    def __init__(self, *, clock, lag_s=0.0):
        self._clock = clock
        self.lag_s = lag_s
        self._row_by_name = {}
        self._changes = []

    def set_row(self, name, row):
        """Set the row of an instance once the lag has passed.

        Parameters
        ----------
        name : str
            Name of the instance.
        row : dict or None
            Fields `role`, `data_centre`, `control_address` and `state`; None removes
            the row.
        """
        visible_at = self._clock.monotonic() + self.lag_s
        self._changes.append((visible_at, name, row))

    def rows(self):
        """Return the rows that are visible now, sorted by name."""
        now = self._clock.monotonic()
        while self._changes and self._changes[0][0] <= now:
            _, name, row = self._changes.pop(0)
            self._row_by_name.pop(name, None)
            if row is not None:
                self._row_by_name[name] = {**row, "name": name}
        return [self._row_by_name[n] for n in sorted(self._row_by_name)]
