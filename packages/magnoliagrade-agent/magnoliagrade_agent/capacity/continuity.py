"""Detection of engine restarts that happen between requests."""

__all__ = ["BootContinuity"]


class BootContinuity:
    """Tracks whether the running engine is known to be the one that warmed up.

    Parameters
    ----------
    has_reports : bool
        Whether the endpoint provides load reports. Without them, a restart shows
        only by broken connections.

    Attributes
    ----------
    boot_id : str
        Boot that the newest load report names; empty before the first.
    epoch : int
        Counter that increases whenever the endpoint turns cold.

    Notes
    -----
    A restart breaks every running request. An unbroken chain of overlapping requests
    therefore proves that the engine did not restart during it, and a load report
    whose snapshot was taken during the chain names the boot of that engine. Between
    two chains the engine may restart unnoticed until the next report. The limit
    above the cold limit must not be used before that report.

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
        "_chain_began_at",
        "_confirmed_count",
        "_has_reports",
        "_is_proven",
        "boot_id",
        "epoch",
    )

    def __init__(self, *, has_reports):
        self._has_reports = has_reports
        self._chain_began_at = None
        self._confirmed_count = 0
        self._is_proven = False
        self.boot_id = ""
        self.epoch = 0

    @property
    def is_proven(self):
        """Whether the running engine is known to be the one that warmed up."""
        return self._is_proven or not self._has_reports

    def on_confirmed(self, epoch, *, at):
        """Record that the engine began to respond to a request of an epoch."""
        if epoch != self.epoch:
            return
        if not self._confirmed_count:
            self._chain_began_at = at
        self._confirmed_count += 1

    def on_ended(self, epoch):
        """Record the end of a confirmed request of an epoch."""
        if epoch != self.epoch:
            return
        self._confirmed_count -= 1
        if not self._confirmed_count:
            self._is_proven = False

    def on_cold(self):
        """Begin a new epoch; requests of older epochs no longer prove anything."""
        self.epoch += 1
        self._confirmed_count = 0
        self._is_proven = False

    def on_report(self, boot_id, *, snapshot_at):
        """Process a load report and return whether it shows a new boot.

        Parameters
        ----------
        boot_id : str
            Boot that the report names.
        snapshot_at : float
            Earliest monotonic time, in seconds, at which the report's snapshot can
            have been taken.

        Returns
        -------
        is_new : bool
            Whether an earlier report named another boot.
        """
        is_new = bool(self.boot_id) and boot_id != self.boot_id
        self.boot_id = boot_id
        if is_new:
            self.on_cold()
        elif self._confirmed_count and snapshot_at >= self._chain_began_at:
            self._is_proven = True
        return is_new
