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
            placement, shares, most_loaded[:MAX_EXPERTS_TRIED], rank, slots
        )
        candidates += _moves_and_swaps(placement, shares, times, slowest, rank, slots)
    if not may_load[slowest]:
        candidates = [c for c in candidates if all(r != slowest for r, _ in c[0])]
    return _choose(placement, rates, replicas, times, speeds, candidates)


def _replications(placement, shares, experts, rank, slots):
    dropped = ()
    if placement[rank].sum() >= slots:
        spare = np.flatnonzero(placement[rank] & (placement.sum(axis=0) > 1))
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
    before = _power_mean(times)
    best = None
    for added, dropped in candidates:
        after = _power_mean(
            _rank_times_after(
                placement, rates, replicas, times, speeds, (added, dropped)
            )
        )
        change = PlacementChange(added=added, dropped=dropped, gain=before - after)
        if change.gain <= 0:
            continue
        if best is None or change.gain_per_transfer > best.gain_per_transfer:
            best = change
    return best


def _rank_times_after(placement, rates, replicas, times, speeds, change):
    """Return the ranks' times after a change, computed from its experts only."""
    added, dropped = change
    delta_by_expert = {}
    for pairs, delta in ((added, 1), (dropped, -1)):
        for rank, expert in pairs:
            delta_by_expert.setdefault(expert, []).append((rank, delta))
    loads = np.zeros(len(times))
    for expert, deltas in delta_by_expert.items():
        holders = placement[:, expert].astype(float)
        loads -= holders * (rates[expert] / replicas[expert])
        for rank, delta in deltas:
            holders[rank] += delta
        loads += holders * (rates[expert] / holders.sum())
    return times + loads / speeds


def _power_mean(times):
    longest = times.max()
    if longest <= 0:
        return 0.0
    return float(
        longest
        * np.mean((times / longest) ** POWER_MEAN_EXPONENT) ** (1 / POWER_MEAN_EXPONENT)
    )
