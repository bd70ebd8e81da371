"""Messages that spread the configuration."""

from dataclasses import dataclass, field

from magnoliagrade.wire.message_table import message

__all__ = [
    "ConfigurationChunk",
    "ConfigurationOffer",
    "ConfigurationPull",
    "ConfigurationWatch",
    "StatusPull",
    "StatusReport",
]


@message("configuration", "pull")
class ConfigurationPull:
    """A process that is behind asks for the configuration."""

    known_revision: int = 0
    known_digests: list = field(default_factory=list)


@dataclass(slots=True, kw_only=True)
class ConfigurationChunk:
    """One content-addressed part of the configuration."""

    name: str = ""
    digest: str = ""
    content: bytes = b""


@message("configuration", "offer")
class ConfigurationOffer:
    """A process that is ahead sends the root and the chunks that are missing."""

    revision: int = 0
    root: bytes = b""
    chunks: list = field(default_factory=list, metadata={"of": ConfigurationChunk})


@message("configuration", "watch")
class ConfigurationWatch:
    """An entry tells whether the store answers its watch."""

    is_watching: bool = False


@message("configuration", "statusPull")
class StatusPull:
    """An operator's command asks for the state of an instance."""


@message("configuration", "statusReport")
class StatusReport:
    """State of an instance for an operator."""

    revision: int = 0
    operation: str = ""
    age_seconds: float = 0.0
    role: str = ""
    data_centre: str = ""
    not_ready: list = field(default_factory=list)
    is_leaving: bool = False
