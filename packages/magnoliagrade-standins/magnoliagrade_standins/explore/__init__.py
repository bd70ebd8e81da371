"""Random-walk model checker of the switch of a group's expert map."""

from magnoliagrade_standins.explore.command import explore_command
from magnoliagrade_standins.explore.exploration import (
    ExplorationPlan,
    RandomWalk,
    explore,
)
from magnoliagrade_standins.explore.faults import planted_faults

__all__ = [
    "ExplorationPlan",
    "RandomWalk",
    "explore",
    "explore_command",
    "planted_faults",
]
