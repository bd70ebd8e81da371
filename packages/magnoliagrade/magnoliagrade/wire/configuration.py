"""Messages that propagate the configuration and report an instance's state."""

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
    """A process with an older revision requests the configuration."""

    known_revision: int = 0
    known_digests: list = field(default_factory=list)


@dataclass(slots=True, kw_only=True)
class ConfigurationChunk:
    """One content-addressed chunk of the configuration."""

    name: str = ""
    digest: str = ""
    content: bytes = b""


@message("configuration", "offer")
class ConfigurationOffer:
    """A process with a newer revision sends the root and the missing chunks."""

    revision: int = 0
    root: bytes = b""
    chunks: list = field(default_factory=list, metadata={"of": ConfigurationChunk})


@message("configuration", "watch")
class ConfigurationWatch:
    """An entry reports whether the store responds to its watch."""

    is_watching: bool = False


@message("configuration", "statusPull")
class StatusPull:
    """An operator's command requests the state of an instance."""


@message("configuration", "statusReport")
class StatusReport:
    """An instance reports its state to an operator's command."""

    revision: int = 0
    operation: str = ""
    age_seconds: float = 0.0
    role: str = ""
    data_centre: str = ""
    not_ready: list = field(default_factory=list)
    is_leaving: bool = False
