"""Endpoint agent of magnoliagrade: the authority over one endpoint."""

from magnoliagrade_agent.instance import AgentInstance
from magnoliagrade_agent.settings import AgentSettings

__all__ = ["AgentInstance", "AgentSettings"]
