"""How much an endpoint bears and who may use it."""

from magnoliagrade_agent.capacity.continuity import BootContinuity
from magnoliagrade_agent.capacity.credits import CreditBook
from magnoliagrade_agent.capacity.evidence import EvidenceLimit, LatencyTrend
from magnoliagrade_agent.capacity.grants import Grant, GrantBook
from magnoliagrade_agent.capacity.limits import (
    Completion,
    FixedLimit,
    LimitPolicy,
    limit_policies,
)
from magnoliagrade_agent.capacity.residue import Residue
from magnoliagrade_agent.capacity.work import EndpointWork

__all__ = [
    "BootContinuity",
    "Completion",
    "CreditBook",
    "EndpointWork",
    "EvidenceLimit",
    "FixedLimit",
    "Grant",
    "GrantBook",
    "LatencyTrend",
    "LimitPolicy",
    "Residue",
    "limit_policies",
]
