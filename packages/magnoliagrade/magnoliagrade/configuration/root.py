"""Root of the stored configuration: its revision, history and chunks."""

import json
from dataclasses import dataclass, field

from magnoliagrade.configuration.chunks import join_chunks
from magnoliagrade.errors import ErrorKind, MagnoliagradeError

__all__ = [
    "MAX_HISTORY_CHANGES",
    "Change",
    "ChunkReference",
    "ConfigurationRoot",
    "StoredConfiguration",
]

# Changes that the root keeps; older ones are dropped.
MAX_HISTORY_CHANGES = 100


@dataclass(slots=True, kw_only=True, frozen=True)
class ChunkReference:
    """Key and digest of a stored chunk.

    Parameters
    ----------
    digest : str
        Digest of the content of the chunk.
    revision : int
        Revision that the change which wrote the chunk was to make.
    operation : str
        Id of the change that wrote the chunk.
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
        Revision of the configuration after the change.
    operation : str
        Id of the change, given by its author.
    author : str
        Name of the author.
    time : str
        Time of the change in UTC by the author's clock, in ISO 8601.
    summary : str
        Description of the change for operators.
    """

    revision: int
    operation: str
    author: str
    time: str
    summary: str


@dataclass(slots=True, kw_only=True)
class ConfigurationRoot:
    """Value of the root key.

    Parameters
    ----------
    history : list of Change
        Latest changes, newest last. At least one; the last one created this root.
    chunk_by_name : dict of str to ChunkReference
        References to the chunks of the configuration, by chunk name.
    """

    history: list = field(default_factory=list)
    chunk_by_name: dict = field(default_factory=dict)

    @property
    def newest(self):
        """The change that created this root."""
        return self.history[-1]

    @property
    def revision(self):
        """Revision of the configuration."""
        return self.history[-1].revision

    def change_of(self, operation):
        """Return the change with an operation id, or None if not in the history."""
        for change in reversed(self.history):
            if change.operation == operation:
                return change
        return None

    def chunks_missing_from(self, other):
        """Return the names and references of this root's chunks not in another."""
        known = set(other.chunk_by_name.items())
        return [item for item in self.chunk_by_name.items() if item not in known]

    def descends_from(self, other):
        """Return whether another root is an ancestor of this one.

        Parameters
        ----------
        other : ConfigurationRoot
            A root of the same or a lower revision.

        Notes
        -----
        A root that is older than the whole history counts as an ancestor.
        """
        if other.revision < self.history[0].revision:
            return True
        change = self.change_of(other.newest.operation)
        return change is not None and change.revision == other.revision

    def to_bytes(self):
        """Return the root as the value of the root key, in JSON."""
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
        """Return the root parsed from the value of the root key.

        Raises
        ------
        MagnoliagradeError
            `CONFIGURATION_INVALID` if the value is not a root.
        """
        try:
            fields = json.loads(data)
            history = [_parse_change(*row) for row in fields["history"]]
            chunk_by_name = {
                name: _parse_reference(*row) for name, row in fields["chunks"].items()
            }
            if not history:
                raise ValueError("the history is empty")
        except (ValueError, KeyError, TypeError, AttributeError) as exc:
            detail = f"{len(data)} bytes are not a valid configuration root: {exc!r}"
            raise MagnoliagradeError(ErrorKind.CONFIGURATION_INVALID, detail) from exc
        return cls(history=history, chunk_by_name=chunk_by_name)


@dataclass(slots=True, kw_only=True)
class StoredConfiguration:
    """A root and the contents of all its chunks.

    Parameters
    ----------
    root : ConfigurationRoot
        The root.
    content_by_digest : dict of str to str
        Contents of the chunks, by digest.
    store_revision : int
        Store revision of the root key; 0 if the configuration came from a peer.
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
        """The complete configuration as canonical INI."""
        return join_chunks(
            {
                name: self.content_by_digest[reference.digest]
                for name, reference in self.root.chunk_by_name.items()
            }
        )


def _parse_change(revision, operation, author, time, summary):
    if not isinstance(revision, int) or revision < 1:
        raise ValueError(f"revision {revision!r} is not a positive integer")
    return Change(
        revision=revision,
        operation=str(operation),
        author=str(author),
        time=str(time),
        summary=str(summary),
    )


def _parse_reference(digest, revision, operation):
    return ChunkReference(
        digest=str(digest), revision=int(revision), operation=str(operation)
    )
