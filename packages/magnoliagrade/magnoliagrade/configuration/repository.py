"""Reading and changing the configuration in the platform's store."""

import asyncio
import random
import secrets
from dataclasses import dataclass

from magnoliagrade.clock import SystemClock
from magnoliagrade.configuration.changes import ReplaceAll
from magnoliagrade.configuration.chunks import (
    ParsedChunks,
    chunk_digest,
    split_configuration,
)
from magnoliagrade.configuration.document import Configuration
from magnoliagrade.configuration.root import (
    HISTORY_LENGTH,
    Change,
    ChunkReference,
    ConfigurationRoot,
    StoredConfiguration,
)
from magnoliagrade.configuration.storage import ConfigurationStorage
from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.store.client import StoreConflict

__all__ = ["ConfigurationRepository"]

SUMMARY_LENGTH = 120
SWEEP_EVERY_REVISIONS = 50


class ConfigurationRepository:
    """The configuration in the platform's store.

    Parameters
    ----------
    store : Store
        The platform's store.
    clock : Clock, optional
        Source of time; the system's by default.
    rng : random.Random, optional
        Source of jitter.
    patience_s : float
        How long a change goes on asking a store that does not answer.
    is_in_background : bool
        Whether changes are worked out in a thread, so that the event loop of a
        process that serves requests goes on.

    Notes
    -----
    A change is accepted when its compare-and-swap on the root key took effect.
    A write whose answer was lost is repeated with the same bytes: the store
    revision that it expects can be met only once, so it takes effect at most once,
    and the history in the root tells whether it did.
    """

    __slots__ = ("_chunks", "_clock", "_is_in_background", "_storage")

    def __init__(
        self,
        *,
        store,
        clock=None,
        rng=None,
        patience_s=10.0,
        is_in_background=False,
    ):
        self._is_in_background = is_in_background
        self._clock = clock or SystemClock()
        self._chunks = ParsedChunks()
        self._storage = ConfigurationStorage(
            store=store,
            clock=self._clock,
            rng=rng or random.Random(),
            patience_s=patience_s,
        )

    async def load(self, known=None):
        """Return the stored configuration, or None if there is none yet.

        Parameters
        ----------
        known : StoredConfiguration, optional
            One whose chunks need not be read again.
        """
        return await self._storage.load(known)

    async def wait_for_change(self, store_revision, *, wait_s, known=None):
        """Return the stored configuration once it is newer, or None in time.

        Parameters
        ----------
        store_revision : int
            Store revision that is known.
        wait_s : float
            Longest wait in seconds.
        known : StoredConfiguration, optional
            One whose chunks need not be read again.
        """
        value = await self._storage.watch_root(store_revision, wait_s=wait_s)
        return None if value is None else await self._storage.complete(value, known)

    async def apply(self, text, *, author, expected_revision=None):
        """Replace the whole configuration and return its revision.

        Parameters
        ----------
        text : str
            INI text.
        author : str
            Who changes it.
        expected_revision : int, optional
            Revision that the change was made from; any by default.

        Raises
        ------
        InvalidDocument
            If the text has problems.
        MagnoliagradeError
            As `change`.
        """
        change = ReplaceAll(text=text)
        stored = await self.change(
            change, author=author, expected_revision=expected_revision
        )
        return stored.revision

    async def change(
        self,
        change,
        *,
        author,
        expected_revision=None,
        operation="",
        held_revision=0,
        is_superseding=False,
    ):
        """Make a change and return the configuration that came of it.

        Parameters
        ----------
        change : ReplaceAll or SetLabels
            The change.
        author : str
            Who makes it.
        expected_revision : int, optional
            Revision that the change was made from; any by default.
        operation : str
            Id to find the change again; drawn by default. A change that the
            history holds under this id is not made again.
        held_revision : int
            Highest revision that an instance was found to have in force.
        is_superseding : bool
            Whether a store that is behind the instances is changed all the same,
            with a revision above theirs.

        Returns
        -------
        stored : StoredConfiguration
            A configuration whose history holds the accepted change.

        Raises
        ------
        MagnoliagradeError
            `CONFLICT` if another change came first that this one may not follow,
            `CONFIGURATION_STALE` if the store is behind the instances,
            `STORE_UNAVAILABLE` if it was not accepted because the store does not
            answer, `OUTCOME_UNKNOWN` if it may have been accepted.
        """
        operation = operation or secrets.token_hex(8)
        base = await self.load()
        if base is not None and base.root.change_of(operation) is not None:
            return base
        _check_base(base, expected_revision, held_revision, is_superseding)
        floor = held_revision if is_superseding else 0
        try:
            return await self._try_until_settled(
                change, base, author=author, operation=operation, floor=floor
            )
        finally:
            self._chunks = ParsedChunks()

    async def restore(self, stored):
        """Write back a configuration that the store has lost.

        Parameters
        ----------
        stored : StoredConfiguration
            What an instance has in force.

        Returns
        -------
        restored : bool
            False if the store holds this revision or a newer one.

        Raises
        ------
        MagnoliagradeError
            `CONFLICT` if the store holds a change that the configuration in force
            does not descend from.
        """
        root, store_revision = await self._storage.read_root()
        if root is not None:
            if root.revision >= stored.revision:
                return False
            if not stored.root.descends_from(root):
                newest = root.newest
                detail = (
                    f"revision {root.revision} by {newest.author} in the store is no "
                    f"ancestor of revision {stored.revision} in force"
                )
                raise MagnoliagradeError(ErrorKind.CONFLICT, detail)
        base = StoredConfiguration(
            root=ConfigurationRoot(),
            content_by_digest={},
            store_revision=store_revision,
        )
        return await self._storage.write(stored, base)

    async def _try_until_settled(self, change, base, *, author, operation, floor):
        while True:
            attempt = await self._run(
                self._attempt, change, base, author, operation, floor
            )
            if await self._write(attempt):
                await self._tidy(attempt)
                return attempt.stored
            newest = await self.load(attempt.base)
            if not await self._run(self._may_follow, change, attempt, newest):
                raise _conflict(newest)
            base = newest

    async def _run(self, function, *arguments):
        if self._is_in_background:
            return await asyncio.to_thread(function, *arguments)
        return function(*arguments)

    def _attempt(self, change, base, author, operation, floor):
        before = self._chunks.join(base) if base else Configuration()
        after = change.make(before)
        revision = max(before.revision, floor) + 1
        made = Change(
            revision=revision,
            operation=operation,
            author=author,
            time=self._clock.now().isoformat(timespec="seconds"),
            summary=change.summary(before, after)[:SUMMARY_LENGTH],
        )
        return _Attempt(
            base=base or _nothing(), before=before, stored=_next(base, made, after)
        )

    async def _write(self, attempt):
        accepted = False
        is_known = True
        try:
            accepted = await self._storage.write(attempt.stored, attempt.base)
        except MagnoliagradeError as exc:
            is_known = exc.kind is not ErrorKind.OUTCOME_UNKNOWN
            raise
        finally:
            if is_known and not accepted:
                added = attempt.stored.root.chunks_beyond(attempt.base.root)
                await self._storage.delete_chunks(added)
        return accepted

    def _may_follow(self, change, attempt, newest):
        if newest is None:
            return False
        return change.touched(attempt.before) == change.touched(
            self._chunks.join(newest)
        )

    async def _tidy(self, attempt):
        replaced = attempt.base.root.chunks_beyond(attempt.stored.root)
        await self._storage.delete_chunks(replaced)
        if attempt.stored.revision % SWEEP_EVERY_REVISIONS == 0:
            await self._storage.sweep()


@dataclass(slots=True, kw_only=True)
class _Attempt:
    base: StoredConfiguration
    before: Configuration
    stored: StoredConfiguration


def _check_base(base, expected_revision, held_revision, is_superseding):
    revision = base.revision if base else 0
    if held_revision > revision and not is_superseding:
        detail = (
            f"the store holds revision {revision}, instances have "
            f"{held_revision} in force; they write it back"
        )
        raise MagnoliagradeError(ErrorKind.CONFIGURATION_STALE, detail, retry_after=5)
    newest = max(revision, held_revision)
    if expected_revision is not None and newest != expected_revision:
        raise _conflict(base)


def _next(base, made, after):
    reference_by_name = {}
    content_by_digest = {}
    known = base.root.chunk_by_name if base else {}
    for name, content in split_configuration(after).items():
        digest = chunk_digest(content)
        content_by_digest[digest] = content
        reference = known.get(name)
        if reference is None or reference.digest != digest:
            reference = ChunkReference(
                digest=digest, revision=made.revision, operation=made.operation
            )
        reference_by_name[name] = reference
    history = [*(base.root.history if base else ()), made]
    root = ConfigurationRoot(
        history=history[-HISTORY_LENGTH:], chunk_by_name=reference_by_name
    )
    return StoredConfiguration(root=root, content_by_digest=content_by_digest)


def _nothing():
    return StoredConfiguration(root=ConfigurationRoot(), content_by_digest={})


def _conflict(newest):
    if newest is None:
        return StoreConflict("the store holds no configuration")
    made = newest.root.newest
    detail = f"revision {made.revision} was written by {made.author} at {made.time}"
    return MagnoliagradeError(ErrorKind.CONFLICT, detail)
