"""Agent that runs beside a model server of the operators' platform."""

from magnoliagrade.lazy_exports import lazy_exports

__all__ = ["DirectAgent", "DirectAgentSettings"]

__getattr__ = lazy_exports(
    __name__,
    {
        "DirectAgent": "magnoliagrade_agent.direct.instance",
        "DirectAgentSettings": "magnoliagrade_agent.direct.settings",
    },
)
