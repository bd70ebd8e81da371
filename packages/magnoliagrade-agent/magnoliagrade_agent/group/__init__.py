"""Membership of an agent and its rank in an expert-parallel group."""

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
    "GroupView",
    "MapRecord",
    "Outcome",
    "RankOrders",
    "RankState",
    "Switch",
    "SwitchCoordinator",
    "SwitchPhase",
]
