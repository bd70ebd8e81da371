"""Capacity of an endpoint: its limit, and the credit that entries hold for it."""

from magnoliagrade_agent.capacity.continuity import BootContinuity
from magnoliagrade_agent.capacity.credits import CreditLedger
from magnoliagrade_agent.capacity.evidence import EvidenceLimit, LatencyTrend
from magnoliagrade_agent.capacity.grants import Grant, GrantTable
from magnoliagrade_agent.capacity.limits import (
    Completion,
    FixedLimit,
    LimitPolicy,
    limit_policies,
)
from magnoliagrade_agent.capacity.untracked_work import UntrackedWork
from magnoliagrade_agent.capacity.work import EndpointWork

__all__ = [
    "BootContinuity",
    "Completion",
    "CreditLedger",
    "EndpointWork",
    "EvidenceLimit",
    "FixedLimit",
    "Grant",
    "GrantTable",
    "LatencyTrend",
    "LimitPolicy",
    "UntrackedWork",
    "limit_policies",
]
