"""Agent of magnoliagrade that limits and forwards the requests to one endpoint."""

from magnoliagrade.lazy_exports import lazy_exports

__all__ = ["AgentInstance", "AgentSettings"]

__getattr__ = lazy_exports(
    __name__,
    {
        "AgentInstance": "magnoliagrade_agent.instance",
        "AgentSettings": "magnoliagrade_agent.settings",
    },
)
