"""Decides when a group switches to another expert map, and plans that map.

Load pattern: the experts that requests choose shift every few seconds, and each pass
lasts as long as the most loaded rank of each set takes.

A placement is an expert map as a Boolean array. A choice is one selection of an expert,
as the counters of the ranks count it.
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
    "EventRate",
    "load_skew",
    "pass_time_saving",
    "plan_placement",
    "rank_speeds",
    "rebalance_urgency",
    "required_gain_per_copy",
    "required_saving",
    "round_robin_placement",
    "settled_pass_s",
]

# Half-life of the weight of counts: half of the time between two readings, so that the
# first plan after a shift of the load follows it. A reading counts thousands of choices
# of the hottest experts, and most requests that made them run on for a second or two.
COUNT_HALF_LIFE_S = 0.125
# Fraction of the pass length that a switch has to save at urgency 1: copies make passes
# 15 % longer for about 0.4 s of the 3 s until the next shift of the load.
MIN_SAVING_FRACTION = 0.04
# Pass length, as a fraction of the objective for gaps between events, above which
# shorter passes serve callers better. Below it events are in time.
URGENT_FROM_GAP_FRACTION = 0.6
# Pass length, as a fraction of the objective for gaps between events, from which the
# urgency of a new map is 1: each reduction of the pass length counts.
FULLY_URGENT_GAP_FRACTION = 0.85
# Fraction of the slots in use above which shorter passes serve callers better. Close to
# full, shorter passes add capacity.
URGENT_FROM_SLOT_FRACTION = 0.55
# Fraction of the slots in use from which the urgency of a new map is 1.
FULLY_URGENT_SLOT_FRACTION = 0.85
# Fraction of a pass that one copied expert has to save at an urgency near 0, where few
# events would be late without it.
CALM_GAIN_PER_COPY_FRACTION = 0.0015
# Fraction of a pass that one copied expert has to save at high urgency. Copies on
# different ranks run at the same time, so that one more takes little time of the group;
# below this fraction the gain is less than the error of the counts.
URGENT_GAIN_PER_COPY_FRACTION = 0.0002
# Urgency from which all copies that help are worth their time.
ALL_COPIES_URGENCY = 0.5
# Largest number of changes that a plan makes to one set, to bound the planning time;
# larger than the number of experts of a set that one switch may replace.
MAX_MOVES_PER_SET = 64
# Half-life of the weight of an event rate: about half of the life of a stream, within
# which their number follows the length of the passes.
EVENT_RATE_HALF_LIFE_S = 1.0
# Choices in a window below which no map is planned. A rank counts 13,788 choices of its
# hottest expert in the first second of traffic.
MIN_WINDOW_CHOICES = 2000


class EventRate:
    """Rate at which the streams of a rank end passes, from statuses and pass lengths.

    Notes
    -----
    The number of streams follows the length of the passes late: right after passes have
    become longer, the quotient of both is below the rate at which streams come. So the
    rate falls only by its half-life, but rises at once, as when traffic begins.
    """

    __slots__ = ("_updated_at", "per_s")

    def __init__(self):
        self._updated_at = None
        self.per_s = 0.0

    def update(self, statuses, *, pass_s, now):
        """Add the statuses of all ranks at a time in seconds.

        Parameters
        ----------
        statuses : list of RankStatus
            Status of all ranks.
        pass_s : float
            Length of the passes since the last call in seconds; 0 for none.
        now : float
            Time in seconds.
        """
        if pass_s <= 0:
            return
        rate = sum(status.running for status in statuses) / len(statuses) / pass_s
        elapsed_s = float("inf") if self._updated_at is None else now - self._updated_at
        self._updated_at = now
        kept = 0.5 ** (elapsed_s / EVENT_RATE_HALF_LIFE_S)
        self.per_s = max(rate, kept * self.per_s + (1 - kept) * rate)


class CountWindow:
    """Recent choices of each expert, with exponential decay, from monotonic counters.

    Parameters
    ----------
    sets, experts : int
        Number of sets of layers, and of experts of each set.
    """

    __slots__ = ("_last_counters_by_rank", "_shape", "_updated_at", "choices")

    def __init__(self, *, sets, experts):
        self._shape = (sets, experts)
        self._last_counters_by_rank = {}
        self._updated_at = None
        self.choices = np.zeros(self._shape)

    def add(self, counts_by_rank, *, now):
        """Add what the counters of all ranks have gained since the last call.

        Parameters
        ----------
        counts_by_rank : dict of int to bytes
            Counters by rank, as 64-bit integers in the order of sets.
        now : float
            Time in seconds.
        """
        self._decay(now)
        for rank, data in counts_by_rank.items():
            counts = np.frombuffer(data, dtype="<i8").reshape(self._shape)
            last = self._last_counters_by_rank.get(rank)
            self._last_counters_by_rank[rank] = counts
            if last is not None and (counts >= last).all():
                self.choices += counts - last

    def add_increments(self, values, *, now):
        """Add what the counters of all ranks have gained together.

        Parameters
        ----------
        values : list of int
            Sum of the increments, in the order of sets; empty if none are known.
        now : float
            Time in seconds.
        """
        self._decay(now)
        if values:
            self.choices += np.array(values, dtype=float).reshape(self._shape)

    def _decay(self, now):
        if self._updated_at is not None:
            self.choices *= 0.5 ** ((now - self._updated_at) / COUNT_HALF_LIFE_S)
        self._updated_at = now

    def reset_baselines(self):
        """Forget the last counters, because the group has a new formation.

        Counters start at 0 in it and ranks may belong to other servers. The recent
        choices are kept: requests choose much the same experts as before, and a new
        formation starts with the round-robin map, which balances least.
        """
        self._last_counters_by_rank = {}

    @property
    def has_enough_choices(self):
        """Whether the window has enough choices to plan a map."""
        return self.choices.sum() >= MIN_WINDOW_CHOICES


def round_robin_placement(*, sets, ranks, experts):
    """Return the placement of a group that has just formed: experts round-robin.

    Examples
    --------
    >>> round_robin_placement(sets=1, ranks=2, experts=4)[0].astype(int).tolist()
    [[1, 0, 1, 0], [0, 1, 0, 1]]
    """
    placement = np.zeros((sets, ranks, experts), dtype=bool)
    placement[:, np.arange(experts) % ranks, np.arange(experts)] = True
    return placement


def rebalance_urgency(statuses, *, slots, pass_s, gap_objective_s):
    """Return how much callers gain from shorter passes now, from 0 to 1.

    Parameters
    ----------
    statuses : list of RankStatus
        Status of all ranks.
    slots : int
        Requests that a rank runs at once.
    pass_s : float
        Recent length of a pass in seconds; 0 if the group has begun none.
    gap_objective_s : float
        Longest gap between events that counts as in time, in seconds; 0 for no
        objective.
    """
    if max(status.pace for status in statuses) >= SLOW_PACE:
        return 1.0
    used = sum(s.running + s.waiting for s in statuses) / (slots * len(statuses))
    by_slots = (used - URGENT_FROM_SLOT_FRACTION) / (
        FULLY_URGENT_SLOT_FRACTION - URGENT_FROM_SLOT_FRACTION
    )
    by_pass = 0.0
    if gap_objective_s:
        fraction = pass_s / gap_objective_s
        by_pass = (fraction - URGENT_FROM_GAP_FRACTION) / (
            FULLY_URGENT_GAP_FRACTION - URGENT_FROM_GAP_FRACTION
        )
    return min(1.0, max(0.0, by_slots, by_pass))


def settled_pass_s(*, events_per_s, engine, load_skew):
    """Return the length that passes reach if streams go on to come as they do now.

    Parameters
    ----------
    events_per_s : float
        Rate at which the streams of a rank end passes, which each yield an event.
    engine : EngineProfile
        Cost model of the ranks' engines.
    load_skew : float
        Ratio of the slowest rank's time to the mean time for the experts in demand.

    Returns
    -------
    pass_s : float
        Length in seconds, at most that of a pass of full ranks; 0 without streams.

    Notes
    -----
    Load pattern: the demand shifts, and the map no longer fits it. Each pass becomes
    longer, so that streams end later and more of them run, which makes the next passes
    longer again. The length of the last passes shows this only after about a second.

    By Little's law the streams of a rank are their rate times the length of a pass, and
    the length grows linearly with the streams. Both agree at the base length divided by
    the part of the time that the streams leave.
    """
    if events_per_s <= 0:
        return 0.0
    base_s = engine.steps_per_pass * engine.step_s
    stream_s = engine.steps_per_pass * engine.sequence_s
    stream_s *= 1 - engine.expert_share + engine.expert_share * load_skew
    full_s = base_s + engine.slots * stream_s
    utilisation = events_per_s * stream_s
    return min(full_s, base_s / (1 - utilisation)) if utilisation < 1 else full_s


def required_gain_per_copy(urgency):
    """Return the fraction of a pass that one copied expert has to save.

    Examples
    --------
    >>> required_gain_per_copy(1.0)
    0.0002
    >>> round(required_gain_per_copy(0.25), 5)
    0.00055
    """
    if urgency <= 0:
        return float("inf")
    ratio = URGENT_GAIN_PER_COPY_FRACTION / CALM_GAIN_PER_COPY_FRACTION
    return CALM_GAIN_PER_COPY_FRACTION * ratio ** min(1, urgency / ALL_COPIES_URGENCY)


def required_saving(urgency):
    """Return the fraction of a pass that a switch has to save.

    Each switch delays some events, so that a calm group makes fewer of them.

    Examples
    --------
    >>> required_saving(1.0), required_saving(0.25)
    (0.04, 0.16)
    """
    return MIN_SAVING_FRACTION / urgency if urgency > 0 else float("inf")


def plan_placement(placement, rates, speeds, *, places, spare, min_gain_per_copy=0.0):
    """Return a placement with shorter passes that one switch can reach.

    Parameters
    ----------
    placement : ndarray of bool, shape (sets, ranks, experts)
        Placement in use.
    rates : ndarray of shape (sets, experts)
        Choices of each expert.
    speeds : ndarray of shape (ranks,)
        Speed of each rank.
    places : int
        Largest number of experts of a set on a rank.
    spare : int
        Largest number of experts of a set that may be new on a rank.
    min_gain_per_copy : float
        Fraction of the experts' part of a pass that one copied expert has to save.
    """
    planned = placement.copy()
    min_gain = min_gain_per_copy * step_time(rank_times(placement, rates, speeds))
    for index in range(len(placement)):
        _improve_set(
            planned[index],
            placement[index],
            rates[index],
            speeds=speeds,
            places=places,
            spare=spare,
            min_gain=min_gain,
        )
    return planned


def rank_speeds(statuses):
    """Return the speed of each rank relative to normal, from the pace it reports."""
    return np.array([1.0 / status.pace for status in statuses])


def pass_time_saving(placement, planned, rates, speeds, *, expert_share):
    """Return the fraction of a pass that a planned placement saves.

    Parameters
    ----------
    placement, planned : ndarray of bool, shape (sets, ranks, experts)
        Placement in use and planned.
    rates : ndarray of shape (sets, experts)
        Choices of each expert.
    speeds : ndarray of shape (ranks,)
        Speed of each rank.
    expert_share : float
        Fraction of a token's work that is done in experts.
    """
    before = step_time(rank_times(placement, rates, speeds))
    after = step_time(rank_times(planned, rates, speeds))
    return expert_share * (before - after) / before if before > 0 else 0.0


def load_skew(placement, rates):
    """Return the ratio of the slowest rank's time to the mean time, summed over sets.

    All ranks are taken as equally fast.
    """
    return skew(rank_times(placement, rates, np.ones(placement.shape[1])))


def _improve_set(planned, former, rates, *, speeds, places, spare, min_gain):
    for _ in range(MAX_MOVES_PER_SET):
        added = (planned & ~former).sum(axis=1)
        move = best_change(
            planned, rates, speeds=speeds, slots=places, may_load=added < spare
        )
        if move is None or move.gain_per_transfer < min_gain:
            return
        apply_change(planned, move)
