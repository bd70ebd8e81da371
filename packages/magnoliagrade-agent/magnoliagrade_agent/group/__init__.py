"""Expert-parallel groups: what an agent does for its rank."""

from magnoliagrade_agent.group.coordinator import SwitchCoordinator, SwitchPhase
from magnoliagrade_agent.group.knowledge import (
    GroupRecord,
    Knowledge,
    Outcome,
    Switch,
)
from magnoliagrade_agent.group.member import GroupMember
from magnoliagrade_agent.group.orders import RankOrders, RankState

__all__ = [
    "GroupMember",
    "GroupRecord",
    "Knowledge",
    "Outcome",
    "RankOrders",
    "RankState",
    "Switch",
    "SwitchCoordinator",
    "SwitchPhase",
]
