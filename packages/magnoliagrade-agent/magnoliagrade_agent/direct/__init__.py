"""Agent beside a model server of the operators' platform."""

from magnoliagrade_agent.direct.instance import DirectAgent
from magnoliagrade_agent.direct.settings import DirectAgentSettings

__all__ = ["DirectAgent", "DirectAgentSettings"]
