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

SWITCH_COST_S = 0.5
MAX_MOVES_PER_LAYER = 64


@dataclass(slots=True, kw_only=True)
class RebalancingInput:
    """What a policy decides on.

    Parameters
    ----------
    placement : ndarray of bool, shape (layers, ranks, experts)
        Placement in force.
    rates : ndarray of shape (layers, experts)
        Tokens a second of each expert.
    speeds : ndarray of shape (ranks,)
        Speed of each rank.
    slots : int
        Experts of a layer that a rank holds at most.
    expert_bytes : int
        Size of one expert of one layer.
    bytes_per_s : float
        The group's part of the weight store's rate.
    budget_bytes : float
        Bytes that may be loaded for this plan.
    horizon_s : float
        Time in seconds for which a better map is expected to stay better.
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
        """Return the length of a step under a placement, in tokens of one rank."""
        return step_time(rank_times(placement, self.rates, self.speeds))


@dataclass(slots=True, kw_only=True)
class Plan:
    """A placement to change to, and why.

    Parameters
    ----------
    placement : ndarray of bool, shape (layers, ranks, experts)
        The placement.
    transfers : int
        Experts to load.
    saving_s : float
        Seconds of the horizon that it is expected to save.
    cost_s : float
        Seconds that the loads take at the group's rate, and the switch itself.
    evaluations : int
        Layers whose best move was looked for; the work of planning.
    """

    placement: np.ndarray
    transfers: int
    saving_s: float
    cost_s: float
    evaluations: int = 0


@rebalancing_policies.register("static")
class StaticMap:
    """The first map for ever."""

    __slots__ = ()

    def plan(self, situation):
        """Return None."""
        return None


@rebalancing_policies.register("full-repack")
class FullRepack:
    """A new map from nothing at each interval."""

    __slots__ = ()

    def plan(self, situation):
        """Return the placement that knows no earlier one."""
        placement = repack(
            situation.rates, speeds=situation.speeds, slots=situation.slots
        )
        return _plan_to(situation, placement)


@rebalancing_policies.register("greedy")
class Greedy:
    """Moves as long as they help, whatever they cost."""

    __slots__ = ()

    def plan(self, situation):
        """Return the placement after all moves that shorten a layer."""
        return _plan_by_moves(situation, least_gain=0.0, budget_bytes=np.inf)


@rebalancing_policies.register("weighed")
class CostAwareGreedy:
    """Moves that are expected to save more than they cost, best first.

    Notes
    -----
    A move is worth it if the part of the step that it saves, over the horizon,
    exceeds the time to load its experts at the group's rate. Whatever the plan
    saves in all must also exceed the cost of a switch. The moves of all layers
    stand in one heap, so a budget goes to those that save most for each byte.
    """

    __slots__ = ()

    def plan(self, situation):
        """Return the placement after the moves that are worth it, or None."""
        before = situation.step_time(situation.placement)
        load_s = situation.expert_bytes / situation.bytes_per_s
        least_gain = before * load_s / situation.horizon_s
        plan = _plan_by_moves(
            situation, least_gain=least_gain, budget_bytes=situation.budget_bytes
        )
        if plan is None or plan.saving_s <= plan.cost_s:
            return None
        return plan


def _plan_by_moves(situation, *, least_gain, budget_bytes):
    placement = situation.placement.copy()
    left = budget_bytes / situation.expert_bytes
    moves_left = np.full(len(placement), MAX_MOVES_PER_LAYER)
    heap = []
    evaluations = 0

    def push(layer):
        nonlocal evaluations
        evaluations += 1
        move = best_change(
            placement[layer],
            situation.rates[layer],
            speeds=situation.speeds,
            slots=situation.slots,
        )
        if move is not None and move.gain_per_transfer > least_gain:
            heapq.heappush(heap, (-move.gain_per_transfer, layer, move))

    for layer in range(len(placement)):
        push(layer)
    while heap:
        _, layer, move = heapq.heappop(heap)
        if len(move.added) > left:
            break
        apply_change(placement[layer], move)
        left -= len(move.added)
        moves_left[layer] -= 1
        if moves_left[layer]:
            push(layer)
    return _plan_to(situation, placement, evaluations=evaluations)


def _plan_to(situation, placement, *, evaluations=0):
    transfers = count_transfers(situation.placement, placement)
    if not transfers:
        return None
    before = situation.step_time(situation.placement)
    saved = 1 - situation.step_time(placement) / before
    load_s = transfers * situation.expert_bytes / situation.bytes_per_s
    return Plan(
        placement=placement,
        transfers=transfers,
        saving_s=saved * situation.horizon_s,
        cost_s=load_s + SWITCH_COST_S,
        evaluations=evaluations,
    )
