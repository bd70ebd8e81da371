"""Endpoint agent of magnoliagrade: the authority over one endpoint."""

import importlib

__all__ = ["AgentInstance", "AgentSettings"]

_MODULE_BY_NAME = {
    "AgentInstance": "magnoliagrade_agent.instance",
    "AgentSettings": "magnoliagrade_agent.settings",
}


def __getattr__(name):
    """Import what is re-exported when it is first used.

    Direct processes need none of it, and its libraries take memory and start-up time.
    """
    if name not in _MODULE_BY_NAME:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(_MODULE_BY_NAME[name]), name)
