"""Entry instance and operators' command line of magnoliagrade."""

from magnoliagrade.lazy_exports import lazy_exports

__all__ = ["EntryInstance", "EntrySettings"]

__getattr__ = lazy_exports(
    __name__,
    {
        "EntryInstance": "magnoliagrade_entry.instance",
        "EntrySettings": "magnoliagrade_entry.settings",
    },
)
