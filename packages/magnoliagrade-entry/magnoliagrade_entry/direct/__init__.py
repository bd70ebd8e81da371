"""Entry that sends requests directly to the endpoints of the operators' platform."""

from magnoliagrade.lazy_exports import lazy_exports

__all__ = ["DirectEntry", "DirectSettings"]

__getattr__ = lazy_exports(
    __name__,
    {
        "DirectEntry": "magnoliagrade_entry.direct.instance",
        "DirectSettings": "magnoliagrade_entry.direct.settings",
    },
)
