"""Entry instance and operators' command line of magnoliagrade."""

from magnoliagrade_entry.instance import EntryInstance
from magnoliagrade_entry.settings import EntrySettings

__all__ = ["EntryInstance", "EntrySettings"]
