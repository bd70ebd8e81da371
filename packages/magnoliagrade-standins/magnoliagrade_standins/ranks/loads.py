"""Experts that a rank holds or is loading."""

import numpy as np
from magnoliagrade.algorithms.balance import unpack_placement

__all__ = ["RankLoads"]


class RankLoads:
    """Loads of a rank from the weight store, one for each expert map.

    Parameters
    ----------
    index : int
        Index of the rank.
    store : WeightStore or WeightClient
        Weight store from which experts are loaded.
    expert_bytes : int
        Size of one expert of one layer, in bytes.
    """

    __slots__ = (
        "_expert_bytes",
        "_held_experts",
        "_index",
        "_load_by_version",
        "_store",
    )

    def __init__(self, *, index, store, expert_bytes):
        self._index = index
        self._store = store
        self._expert_bytes = expert_bytes
        self.clear()

    def clear(self):
        """Clear all held experts and loads, as on a restart of the rank."""
        self._held_experts = None
        self._load_by_version = {}

    def load(self, version, packed_map):
        """Start or retry the load of a map's experts; return whether it is complete.

        The load covers only experts that the rank does not hold. The first load after a
        restart is of kind `model`, further loads are of kind `expert`.
        """
        self._store.progress()
        load = self._load_by_version.get(version)
        if load is not None and load.has_failed:
            self._load_by_version[version] = self._store.submit(
                load.kind, load.bytes_left
            )
        elif load is None:
            wanted = unpack_placement(packed_map)[:, self._index]
            held = (
                np.zeros_like(wanted)
                if self._held_experts is None
                else self._held_experts
            )
            missing = int((wanted & ~held).sum())
            kind = "model" if self._held_experts is None else "expert"
            self._held_experts = wanted | held
            self._load_by_version[version] = self._store.submit(
                kind, missing * self._expert_bytes
            )
        return self._load_by_version[version].is_done
