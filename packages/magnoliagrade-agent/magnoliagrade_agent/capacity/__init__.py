"""How much an endpoint bears and who may use it."""

from magnoliagrade_agent.capacity.credits import CreditBook
from magnoliagrade_agent.capacity.limits import LimitPolicy, limit_policies

__all__ = ["CreditBook", "LimitPolicy", "limit_policies"]
