"""A weight store whose rate all loads share; models go before experts."""

from dataclasses import dataclass

__all__ = ["WeightLoad", "WeightStore"]


@dataclass(slots=True, kw_only=True)
class WeightLoad:
    """One load in progress.

    Parameters
    ----------
    kind : str
        `model` at a cold start, or `expert` for rebalancing.
    bytes_left : float
        Bytes that have not arrived yet.
    has_failed : bool
        Whether it has broken off.
    """

    kind: str
    bytes_left: float
    has_failed: bool = False

    @property
    def is_done(self):
        """Whether everything has arrived."""
        return self.bytes_left <= 0


class WeightStore:
    """Loads in order of their kind, then of their arrival.

    Parameters
    ----------
    clock : Clock
        Source of time.
    bytes_per_s : float
        Rate of all loads together.

    Examples
    --------
    >>> from magnoliagrade.clock import ManualClock
    >>> store = WeightStore(clock=ManualClock(), bytes_per_s=100.0)
    >>> store.submit("expert", 0).is_done
    True
    """

    __slots__ = ("_at", "_clock", "_loads", "bytes_loaded_by_kind", "bytes_per_s")

    def __init__(self, *, clock, bytes_per_s):
        self._clock = clock
        self._at = clock.monotonic()
        self._loads = []
        self.bytes_per_s = bytes_per_s
        self.bytes_loaded_by_kind = {"model": 0.0, "expert": 0.0}

    def submit(self, kind, size_bytes):
        """Begin a load and return it."""
        self.progress()
        load = WeightLoad(kind=kind, bytes_left=float(size_bytes))
        self._loads.append(load)
        self._loads.sort(key=lambda k: k.kind != "model")
        return load

    def progress(self):
        """Hand out the bytes of the time that has passed."""
        now = self._clock.monotonic()
        free = (now - self._at) * self.bytes_per_s
        self._at = now
        for load in self._loads:
            given = min(free, load.bytes_left)
            load.bytes_left -= given
            free -= given
            self.bytes_loaded_by_kind[load.kind] += given
        self._loads = [k for k in self._loads if not k.is_done]
