"""Expert-parallel groups: what an agent does for its rank."""

from magnoliagrade_agent.group.coordinator import SwitchCoordinator, SwitchPhase
from magnoliagrade_agent.group.member import GroupMember
from magnoliagrade_agent.group.orders import RankOrders, RankState
from magnoliagrade_agent.group.view import (
    GroupView,
    MapRecord,
    Outcome,
    Switch,
)

__all__ = [
    "GroupMember",
    "MapRecord",
    "GroupView",
    "Outcome",
    "RankOrders",
    "RankState",
    "Switch",
    "SwitchCoordinator",
    "SwitchPhase",
]
