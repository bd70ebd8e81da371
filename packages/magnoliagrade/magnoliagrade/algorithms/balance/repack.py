"""New placement: replicate the most loaded experts, then pack largest share first."""

import heapq

import numpy as np

__all__ = ["repack"]


def repack(rates, *, speeds, slots):
    """Return a balanced placement, computed without regard to the current one.

    Parameters
    ----------
    rates : ndarray of shape (layers, experts)
        Tokens per unit of time that each expert processes.
    speeds : ndarray of shape (ranks,)
        Relative speed of each rank.
    slots : int
        Maximum number of experts of a layer on one rank.

    Returns
    -------
    placement : ndarray of bool, shape (layers, ranks, experts)
        Placement of the experts.

    Notes
    -----
    O(layers x replicas x ranks).
    """
    layers, experts = rates.shape
    ranks = len(speeds)
    placement = np.zeros((layers, ranks, experts), dtype=bool)
    for layer in range(layers):
        replicas = _replicas(rates[layer], ranks=ranks, spare=ranks * slots - experts)
        _pack(placement[layer], rates[layer] / replicas, replicas, speeds, slots)
    return placement


def _replicas(rates, *, ranks, spare):
    replicas = np.ones(len(rates), dtype=int)
    heap = [(-rate, expert) for expert, rate in enumerate(rates)]
    heapq.heapify(heap)
    for _ in range(spare):
        _, expert = heapq.heappop(heap)
        replicas[expert] += 1
        if replicas[expert] < ranks:
            heapq.heappush(heap, (-rates[expert] / replicas[expert], expert))
        if not heap:
            break
    return replicas


def _pack(placement, shares, replicas, speeds, slots):
    loads = np.zeros(len(speeds))
    free_slots = np.full(len(speeds), slots)
    for expert in np.argsort(-shares, kind="stable"):
        for _ in range(replicas[expert]):
            times_if_added = (loads + shares[expert]) / speeds
            times_if_added[(free_slots == 0) | placement[:, expert]] = np.inf
            rank = int(np.argmin(times_if_added))
            # All ranks with a free slot hold the expert already. Its remaining replicas
            # are left out; the first replica always finds a free slot.
            if np.isinf(times_if_added[rank]):
                break
            placement[rank, expert] = True
            loads[rank] += shares[expert]
            free_slots[rank] -= 1
