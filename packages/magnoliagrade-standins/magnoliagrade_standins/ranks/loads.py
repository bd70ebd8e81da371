"""The experts that a rank holds and is loading."""

import numpy as np
from magnoliagrade.algorithms.balance import unpack_placement

__all__ = ["RankLoads"]


class RankLoads:
    """Maps that a rank has loaded or is loading from the weight store.

    Parameters
    ----------
    index : int
        Rank.
    store : WeightStore
        Where experts come from.
    expert_bytes : int
        Size of one expert of one layer.
    """

    __slots__ = ("_expert_bytes", "_held", "_index", "_load_by_version", "_store")

    def __init__(self, *, index, store, expert_bytes):
        self._index = index
        self._store = store
        self._expert_bytes = expert_bytes
        self.forget()

    def forget(self):
        """Lose everything, as when the rank restarts."""
        self._held = None
        self._load_by_version = {}

    def load(self, version, packed_map):
        """Load what a map needs; return whether it is all there."""
        self._store.progress()
        load = self._load_by_version.get(version)
        if load is not None and load.has_failed:
            self._load_by_version[version] = self._store.submit(
                load.kind, load.bytes_left
            )
        elif load is None:
            wanted = unpack_placement(packed_map)[:, self._index]
            held = np.zeros_like(wanted) if self._held is None else self._held
            missing = int((wanted & ~held).sum())
            kind = "model" if self._held is None else "expert"
            self._held = wanted | held
            self._load_by_version[version] = self._store.submit(
                kind, missing * self._expert_bytes
            )
        return self._load_by_version[version].is_done
