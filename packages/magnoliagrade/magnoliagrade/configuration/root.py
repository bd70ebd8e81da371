"""The root of the stored configuration: its revision, history and chunks."""

import json
from dataclasses import dataclass, field

from magnoliagrade.configuration.chunks import join_chunks
from magnoliagrade.errors import ErrorKind, MagnoliagradeError

__all__ = [
    "HISTORY_LENGTH",
    "Change",
    "ChunkReference",
    "ConfigurationRoot",
    "StoredConfiguration",
]

HISTORY_LENGTH = 100


@dataclass(slots=True, kw_only=True, frozen=True)
class ChunkReference:
    """Where a chunk is stored and what it holds.

    Parameters
    ----------
    digest : str
        Digest of its content.
    revision : int
        Revision that the change which wrote it aimed at.
    operation : str
        Id of that change.
    """

    digest: str
    revision: int
    operation: str


@dataclass(slots=True, kw_only=True, frozen=True)
class Change:
    """One accepted change.

    Parameters
    ----------
    revision : int
        Revision that it made.
    operation : str
        Id that its author gave it.
    author : str
        Who made it.
    time : str
        When, in ISO 8601 and UTC, by the author's clock.
    summary : str
        What it changed, for people.
    """

    revision: int
    operation: str
    author: str
    time: str
    summary: str


@dataclass(slots=True, kw_only=True)
class ConfigurationRoot:
    """What the root key holds.

    Parameters
    ----------
    history : list of Change
        Newest last, at least one; the last one made this root.
    chunk_by_name : dict of str to ChunkReference
        Chunks of the configuration.
    """

    history: list = field(default_factory=list)
    chunk_by_name: dict = field(default_factory=dict)

    @property
    def newest(self):
        """The change that made this root."""
        return self.history[-1]

    @property
    def revision(self):
        """Revision of the configuration."""
        return self.history[-1].revision

    def change_of(self, operation):
        """Return the change that an operation made, or None."""
        for change in reversed(self.history):
            if change.operation == operation:
                return change
        return None

    def chunks_beyond(self, other):
        """Return names and references of the chunks that another root lacks."""
        known = set(other.chunk_by_name.items())
        return [item for item in self.chunk_by_name.items() if item not in known]

    def descends_from(self, other):
        """Return whether this root was made from another one.

        Parameters
        ----------
        other : ConfigurationRoot
            A root of the same or a lower revision.

        Notes
        -----
        The other root counts as an ancestor when it is older than the history.
        """
        if other.revision < self.history[0].revision:
            return True
        change = self.change_of(other.newest.operation)
        return change is not None and change.revision == other.revision

    def to_bytes(self):
        """Return the value of the root key."""
        fields = {
            "history": [
                [c.revision, c.operation, c.author, c.time, c.summary]
                for c in self.history
            ],
            "chunks": {
                name: [r.digest, r.revision, r.operation]
                for name, r in sorted(self.chunk_by_name.items())
            },
        }
        return json.dumps(fields, separators=(",", ":")).encode()

    @classmethod
    def from_bytes(cls, data):
        """Return the root that a value holds.

        Raises
        ------
        MagnoliagradeError
            `CONFIGURATION_INVALID` if the value is no root.
        """
        try:
            fields = json.loads(data)
            history = [_change(*row) for row in fields["history"]]
            chunk_by_name = {
                name: _reference(*row) for name, row in fields["chunks"].items()
            }
            if not history:
                raise ValueError("there is no history")
        except (ValueError, KeyError, TypeError, AttributeError) as exc:
            detail = f"{len(data)} bytes hold no configuration root: {exc!r}"
            raise MagnoliagradeError(ErrorKind.CONFIGURATION_INVALID, detail) from exc
        return cls(history=history, chunk_by_name=chunk_by_name)


@dataclass(slots=True, kw_only=True)
class StoredConfiguration:
    """A root with the content of all its chunks.

    Parameters
    ----------
    root : ConfigurationRoot
        The root.
    content_by_digest : dict of str to str
        Contents of its chunks.
    store_revision : int
        Revision of the store's root key; 0 if it came from a peer.
    """

    root: ConfigurationRoot
    content_by_digest: dict
    store_revision: int = 0

    @property
    def revision(self):
        """Revision of the configuration."""
        return self.root.revision

    @property
    def text(self):
        """The whole configuration in canonical INI."""
        return join_chunks(
            {
                name: self.content_by_digest[reference.digest]
                for name, reference in self.root.chunk_by_name.items()
            }
        )


def _change(revision, operation, author, time, summary):
    if not isinstance(revision, int) or revision < 1:
        raise ValueError(f"revision {revision!r} is not a positive number")
    return Change(
        revision=revision,
        operation=str(operation),
        author=str(author),
        time=str(time),
        summary=str(summary),
    )


def _reference(digest, revision, operation):
    return ChunkReference(
        digest=str(digest), revision=int(revision), operation=str(operation)
    )
