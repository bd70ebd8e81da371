"""Messages that spread the configuration."""

from dataclasses import dataclass, field

from magnoliagrade.wire.message_table import message

__all__ = ["ConfigurationChunk", "ConfigurationOffer", "ConfigurationPull"]


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
