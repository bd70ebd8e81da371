"""Single changes of a layer's placement that shorten its step."""

from dataclasses import dataclass

import numpy as np

__all__ = ["PlacementChange", "apply_change", "best_change"]

# Bounds of the search for one change: most loaded experts of the slowest rank, fastest
# ranks that may load one, and swaps with each of these ranks.
MAX_EXPERTS_TRIED = 4
MAX_TARGET_RANKS_TRIED = 4
MAX_SWAPS_TRIED = 3
# High enough that the power mean of the ranks' times is close to their maximum.
POWER_MEAN_EXPONENT = 16


@dataclass(slots=True, kw_only=True)
class PlacementChange:
    """Experts that ranks load and drop in one layer.

    Parameters
    ----------
    added : tuple of tuple of int
        Pairs of rank and expert to load.
    dropped : tuple of tuple of int
        Pairs of rank and expert to drop.
    gain : float
        Reduction of the power mean of the ranks' times, in the unit of the rates.
    """

    added: tuple
    dropped: tuple
    gain: float

    @property
    def gain_per_transfer(self):
        """Return the gain divided by the number of experts to load."""
        return self.gain / len(self.added)


def apply_change(placement, change):
    """Apply a change to one layer's placement, in place."""
    for rank, expert in change.dropped:
        placement[rank, expert] = False
    for rank, expert in change.added:
        placement[rank, expert] = True


def best_change(placement, rates, *, speeds, slots, may_load=None):
    """Return the change that shortens a layer's step most per expert loaded.

    Parameters
    ----------
    placement : ndarray of bool, shape (ranks, experts)
        Placement of the layer.
    rates : ndarray of shape (experts,)
        Tokens per unit of time that each expert processes.
    speeds : ndarray of shape (ranks,)
        Relative speed of each rank.
    slots : int
        Maximum number of experts on one rank.
    may_load : ndarray of bool, shape (ranks,), optional
        Ranks that may load experts; all by default.

    Returns
    -------
    change : PlacementChange or None
        None if no candidate shortens the step.

    Notes
    -----
    The candidates pair the most loaded experts of the slowest rank with the fastest
    ranks: load a further replica there, move an expert there, or swap it with one of
    theirs. They are compared by a power mean of the ranks' times. Unlike the maximum,
    it decreases also if another rank is equally slow.
    """
    replicas = placement.sum(axis=0)
    loads = placement @ (rates / replicas)
    times = loads / speeds
    slowest = int(np.argmax(times))
    by_time = np.argsort(times, kind="stable")
    if may_load is None:
        may_load = np.ones(len(times), dtype=bool)
    target_ranks = [int(r) for r in by_time if r != slowest and may_load[r]][
        :MAX_TARGET_RANKS_TRIED
    ]
    held = np.flatnonzero(placement[slowest])
    shares = rates / replicas
    most_loaded = held[np.argsort(-shares[held], kind="stable")]
    candidates = []
    for rank in target_ranks:
        candidates += _replications(
            placement, shares, replicas, most_loaded[:MAX_EXPERTS_TRIED], rank, slots
        )
        candidates += _moves_and_swaps(placement, shares, times, slowest, rank, slots)
    if not may_load[slowest]:
        candidates = [c for c in candidates if all(r != slowest for r, _ in c[0])]
    return _choose(placement, rates, replicas, times, speeds, candidates)


def _replications(placement, shares, replicas, experts, rank, slots):
    dropped = ()
    if placement[rank].sum() >= slots:
        spare = np.flatnonzero(placement[rank] & (replicas > 1))
        if not len(spare):
            return []
        evicted = int(spare[np.argmin(shares[spare])])
        dropped = ((rank, evicted),)
    return [
        (((rank, int(expert)),), dropped)
        for expert in experts
        if not placement[rank, expert]
    ]


def _moves_and_swaps(placement, shares, times, slowest, rank, slots):
    movable = np.flatnonzero(placement[slowest] & ~placement[rank])
    if not len(movable):
        return []
    target_difference = (times[slowest] - times[rank]) / 2
    if placement[rank].sum() < slots:
        nearest = movable[np.argmin(np.abs(shares[movable] - target_difference))]
        expert = int(nearest)
        return [(((rank, expert),), ((slowest, expert),))]
    counterparts = np.flatnonzero(placement[rank] & ~placement[slowest])
    differences = shares[movable][:, None] - shares[counterparts][None, :]
    nearest = np.argsort(np.abs(differences - target_difference), axis=None)[
        :MAX_SWAPS_TRIED
    ]
    rows, columns = np.unravel_index(nearest, differences.shape)
    return [
        (
            ((rank, int(movable[i])), (slowest, int(counterparts[j]))),
            ((slowest, int(movable[i])), (rank, int(counterparts[j]))),
        )
        for i, j in zip(rows, columns, strict=True)
    ]


def _choose(placement, rates, replicas, times, speeds, candidates):
    longest = float(times.max())
    if longest <= 0:
        return None
    # Lists, since reading single numbers of arrays is slow.
    scaled = (times / longest).tolist()
    scales = (1 / (speeds * longest)).tolist()
    powers = [time**POWER_MEAN_EXPONENT for time in scaled]
    total = sum(powers)
    before = _root_mean(total, len(times))
    rates = rates.tolist()
    replicas = replicas.tolist()
    holders_by_expert = {}
    best = None
    for added, dropped in candidates:
        load_changes = _load_changes(
            placement, rates, replicas, holders_by_expert, added, dropped
        )
        after_total = total
        for rank, load_change in load_changes.items():
            time = scaled[rank] + load_change * scales[rank]
            after_total += time**POWER_MEAN_EXPONENT - powers[rank]
        gain = longest * (before - _root_mean(max(0.0, after_total), len(times)))
        if gain <= 0:
            continue
        if best is None or gain / len(added) > best.gain_per_transfer:
            best = PlacementChange(added=added, dropped=dropped, gain=gain)
    return best


def _load_changes(placement, rates, replicas, holders_by_expert, added, dropped):
    """Return how much a change adds to the load of each rank that it concerns.

    Few ranks hold the experts of a change, so that comparing candidates does not take
    time in proportion to the number of ranks.
    """
    changes = {}
    for expert in {expert for _, expert in added + dropped}:
        holders = holders_by_expert.get(expert)
        if holders is None:
            holders = np.flatnonzero(placement[:, expert]).tolist()
            holders_by_expert[expert] = holders
        rate = rates[expert]
        for rank in holders:
            changes[rank] = changes.get(rank, 0.0) - rate / replicas[expert]
        after = {*holders, *(r for r, e in added if e == expert)}
        after.difference_update(r for r, e in dropped if e == expert)
        for rank in after:
            changes[rank] = changes.get(rank, 0.0) + rate / len(after)
    return changes


def _root_mean(total, number):
    return (total / number) ** (1 / POWER_MEAN_EXPONENT)
