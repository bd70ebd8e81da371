"""Endpoint agent of magnoliagrade: the authority over one endpoint."""

from magnoliagrade.lazy_exports import lazy_exports

__all__ = ["AgentInstance", "AgentSettings"]

__getattr__ = lazy_exports(
    __name__,
    {
        "AgentInstance": "magnoliagrade_agent.instance",
        "AgentSettings": "magnoliagrade_agent.settings",
    },
)
