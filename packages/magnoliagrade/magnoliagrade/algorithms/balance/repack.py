"""Placement from nothing: replicate hot experts, then longest time first."""

import heapq

import numpy as np

__all__ = ["repack"]


def repack(rates, *, speeds, slots):
    """Return a balanced placement that knows no earlier one.

    Parameters
    ----------
    rates : ndarray of shape (layers, experts)
        Tokens of each expert.
    speeds : ndarray of shape (ranks,)
        Speed of each rank.
    slots : int
        Experts of a layer that a rank holds at most.

    Returns
    -------
    placement : ndarray of bool, shape (layers, ranks, experts)
        The placement.

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
    free = np.full(len(speeds), slots)
    for expert in np.argsort(-shares, kind="stable"):
        for _ in range(replicas[expert]):
            finish = (loads + shares[expert]) / speeds
            finish[(free == 0) | placement[:, expert]] = np.inf
            rank = int(np.argmin(finish))
            if np.isinf(finish[rank]):
                break
            placement[rank, expert] = True
            loads[rank] += shares[expert]
            free[rank] -= 1
