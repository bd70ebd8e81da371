"""Entry that sends requests straight to the endpoints of the operators' platform."""

import importlib

__all__ = ["DirectEntry", "DirectSettings"]

_MODULE_BY_NAME = {
    "DirectEntry": "magnoliagrade_entry.direct.instance",
    "DirectSettings": "magnoliagrade_entry.direct.settings",
}


def __getattr__(name):
    """Import what is re-exported when it is first used, after the listener is open."""
    if name not in _MODULE_BY_NAME:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(_MODULE_BY_NAME[name]), name)
