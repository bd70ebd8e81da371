"""A weight store with one rate for all loads; models load before experts."""

from dataclasses import dataclass

__all__ = ["WeightLoad", "WeightStore"]


@dataclass(slots=True, kw_only=True)
class WeightLoad:
    """A load from the weight store.

    Parameters
    ----------
    kind : str
        `model` for a cold start, `expert` for rebalancing.
    bytes_left : float
        Bytes that have not been loaded yet.
    has_failed : bool
        Whether the load has failed before it was complete.
    """

    kind: str
    bytes_left: float
    has_failed: bool = False

    @property
    def is_done(self):
        """Return whether all bytes have been loaded."""
        return self.bytes_left <= 0


class WeightStore:
    """Rate-limited store that serves models first, then in order of submission.

    Parameters
    ----------
    clock : Clock
        Source of time.
    bytes_per_s : float
        Total rate of all loads, in bytes per second.

    Examples
    --------
    >>> from magnoliagrade.clock import ManualClock
    >>> store = WeightStore(clock=ManualClock(), bytes_per_s=100.0)
    >>> store.submit("expert", 0).is_done
    True
    """

    __slots__ = (
        "_clock",
        "_loads",
        "_progressed_at",
        "bytes_loaded_by_kind",
        "bytes_per_s",
    )

    def __init__(self, *, clock, bytes_per_s):
        self._clock = clock
        self._progressed_at = clock.monotonic()
        self._loads = []
        self.bytes_per_s = bytes_per_s
        self.bytes_loaded_by_kind = {"model": 0.0, "expert": 0.0}

    def submit(self, kind, size_bytes):
        """Start a load and return it.

        Parameters
        ----------
        kind : str
            `model` or `expert`.
        size_bytes : int
            Bytes to load.
        """
        self.progress()
        load = WeightLoad(kind=kind, bytes_left=float(size_bytes))
        self._loads.append(load)
        self._loads.sort(key=lambda k: k.kind != "model")
        return load

    def progress(self):
        """Distribute the bytes of the time since the last call among the loads."""
        now = self._clock.monotonic()
        budget_bytes = (now - self._progressed_at) * self.bytes_per_s
        self._progressed_at = now
        for load in self._loads:
            loaded_bytes = min(budget_bytes, load.bytes_left)
            load.bytes_left -= loaded_bytes
            budget_bytes -= loaded_bytes
            self.bytes_loaded_by_kind[load.kind] += loaded_bytes
        self._loads = [k for k in self._loads if not k.is_done]
