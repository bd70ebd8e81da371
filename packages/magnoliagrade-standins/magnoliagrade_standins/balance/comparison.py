"""One day of a group under each rebalancing policy, on the same seed."""

from dataclasses import asdict, dataclass, field

import numpy as np
from magnoliagrade.algorithms.balance import (
    ExpertCounter,
    RebalancingInput,
    SpeedEstimator,
    initial_placement,
    rank_times,
    rebalancing_policies,
    skew,
    step_time,
)

from magnoliagrade_standins.balance.drift import DAY_S, DriftingPopularity

__all__ = ["BalancePlan", "DayReport", "compare", "run_day"]


@dataclass(slots=True, kw_only=True)
class BalancePlan:
    """Sizes and rates of the comparison.

    Parameters
    ----------
    ranks, experts, layers, slots_per_rank : int
        Sizes of the group.
    seed : int
        Seed of popularity and noise.
    report_s : float
        Seconds between reports of counts.
    interval_s : float
        Seconds between plans.
    lag_reports : int
        Reports that have not arrived yet when a plan is made.
    lost_part : float
        Part of the reports that never arrives.
    tokens_per_s : float
        Tokens a second that the group counts in a report.
    expert_bytes : int
        Size of one expert of one layer.
    bytes_per_s : float
        The group's part of the weight store's rate.
    half_life_s : float
        Decay of the counts.
    horizon_s : float
        Horizon of the policy.
    slow_rank_from_s : float
        When the last rank's accelerator turns slow; beyond the day for never.
    slow_speed : float
        Its speed from then on.
    day_s : float
        Length of the run.
    """

    ranks: int = 8
    experts: int = 64
    layers: int = 8
    slots_per_rank: int = 12
    seed: int = 1
    report_s: float = 30.0
    interval_s: float = 300.0
    lag_reports: int = 2
    lost_part: float = 0.05
    tokens_per_s: float = 20000.0
    expert_bytes: int = 44_000_000
    bytes_per_s: float = 250e6
    half_life_s: float = 300.0
    horizon_s: float = 1800.0
    slow_rank_from_s: float = 2 * DAY_S
    slow_speed: float = 0.7
    day_s: float = DAY_S


@dataclass(slots=True, kw_only=True)
class DayReport:
    """What a policy did over the day.

    Parameters
    ----------
    policy : str
        Name of the policy.
    mean_skew, skew_95 : float
        Slowest over mean time of ranks in a step: mean and 95th percentile.
    relative_tokens_per_s : float
        Tokens a second against a group without any skew.
    bytes_moved : int
        Bytes loaded from the weight store.
    load_s : float
        Seconds in which the group loaded experts, in the background.
    plans_made, plans_carried_out : int
        Plans that the policy weighed, and changes of the map.
    skews : list of float
        Skew in each interval of reports.
    """

    policy: str
    mean_skew: float = 0.0
    skew_95: float = 0.0
    relative_tokens_per_s: float = 0.0
    bytes_moved: int = 0
    load_s: float = 0.0
    plans_made: int = 0
    plans_carried_out: int = 0
    skews: list = field(default_factory=list)

    def summary(self):
        """Return the fields as a dictionary, without the skew of each interval."""
        fields = asdict(self)
        del fields["skews"]
        return fields


def compare(plan, names=None):
    """Return the day's report of each policy.

    Parameters
    ----------
    plan : BalancePlan
        Sizes, rates and seed.
    names : sequence of str, optional
        Policies; all by default.
    """
    return [run_day(plan, name) for name in names or rebalancing_policies.names()]


def run_day(plan, name):
    """Return the report of one policy.

    Parameters
    ----------
    plan : BalancePlan
        Sizes, rates and seed.
    name : str
        Name of the policy.

    Returns
    -------
    report : DayReport
        Skew is taken from the true popularity, the policy sees only reports.
    """
    return _Day(plan, name).run()


class _Day:
    def __init__(self, plan, name):
        self.plan = plan
        self.policy = rebalancing_policies.get(name)()
        self.report = DayReport(policy=name)
        rng = np.random.default_rng(plan.seed)
        self.popularity = DriftingPopularity(
            layers=plan.layers, experts=plan.experts, rng=rng
        )
        self.noise = np.random.default_rng(plan.seed + 1)
        self.holds = initial_placement(
            layers=plan.layers,
            ranks=plan.ranks,
            experts=plan.experts,
            slots=plan.slots_per_rank,
        )
        self.counter = ExpertCounter(
            layers=plan.layers, experts=plan.experts, half_life_s=plan.half_life_s
        )
        self.estimator = SpeedEstimator(ranks=plan.ranks)
        self.late = []
        self.loading = None

    def run(self):
        plan = self.plan
        ideal, spent = 0.0, 0.0
        for number in range(1, int(plan.day_s / plan.report_s) + 1):
            now = number * plan.report_s
            self._finish_loading(now)
            times = self._true_times(now)
            self.report.skews.append(skew(times))
            ideal += float(times.mean(axis=1).sum())
            spent += step_time(times)
            self._take_reports(number, now, times)
            if now % plan.interval_s == 0:
                self._plan(now)
        self.report.mean_skew = float(np.mean(self.report.skews))
        self.report.skew_95 = float(np.percentile(self.report.skews, 95))
        self.report.relative_tokens_per_s = ideal / spent
        return self.report

    def _true_times(self, now):
        return rank_times(self.holds, self.popularity.shares_at(now), self._speeds(now))

    def _speeds(self, now):
        speeds = np.ones(self.plan.ranks)
        if now >= self.plan.slow_rank_from_s:
            speeds[-1] = self.plan.slow_speed
        return speeds

    def _take_reports(self, number, now, times):
        plan = self.plan
        expected = self.popularity.shares_at(now) * plan.tokens_per_s * plan.report_s
        counts = self.noise.poisson(expected)
        is_lost = self.noise.random() < plan.lost_part
        work = times.sum(axis=0) * (1 + 0.02 * self.noise.normal(size=plan.ranks))
        if not is_lost:
            self.late.append((number, counts, work, self.holds))
        while len(self.late) > plan.lag_reports:
            self._take(*self.late.pop(0), now)

    def _take(self, number, counts, work, holds, now):
        self.counter.add(
            counts,
            rank=0,
            sequence=number,
            interval_s=self.plan.report_s,
            now=now,
        )
        loads = rank_times(holds, counts, np.ones(self.plan.ranks)).sum(axis=0)
        for rank in range(self.plan.ranks):
            self.estimator.add(rank, seconds=work[rank], load=loads[rank])

    def _plan(self, now):
        if self.loading is not None or not self.counter.has_counts:
            return
        plan = self.plan
        situation = RebalancingInput(
            placement=self.holds,
            rates=self.counter.rates(),
            speeds=self.estimator.speeds(),
            slots=plan.slots_per_rank,
            expert_bytes=plan.expert_bytes,
            bytes_per_s=plan.bytes_per_s,
            budget_bytes=plan.bytes_per_s * plan.interval_s,
            horizon_s=plan.horizon_s,
        )
        made = self.policy.plan(situation)
        self.report.plans_made += 1
        if made is None:
            return
        load_s = made.transfers * plan.expert_bytes / plan.bytes_per_s
        self.loading = (now + load_s, made)
        self.report.load_s += load_s
        self.report.bytes_moved += made.transfers * plan.expert_bytes

    def _finish_loading(self, now):
        if self.loading is not None and now >= self.loading[0]:
            self.holds = self.loading[1].placement
            self.report.plans_carried_out += 1
            self.loading = None
