"""Proof that an engine has not restarted unseen."""

__all__ = ["BootContinuity"]


class BootContinuity:
    """Whether the engine that runs now is known to be the one that grew warm.

    Parameters
    ----------
    has_reports : bool
        Whether the endpoint gives load reports; without them only broken
        connections tell of a restart.

    Notes
    -----
    A restart breaks every running request, so an unbroken chain of overlapping
    requests shows that there was none while it lasted. A load report whose snapshot
    was taken during the chain names the boot it belongs to. Between two chains the
    engine may restart without any sign until a report says so; the limit above the
    cold one must not be used before that.

    Examples
    --------
    >>> continuity = BootContinuity(has_reports=True)
    >>> continuity.on_confirmed(continuity.epoch, at=1.0)
    >>> continuity.on_report("boot-1", snapshot_at=0.5)
    False
    >>> continuity.is_proven
    False
    >>> continuity.on_report("boot-1", snapshot_at=1.2)
    False
    >>> continuity.is_proven
    True
    >>> continuity.on_report("boot-2", snapshot_at=1.4)
    True
    >>> continuity.is_proven
    False
    """

    __slots__ = (
        "_chain_since",
        "_confirmed",
        "_has_reports",
        "_proven",
        "boot_id",
        "epoch",
    )

    def __init__(self, *, has_reports):
        self._has_reports = has_reports
        self._chain_since = None
        self._confirmed = 0
        self._proven = False
        self.boot_id = ""
        self.epoch = 0

    @property
    def is_proven(self):
        """Whether the running engine is known to be the one that grew warm."""
        return self._proven or not self._has_reports

    def on_confirmed(self, epoch, *, at):
        """Note that the engine has begun to answer a request of an epoch."""
        if epoch != self.epoch:
            return
        if not self._confirmed:
            self._chain_since = at
        self._confirmed += 1

    def on_ended(self, epoch):
        """Note that a confirmed request of an epoch has ended."""
        if epoch != self.epoch:
            return
        self._confirmed -= 1
        if not self._confirmed:
            self._proven = False

    def on_cold(self):
        """Begin a new epoch; requests of older ones prove nothing any more."""
        self.epoch += 1
        self._confirmed = 0
        self._proven = False

    def on_report(self, boot_id, *, snapshot_at):
        """Take a load report; return whether it shows a new boot.

        Parameters
        ----------
        boot_id : str
            Boot that the report names.
        snapshot_at : float
            Earliest monotonic time at which the report can have been made.
        """
        is_new = bool(self.boot_id) and boot_id != self.boot_id
        self.boot_id = boot_id
        if is_new:
            self.on_cold()
        elif self._confirmed and snapshot_at >= self._chain_since:
            self._proven = True
        return is_new
