"""Load balancing in an expert-parallel group: estimates, placements and policies."""

from magnoliagrade.algorithms.balance.budget import rebalancing_rate
from magnoliagrade.algorithms.balance.counts import ExpertCounter
from magnoliagrade.algorithms.balance.placement import (
    count_transfers,
    initial_placement,
    pack_placement,
    rank_times,
    skew,
    step_time,
    unpack_placement,
)
from magnoliagrade.algorithms.balance.placement_changes import (
    PlacementChange,
    apply_change,
    best_change,
)
from magnoliagrade.algorithms.balance.policies import (
    Plan,
    RebalancingInput,
    rebalancing_policies,
)
from magnoliagrade.algorithms.balance.repack import repack
from magnoliagrade.algorithms.balance.speeds import SpeedEstimator

__all__ = [
    "ExpertCounter",
    "PlacementChange",
    "Plan",
    "RebalancingInput",
    "SpeedEstimator",
    "apply_change",
    "best_change",
    "count_transfers",
    "initial_placement",
    "pack_placement",
    "rank_times",
    "rebalancing_policies",
    "rebalancing_rate",
    "repack",
    "skew",
    "step_time",
    "unpack_placement",
]
