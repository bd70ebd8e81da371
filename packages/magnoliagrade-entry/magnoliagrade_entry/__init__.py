"""Entry instance and operators' command line of magnoliagrade."""

import importlib

__all__ = ["EntryInstance", "EntrySettings"]

_MODULE_BY_NAME = {
    "EntryInstance": "magnoliagrade_entry.instance",
    "EntrySettings": "magnoliagrade_entry.settings",
}


def __getattr__(name):
    """Import what is re-exported when it is first used.

    Direct processes need none of it, and its libraries take memory and start-up time.
    """
    if name not in _MODULE_BY_NAME:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(_MODULE_BY_NAME[name]), name)
