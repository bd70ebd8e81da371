"""Deciding when a group gets another expert map, and which.

Load pattern: which experts requests choose shifts every few seconds, and each pass
lasts as long as the most loaded rank of each set.
"""

import numpy as np
from magnoliagrade.algorithms.balance import (
    apply_change,
    best_change,
    rank_times,
    skew,
    step_time,
)

from magnoliagrade_agent.direct.slow_ranks import SLOW_PACE

__all__ = [
    "CountWindow",
    "first_placement",
    "pressure",
    "saving",
    "skew_of",
    "speeds_of",
    "least_gain",
    "plan_placement",
    "LEAST_SAVING",
]

# Counts older than this weigh half: a third of the 3 s between shifts (site files).
HALF_LIFE_S = 1.0
# Shorter passes that a switch has to bring: copies make passes 15 % longer for some
# 0.4 s of the 3 s until the next shift.
LEAST_SAVING = 0.04
# Parts of the gaps' objective that a pass takes, from which shorter passes begin to
# serve callers better, and from which each bit counts: below, events are in time.
PASS_FROM = 0.6
PASS_FULL = 0.85
# The same as parts of the slots in use: close to full, shorter passes are capacity.
SLOTS_FROM = 0.55
SLOTS_FULL = 0.85
# Part of a pass that one copied expert has to save at full pressure: its price (site
# files) over what callers gain by the same part in the 3 s until the next shift.
LEAST_GAIN_PER_COPY = 0.0015
# Bound on the work of a plan; more than all places of a set that may change.
MAX_MOVES = 64
# Choices of a window below which nothing is decided; in a played day one rank counted
# 13,788 of its hottest expert in the first second of traffic.
MIN_CHOICES = 2000


class CountWindow:
    """Recent choices of experts, from counters that only rise.

    Parameters
    ----------
    sets, experts : int
        Sets of layers and experts of each.
    """

    __slots__ = ("_at", "_last_by_rank", "_shape", "choices")

    def __init__(self, *, sets, experts):
        self._shape = (sets, experts)
        self._last_by_rank = {}
        self._at = None
        self.choices = np.zeros(self._shape)

    def add(self, counts_by_rank, *, now):
        """Add the counters of all ranks.

        Parameters
        ----------
        counts_by_rank : dict of int to bytes
            Counters by rank, 64 bits each, set after set.
        now : float
            Time in seconds.
        """
        if self._at is not None:
            self.choices *= 0.5 ** ((now - self._at) / HALF_LIFE_S)
        self._at = now
        for rank, data in counts_by_rank.items():
            counts = np.frombuffer(data, dtype="<i8").reshape(self._shape)
            last = self._last_by_rank.get(rank)
            self._last_by_rank[rank] = counts
            if last is not None and (counts >= last).all():
                self.choices += counts - last

    def start_anew(self):
        """Go on after a group has formed anew: counters start at 0, ranks may differ.

        What was chosen lately is kept: requests choose much the same as before, and a
        new group has the map that helps least.
        """
        self._last_by_rank = {}

    @property
    def has_enough(self):
        """Whether there are enough choices to decide on."""
        return self.choices.sum() >= MIN_CHOICES


def first_placement(*, sets, ranks, experts):
    """Return the placement of a group that has just formed: experts in turn.

    Examples
    --------
    >>> first_placement(sets=1, ranks=2, experts=4)[0].astype(int).tolist()
    [[1, 0, 1, 0], [0, 1, 0, 1]]
    """
    holds = np.zeros((sets, ranks, experts), dtype=bool)
    holds[:, np.arange(experts) % ranks, np.arange(experts)] = True
    return holds


def pressure(statuses, *, slots, pass_s, gap_objective_s):
    """Return how much shorter passes matter now, from 0 to 1.

    Parameters
    ----------
    statuses : list of RankStatus
        All ranks.
    slots : int
        Requests that a rank runs at once.
    pass_s : float
        Recent length of a pass in seconds; 0 if the group begins none.
    gap_objective_s : float
        Longest pause between events that counts as in time; 0 if there is none.
    """
    if max(status.pace for status in statuses) >= SLOW_PACE:
        return 1.0
    used = sum(s.running + s.waiting for s in statuses) / (slots * len(statuses))
    by_slots = (used - SLOTS_FROM) / (SLOTS_FULL - SLOTS_FROM)
    by_pass = 0.0
    if gap_objective_s:
        part = pass_s / gap_objective_s
        by_pass = (part - PASS_FROM) / (PASS_FULL - PASS_FROM)
    return min(1.0, max(0.0, by_slots, by_pass))


def least_gain(pressure_now):
    """Return the part of a pass that one copied expert has to save."""
    return LEAST_GAIN_PER_COPY / pressure_now if pressure_now > 0 else float("inf")


def plan_placement(holds, rates, speeds, *, places, spare, least_gain=0.0):
    """Return a placement with a shorter step that one switch can reach.

    Parameters
    ----------
    holds : ndarray of bool, shape (sets, ranks, experts)
        Placement in use.
    rates : ndarray of shape (sets, experts)
        Choices of each expert.
    speeds : ndarray of shape (ranks,)
        Speed of each rank.
    places : int
        Experts of a set that a rank holds at most.
    spare : int
        Experts of a set that may be new at a rank.
    least_gain : float
        Part of a step that one copied expert has to save.
    """
    planned = holds.copy()
    floor = least_gain * step_time(rank_times(holds, rates, speeds))
    for index in range(len(holds)):
        _improve(
            planned[index],
            holds[index],
            rates[index],
            speeds=speeds,
            places=places,
            spare=spare,
            floor=floor,
        )
    return planned


def speeds_of(statuses):
    """Return the speed of each rank, from the pace that it reports."""
    return np.array([1.0 / status.pace for status in statuses])


def saving(holds, planned, rates, speeds, *, expert_share):
    """Return the part of a pass that a planned placement saves.

    Parameters
    ----------
    holds, planned : ndarray of bool, shape (sets, ranks, experts)
        Placement in use and planned.
    rates : ndarray of shape (sets, experts)
        Choices of each expert.
    speeds : ndarray of shape (ranks,)
        Speed of each rank.
    expert_share : float
        Part of a token's work that the experts do.
    """
    before = step_time(rank_times(holds, rates, speeds))
    after = step_time(rank_times(planned, rates, speeds))
    return expert_share * (before - after) / before if before > 0 else 0.0


def skew_of(holds, rates):
    """Return the most loaded over the mean rank, set by set."""
    return skew(rank_times(holds, rates, np.ones(holds.shape[1])))


def _improve(planned, former, rates, *, speeds, places, spare, floor):
    for _ in range(MAX_MOVES):
        added = (planned & ~former).sum(axis=1)
        move = best_change(
            planned, rates, speeds=speeds, slots=places, may_load=added < spare
        )
        if move is None or move.gain_per_transfer < floor:
            return
        apply_change(planned, move)
