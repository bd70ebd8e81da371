"""Simulated day of a group under each rebalancing policy, with the same seed."""

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
    """Sizes and rates of the simulated group.

    Parameters
    ----------
    ranks, experts, layers, slots_per_rank : int
        Sizes of the group; a rank has `slots_per_rank` slots for experts in each layer.
    seed : int
        Seed of the popularity and of the noise of reports.
    report_s : float
        Seconds between reports of expert counts.
    interval_s : float
        Seconds between rebalancing plans.
    lag_reports : int
        Number of reports that have not arrived yet when a plan is made.
    lost_part : float
        Fraction of the reports that are lost.
    tokens_per_s : float
        Tokens per second that a report counts.
    expert_bytes : int
        Size in bytes of one expert of one layer.
    bytes_per_s : float
        Rate at which the group loads experts from the weight store.
    half_life_s : float
        Half-life of the exponentially decaying counts.
    horizon_s : float
        Time ahead over which the policy weighs the gain of a plan.
    slow_rank_from_s : float
        Time from which the last rank's accelerator is slow; beyond the end of the
        day for never.
    slow_speed : float
        Speed of the slow accelerator relative to a normal one.
    day_s : float
        Simulated time in seconds.
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
    """Result of one policy over the day.

    Parameters
    ----------
    policy : str
        Name of the policy.
    mean_skew, skew_95 : float
        Skew, which is the time of the slowest rank in a step divided by the mean
        time: mean and 95th percentile.
    relative_tokens_per_s : float
        Throughput relative to a group without skew.
    bytes_moved : int
        Bytes loaded from the weight store.
    load_s : float
        Seconds in which the group loaded experts, in parallel to its steps.
    plans_made, plans_carried_out : int
        Number of times that the policy was asked for a plan, and number of plans
        that changed the expert map.
    skews : list of float
        Skew in each interval between reports.
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
    """Simulate the day under each policy and return the reports.

    Parameters
    ----------
    plan : BalancePlan
        Sizes, rates and seed.
    names : sequence of str, optional
        Names of policies; all registered policies by default.

    Returns
    -------
    reports : list of DayReport
        One report for each policy.
    """
    return [run_day(plan, name) for name in names or rebalancing_policies.names()]


def run_day(plan, name):
    """Simulate the day under one policy and return its report.

    Parameters
    ----------
    plan : BalancePlan
        Sizes, rates and seed.
    name : str
        Name of the policy.

    Returns
    -------
    report : DayReport
        Skew under the true popularity; the policy sees only the reported counts.
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
        self.placement = initial_placement(
            layers=plan.layers,
            ranks=plan.ranks,
            experts=plan.experts,
            slots=plan.slots_per_rank,
        )
        self.counter = ExpertCounter(
            layers=plan.layers, experts=plan.experts, half_life_s=plan.half_life_s
        )
        self.estimator = SpeedEstimator(ranks=plan.ranks)
        self.reports_in_transit = []
        self.plan_in_progress = None

    def run(self):
        plan = self.plan
        ideal_time, actual_time = 0.0, 0.0
        for number in range(1, int(plan.day_s / plan.report_s) + 1):
            now = number * plan.report_s
            self._finish_plan(now)
            times = self._true_times(now)
            self.report.skews.append(skew(times))
            ideal_time += float(times.mean(axis=1).sum())
            actual_time += step_time(times)
            self._make_report(number, now, times)
            if now % plan.interval_s == 0:
                self._plan(now)
        self.report.mean_skew = float(np.mean(self.report.skews))
        self.report.skew_95 = float(np.percentile(self.report.skews, 95))
        self.report.relative_tokens_per_s = ideal_time / actual_time
        return self.report

    def _true_times(self, now):
        return rank_times(
            self.placement, self.popularity.shares_at(now), self._speeds(now)
        )

    def _speeds(self, now):
        speeds = np.ones(self.plan.ranks)
        if now >= self.plan.slow_rank_from_s:
            speeds[-1] = self.plan.slow_speed
        return speeds

    def _make_report(self, number, now, times):
        plan = self.plan
        expected = self.popularity.shares_at(now) * plan.tokens_per_s * plan.report_s
        counts = self.noise.poisson(expected)
        is_lost = self.noise.random() < plan.lost_part
        work = times.sum(axis=0) * (1 + 0.02 * self.noise.normal(size=plan.ranks))
        if not is_lost:
            self.reports_in_transit.append((number, counts, work, self.placement))
        while len(self.reports_in_transit) > plan.lag_reports:
            self._receive_report(*self.reports_in_transit.pop(0), now)

    def _receive_report(self, number, counts, work, placement, now):
        self.counter.add(
            counts,
            rank=0,
            sequence=number,
            interval_s=self.plan.report_s,
            now=now,
        )
        loads = rank_times(placement, counts, np.ones(self.plan.ranks)).sum(axis=0)
        for rank in range(self.plan.ranks):
            self.estimator.add(rank, seconds=work[rank], load=loads[rank])

    def _plan(self, now):
        if self.plan_in_progress is not None or not self.counter.has_counts:
            return
        plan = self.plan
        rebalancing_input = RebalancingInput(
            placement=self.placement,
            rates=self.counter.rates(),
            speeds=self.estimator.speeds(),
            slots=plan.slots_per_rank,
            expert_bytes=plan.expert_bytes,
            bytes_per_s=plan.bytes_per_s,
            budget_bytes=plan.bytes_per_s * plan.interval_s,
            horizon_s=plan.horizon_s,
        )
        rebalancing_plan = self.policy.plan(rebalancing_input)
        self.report.plans_made += 1
        if rebalancing_plan is None:
            return
        load_s = rebalancing_plan.transfers * plan.expert_bytes / plan.bytes_per_s
        self.plan_in_progress = (now + load_s, rebalancing_plan)
        self.report.load_s += load_s
        self.report.bytes_moved += rebalancing_plan.transfers * plan.expert_bytes

    def _finish_plan(self, now):
        if self.plan_in_progress is not None and now >= self.plan_in_progress[0]:
            self.placement = self.plan_in_progress[1].placement
            self.report.plans_carried_out += 1
            self.plan_in_progress = None
