"""Few moves from today's placement towards balance."""

from dataclasses import dataclass

import numpy as np

__all__ = ["PlacementChange", "apply_change", "best_change"]

HOT_EXPERTS = 4
COOL_RANKS = 4
SWAPS = 3
NORM_POWER = 16


@dataclass(slots=True, kw_only=True)
class PlacementChange:
    """Experts that enter and leave ranks in one layer.

    Parameters
    ----------
    added : tuple of tuple of int
        Pairs of rank and expert to load.
    dropped : tuple of tuple of int
        Pairs of rank and expert to drop.
    gain : float
        Time that the layer's step loses, in the unit of the rates.
    """

    added: tuple
    dropped: tuple
    gain: float

    @property
    def gain_per_transfer(self):
        """Return the gain for each expert to be loaded."""
        return self.gain / len(self.added)


def apply_change(placement, move):
    """Carry a move out on one layer's placement, in place."""
    for rank, expert in move.dropped:
        placement[rank, expert] = False
    for rank, expert in move.added:
        placement[rank, expert] = True


def best_change(placement, rates, *, speeds, slots, may_load=None):
    """Return the move that shortens a layer most for each expert loaded.

    Parameters
    ----------
    placement : ndarray of bool, shape (ranks, experts)
        Placement of the layer.
    rates : ndarray of shape (experts,)
        Tokens of each expert.
    speeds : ndarray of shape (ranks,)
        Speed of each rank.
    slots : int
        Experts that a rank holds at most.
    may_load : ndarray of bool, shape (ranks,), optional
        Ranks that may load another expert; all by default.

    Returns
    -------
    move : PlacementChange or None
        None if nothing helps.

    Notes
    -----
    Looks at the hottest experts of the slowest rank and at the fastest ranks:
    another replica there, a move there, or a swap with one of theirs. Moves are
    compared by a power mean of the ranks' times, which falls also while two ranks
    are equally slow.
    """
    replicas = placement.sum(axis=0)
    loads = placement @ (rates / replicas)
    times = loads / speeds
    hot = int(np.argmax(times))
    order = np.argsort(times, kind="stable")
    if may_load is None:
        may_load = np.ones(len(times), dtype=bool)
    cool = [int(r) for r in order if r != hot and may_load[r]][:COOL_RANKS]
    held = np.flatnonzero(placement[hot])
    shares = rates / replicas
    hottest = held[np.argsort(-shares[held], kind="stable")]
    candidates = []
    for rank in cool:
        candidates += _replications(
            placement, shares, hottest[:HOT_EXPERTS], rank, slots
        )
        candidates += _transfers(placement, shares, times, hot, rank, slots)
    if not may_load[hot]:
        candidates = [c for c in candidates if all(r != hot for r, _ in c[0])]
    return _choose(placement, rates, speeds, candidates)


def _replications(placement, shares, experts, rank, slots):
    dropped = ()
    if placement[rank].sum() >= slots:
        spare = np.flatnonzero(placement[rank] & (placement.sum(axis=0) > 1))
        if not len(spare):
            return []
        victim = int(spare[np.argmin(shares[spare])])
        dropped = ((rank, victim),)
    return [
        (((rank, int(expert)),), dropped)
        for expert in experts
        if not placement[rank, expert]
    ]


def _transfers(placement, shares, times, hot, rank, slots):
    movable = np.flatnonzero(placement[hot] & ~placement[rank])
    if not len(movable):
        return []
    wanted = (times[hot] - times[rank]) / 2
    if placement[rank].sum() < slots:
        nearest = movable[np.argmin(np.abs(shares[movable] - wanted))]
        expert = int(nearest)
        return [(((rank, expert),), ((hot, expert),))]
    counterparts = np.flatnonzero(placement[rank] & ~placement[hot])
    differences = shares[movable][:, None] - shares[counterparts][None, :]
    nearest = np.argsort(np.abs(differences - wanted), axis=None)[:SWAPS]
    rows, columns = np.unravel_index(nearest, differences.shape)
    return [
        (
            ((rank, int(movable[i])), (hot, int(counterparts[j]))),
            ((hot, int(movable[i])), (rank, int(counterparts[j]))),
        )
        for i, j in zip(rows, columns, strict=True)
    ]


def _choose(placement, rates, speeds, candidates):
    before = _norm(_times_after(placement, rates, speeds, ((), ())))
    best = None
    for added, dropped in candidates:
        after = _norm(_times_after(placement, rates, speeds, (added, dropped)))
        move = PlacementChange(added=added, dropped=dropped, gain=before - after)
        if move.gain <= 0:
            continue
        if best is None or move.gain_per_transfer > best.gain_per_transfer:
            best = move
    return best


def _times_after(placement, rates, speeds, change):
    added, dropped = change
    changed = placement
    if added:
        changed = placement.copy()
        for rank, expert in dropped:
            changed[rank, expert] = False
        for rank, expert in added:
            changed[rank, expert] = True
    return changed @ (rates / changed.sum(axis=0)) / speeds


def _norm(times):
    peak = times.max()
    if peak <= 0:
        return 0.0
    return float(peak * np.mean((times / peak) ** NORM_POWER) ** (1 / NORM_POWER))
