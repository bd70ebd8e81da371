"""Rebalancing policies: when to change a group's map, and to what."""

import heapq
from dataclasses import dataclass

import numpy as np

from magnoliagrade.algorithms.balance.placement import (
    count_transfers,
    rank_times,
    step_time,
)
from magnoliagrade.algorithms.balance.placement_changes import apply_change, best_change
from magnoliagrade.algorithms.balance.repack import repack
from magnoliagrade.registry import Registry

__all__ = ["Plan", "RebalancingInput", "rebalancing_policies"]

rebalancing_policies = Registry(family="rebalancing policy")

# Time in seconds that a switch to a new placement is assumed to cost the group.
SWITCH_COST_S = 0.5
# Maximum number of changes of one layer in one plan; bounds the planning time.
MAX_CHANGES_PER_LAYER = 64


@dataclass(slots=True, kw_only=True)
class RebalancingInput:
    """Inputs of a rebalancing policy.

    Parameters
    ----------
    placement : ndarray of bool, shape (layers, ranks, experts)
        Placement in force.
    rates : ndarray of shape (layers, experts)
        Tokens per second that each expert processes, up to a common factor: only the
        ratios matter, so the means per rank of `ExpertCounter.rates` can be used.
    speeds : ndarray of shape (ranks,)
        Relative speed of each rank.
    slots : int
        Maximum number of experts of a layer on one rank.
    expert_bytes : int
        Size in bytes of one expert of one layer.
    bytes_per_s : float
        Rate in bytes per second at which the group may load experts.
    budget_bytes : float
        Bytes that the plan may load.
    horizon_s : float
        Time in seconds during which the gain of a new placement is expected to last.
    """

    placement: np.ndarray
    rates: np.ndarray
    speeds: np.ndarray
    slots: int
    expert_bytes: int
    bytes_per_s: float
    budget_bytes: float
    horizon_s: float

    def step_time(self, placement):
        """Return a placement's step time: tokens over relative speed (1 is normal)."""
        return step_time(rank_times(placement, self.rates, self.speeds))


@dataclass(slots=True, kw_only=True)
class Plan:
    """A placement to change to, with its expected saving and cost.

    Parameters
    ----------
    placement : ndarray of bool, shape (layers, ranks, experts)
        Placement to change to.
    transfers : int
        Number of experts to load.
    saving_s : float
        Seconds that it is expected to save within the horizon.
    cost_s : float
        Seconds to load the experts at the group's rate, plus the cost of the switch.
    evaluations : int
        Number of searches for the best change of a layer, as a measure of the
        planning effort.
    """

    placement: np.ndarray
    transfers: int
    saving_s: float
    cost_s: float
    evaluations: int = 0


@rebalancing_policies.register("static")
class StaticPlacement:
    """Keeps the initial placement."""

    __slots__ = ()

    def plan(self, inputs):
        """Return None: there is never a placement to change to."""
        return None


@rebalancing_policies.register("full-repack")
class FullRepack:
    """Computes a new placement at each interval, regardless of the current one."""

    __slots__ = ()

    def plan(self, inputs):
        """Return the plan for a new placement, or None if nothing has to be loaded."""
        placement = repack(inputs.rates, speeds=inputs.speeds, slots=inputs.slots)
        return _plan_to(inputs, placement)


@rebalancing_policies.register("greedy")
class Greedy:
    """Applies every change that shortens a step, regardless of its cost."""

    __slots__ = ()

    def plan(self, inputs):
        """Return the plan of all changes that shorten a layer's step, or None."""
        return _plan_by_changes(inputs, least_gain=0.0, budget_bytes=np.inf)


@rebalancing_policies.register("weighed")
class CostAwareGreedy:
    """Applies changes that are expected to save more time than they cost.

    Notes
    -----
    A change is accepted if the fraction of the step that it saves, times the horizon,
    exceeds the time to load its experts at the group's rate. The saving of the plan
    must also exceed its cost including the switch. The changes of all layers are
    kept in one heap, so the budget is spent on those that save most per byte.
    """

    __slots__ = ()

    def plan(self, inputs):
        """Return the plan of the accepted changes, or None if it does not pay off."""
        before = inputs.step_time(inputs.placement)
        load_time_s = inputs.expert_bytes / inputs.bytes_per_s
        least_gain = before * load_time_s / inputs.horizon_s
        plan = _plan_by_changes(
            inputs, least_gain=least_gain, budget_bytes=inputs.budget_bytes
        )
        if plan is None or plan.saving_s <= plan.cost_s:
            return None
        return plan


def _plan_by_changes(inputs, *, least_gain, budget_bytes):
    placement = inputs.placement.copy()
    transfers_left = budget_bytes / inputs.expert_bytes
    changes_left = np.full(len(placement), MAX_CHANGES_PER_LAYER)
    heap = []
    evaluations = 0

    def push(layer):
        nonlocal evaluations
        evaluations += 1
        change = best_change(
            placement[layer],
            inputs.rates[layer],
            speeds=inputs.speeds,
            slots=inputs.slots,
        )
        if change is not None and change.gain_per_transfer > least_gain:
            heapq.heappush(heap, (-change.gain_per_transfer, layer, change))

    for layer in range(len(placement)):
        push(layer)
    while heap:
        _, layer, change = heapq.heappop(heap)
        if len(change.added) > transfers_left:
            break
        apply_change(placement[layer], change)
        transfers_left -= len(change.added)
        changes_left[layer] -= 1
        if changes_left[layer]:
            push(layer)
    return _plan_to(inputs, placement, evaluations=evaluations)


def _plan_to(inputs, placement, *, evaluations=0):
    transfers = count_transfers(inputs.placement, placement)
    if not transfers:
        return None
    before = inputs.step_time(inputs.placement)
    saved = 1 - inputs.step_time(placement) / before
    load_time_s = transfers * inputs.expert_bytes / inputs.bytes_per_s
    return Plan(
        placement=placement,
        transfers=transfers,
        saving_s=saved * inputs.horizon_s,
        cost_s=load_time_s + SWITCH_COST_S,
        evaluations=evaluations,
    )
