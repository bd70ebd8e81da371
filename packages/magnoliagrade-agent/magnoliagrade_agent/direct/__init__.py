"""Agent beside a model server of the operators' platform."""

import importlib

__all__ = ["DirectAgent", "DirectAgentSettings"]

_MODULE_BY_NAME = {
    "DirectAgent": "magnoliagrade_agent.direct.instance",
    "DirectAgentSettings": "magnoliagrade_agent.direct.settings",
}


def __getattr__(name):
    """Import what is re-exported when it is first used."""
    if name not in _MODULE_BY_NAME:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(_MODULE_BY_NAME[name]), name)
