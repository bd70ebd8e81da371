"""Entry that sends requests straight to the endpoints of the operators' platform."""

from magnoliagrade_entry.direct.instance import DirectEntry
from magnoliagrade_entry.direct.settings import DirectSettings

__all__ = ["DirectEntry", "DirectSettings"]
