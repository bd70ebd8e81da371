"""Reading and changing the configuration in the platform's store."""

import json
import secrets
from dataclasses import dataclass

from magnoliagrade.configuration.ini import parse_configuration
from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.platform.store import StoreConflict

__all__ = [
    "ROOT_KEY",
    "ConfigurationRepository",
    "StoredConfiguration",
    "decode_stored",
]

ROOT_KEY = "configuration/root"


@dataclass(slots=True, kw_only=True)
class StoredConfiguration:
    """A configuration as the store holds it.

    Parameters
    ----------
    revision : int
        Revision of the configuration.
    operation : str
        Id of the change that wrote it.
    author : str
        Who wrote it.
    text : str
        INI text.
    store_revision : int
        Revision of the store's key, for compare-and-swap.
    """

    revision: int
    operation: str
    author: str
    text: str
    store_revision: int

    def parsed(self):
        """Return the configuration as objects."""
        return parse_configuration(self.text, revision=self.revision)

    def to_bytes(self):
        """Return the value to be written to the store."""
        return json.dumps(
            {
                "revision": self.revision,
                "operation": self.operation,
                "author": self.author,
                "text": self.text,
            }
        ).encode()


class ConfigurationRepository:
    """The configuration in the platform's store.

    Parameters
    ----------
    store : Store
        The platform's store.
    """

    __slots__ = ("_store",)

    def __init__(self, *, store):
        self._store = store

    async def load(self):
        """Return the stored configuration, or None if there is none yet."""
        value = await self._store.get(ROOT_KEY, purpose="configuration")
        return stored_configuration(value)

    async def wait_for_change(self, store_revision, *, wait_s):
        """Return the stored configuration once it is newer, or None in time.

        Parameters
        ----------
        store_revision : int
            Store revision that is known.
        wait_s : float
            Longest wait in seconds.
        """
        value = await self._store.watch(
            ROOT_KEY,
            after_revision=store_revision,
            wait_s=wait_s,
            purpose="configuration",
        )
        return stored_configuration(value)

    async def apply(self, text, *, author, expected_revision=None):
        """Write a configuration and return its revision.

        Parameters
        ----------
        text : str
            INI text.
        author : str
            Who changes it.
        expected_revision : int, optional
            Revision that the change was made from; any by default.

        Returns
        -------
        revision : int
            Revision of the accepted configuration.

        Raises
        ------
        InvalidDocument
            If the text has problems.
        MagnoliagradeError
            `CONFLICT` if another change came first.
        """
        parse_configuration(text)
        current = await self.load()
        revision = current.revision if current else 0
        if expected_revision is not None and revision != expected_revision:
            raise _conflict(current)
        stored = StoredConfiguration(
            revision=revision + 1,
            operation=secrets.token_hex(8),
            author=author,
            text=text,
            store_revision=current.store_revision if current else 0,
        )
        try:
            await self._store.put(
                ROOT_KEY,
                stored.to_bytes(),
                expected_revision=stored.store_revision,
                purpose="configuration",
            )
        except StoreConflict as exc:
            newest = await self.load()
            if newest is None or newest.operation != stored.operation:
                raise _conflict(newest) from exc
        return stored.revision


def stored_configuration(value):
    """Return the stored configuration that a store value holds, or None."""
    if value is None:
        return None
    return decode_stored(value.value, store_revision=value.revision)


def decode_stored(data, *, store_revision=0):
    """Return the stored configuration that bytes hold.

    Parameters
    ----------
    data : bytes
        What `StoredConfiguration.to_bytes` gave.
    store_revision : int
        Revision of the store's key; 0 if the bytes came from a peer.

    Raises
    ------
    MagnoliagradeError
        `CONFIGURATION_INVALID` if the bytes hold no configuration.
    """
    try:
        fields = json.loads(data)
        return StoredConfiguration(
            revision=fields["revision"],
            operation=fields["operation"],
            author=fields["author"],
            text=fields["text"],
            store_revision=store_revision,
        )
    except (ValueError, KeyError, TypeError) as exc:
        detail = f"{len(data)} bytes hold no configuration: {exc!r}"
        raise MagnoliagradeError(ErrorKind.CONFIGURATION_INVALID, detail) from exc


def _conflict(newest):
    detail = f"revision {newest.revision} was written by {newest.author}"
    return MagnoliagradeError(ErrorKind.CONFLICT, detail)
