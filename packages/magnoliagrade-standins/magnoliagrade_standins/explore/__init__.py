"""Explorer of message orders, losses and restarts in the switch of a map."""

from magnoliagrade_standins.explore.command import explore_command
from magnoliagrade_standins.explore.exploration import (
    Exploration,
    ExplorationPlan,
    explore,
)
from magnoliagrade_standins.explore.faults import planted_faults

__all__ = [
    "explore_command",
    "Exploration",
    "ExplorationPlan",
    "explore",
    "planted_faults",
]
