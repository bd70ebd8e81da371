"""Reading and changing of the configuration in the platform's store."""

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
    MAX_HISTORY_CHANGES,
    Change,
    ChunkReference,
    ConfigurationRoot,
    StoredConfiguration,
)
from magnoliagrade.configuration.storage import ConfigurationStorage
from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.store.client import StoreConflict

__all__ = ["ConfigurationRepository"]

# Longer summaries of changes are truncated in the history.
MAX_SUMMARY_CHARS = 120
# Revisions between two sweeps for chunks that failed writers left behind.
SWEEP_INTERVAL_REVISIONS = 50


class ConfigurationRepository:
    """Repository of the configuration in the platform's store.

    Parameters
    ----------
    store : Store
        The platform's store.
    clock : Clock, optional
        Source of time; the system's by default.
    rng : random.Random, optional
        Source of jitter.
    retry_timeout_s : float
        Time in seconds over which a change retries its writes while the store is
        unavailable or limits calls.
    is_in_background : bool
        Whether changes are computed in a thread, so that they do not block the event
        loop of a process that serves requests.

    Notes
    -----
    A change is accepted when its compare-and-swap of the root key succeeds. A write
    whose response was lost is repeated with the same bytes: the root key has the
    expected store revision only once, so the write takes effect at most once, and the
    history in the root shows whether it did.
    """

    __slots__ = ("_chunks", "_clock", "_is_in_background", "_storage")

    def __init__(
        self,
        *,
        store,
        clock=None,
        rng=None,
        retry_timeout_s=10.0,
        is_in_background=False,
    ):
        self._is_in_background = is_in_background
        self._clock = clock or SystemClock()
        self._chunks = ParsedChunks()
        self._storage = ConfigurationStorage(
            store=store,
            clock=self._clock,
            rng=rng or random.Random(),
            retry_timeout_s=retry_timeout_s,
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
        """Wait for a newer configuration; return it, or None on timeout.

        Parameters
        ----------
        store_revision : int
            Store revision of the root key that is already known.
        wait_s : float
            Maximum wait in seconds.
        known : StoredConfiguration, optional
            One whose chunks need not be read again.
        """
        value = await self._storage.watch_root(store_revision, wait_s=wait_s)
        return None if value is None else await self._storage.load_chunks(value, known)

    async def apply(self, text, *, author, expected_revision=None):
        """Replace the complete configuration and return its revision.

        Parameters
        ----------
        text : str
            INI text.
        author : str
            Name of the author.
        expected_revision : int, optional
            Revision that the change was made from; any by default.

        Raises
        ------
        InvalidDocument
            If the text has problems.
        MagnoliagradeError
            See `change`.
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
        """Make a change and return the resulting configuration.

        Parameters
        ----------
        change : ReplaceAll or SetLabels
            The change.
        author : str
            Name of the author.
        expected_revision : int, optional
            Revision that the change was made from; any by default.
        operation : str
            Id of the change; random by default. A change whose id is in the history is
            not made again.
        held_revision : int
            Highest revision known to be in force on an instance.
        is_superseding : bool
            Whether to make the change, with a revision above `held_revision`, even if
            the store holds an older revision than the instances.

        Returns
        -------
        stored : StoredConfiguration
            A configuration whose history holds the accepted change.

        Raises
        ------
        MagnoliagradeError
            `CONFLICT` if a concurrent change altered the same values or the expected
            revision differs, `CONFIGURATION_STALE` if the store holds an older revision
            than the instances, `STORE_UNAVAILABLE` if the change was not accepted
            because the store does not respond, `OUTCOME_UNKNOWN` if it may have been
            accepted.
        """
        operation = operation or secrets.token_hex(8)
        base = await self.load()
        if base is not None and base.root.change_of(operation) is not None:
            return base
        _check_base(base, expected_revision, held_revision, is_superseding)
        min_base_revision = held_revision if is_superseding else 0
        try:
            return await self._retry_until_accepted(
                change,
                base,
                author=author,
                operation=operation,
                min_base_revision=min_base_revision,
            )
        finally:
            # The cache serves only the attempts of one change.
            self._chunks = ParsedChunks()

    async def restore(self, stored):
        """Write back a configuration that the store has lost.

        Parameters
        ----------
        stored : StoredConfiguration
            Configuration in force on an instance.

        Returns
        -------
        restored : bool
            Whether it was written; False if the store holds this revision or a newer
            one.

        Raises
        ------
        MagnoliagradeError
            `CONFLICT` if the stored revision is not an ancestor of the configuration
            in force.
        """
        root, store_revision = await self._storage.read_root()
        if root is not None:
            if root.revision >= stored.revision:
                return False
            if not stored.root.descends_from(root):
                newest = root.newest
                detail = (
                    f"revision {root.revision} by {newest.author} in the store is "
                    f"not an ancestor of revision {stored.revision} in force"
                )
                raise MagnoliagradeError(ErrorKind.CONFLICT, detail)
        base = StoredConfiguration(
            root=ConfigurationRoot(),
            content_by_digest={},
            store_revision=store_revision,
        )
        return await self._storage.write(stored, base)

    async def _retry_until_accepted(
        self, change, base, *, author, operation, min_base_revision
    ):
        while True:
            attempt = await self._call(
                self._prepare_attempt,
                change,
                base,
                author,
                operation,
                min_base_revision,
            )
            if await self._write(attempt):
                await self._delete_unused_chunks(attempt)
                return attempt.stored
            newest = await self.load(attempt.base)
            if not await self._call(self._can_retry_on, change, attempt, newest):
                raise _conflict(newest)
            base = newest

    async def _call(self, function, *arguments):
        if self._is_in_background:
            return await asyncio.to_thread(function, *arguments)
        return function(*arguments)

    def _prepare_attempt(self, change, base, author, operation, min_base_revision):
        before = self._chunks.join(base) if base else Configuration()
        after = change.apply_to(before)
        revision = max(before.revision, min_base_revision) + 1
        new_change = Change(
            revision=revision,
            operation=operation,
            author=author,
            time=self._clock.now().isoformat(timespec="seconds"),
            summary=change.summary(before, after)[:MAX_SUMMARY_CHARS],
        )
        return _Attempt(
            base=base or _empty_configuration(),
            before=before,
            stored=_build_stored(base, new_change, after),
        )

    async def _write(self, attempt):
        accepted = False
        is_outcome_known = True
        try:
            accepted = await self._storage.write(attempt.stored, attempt.base)
        except MagnoliagradeError as exc:
            is_outcome_known = exc.kind is not ErrorKind.OUTCOME_UNKNOWN
            raise
        finally:
            # If the outcome is unknown, the root may reference the new chunks.
            if is_outcome_known and not accepted:
                added = attempt.stored.root.chunks_missing_from(attempt.base.root)
                await self._storage.delete_chunks(added)
        return accepted

    def _can_retry_on(self, change, attempt, newest):
        if newest is None:
            return False
        return change.affected_values(attempt.before) == change.affected_values(
            self._chunks.join(newest)
        )

    async def _delete_unused_chunks(self, attempt):
        replaced = attempt.base.root.chunks_missing_from(attempt.stored.root)
        await self._storage.delete_chunks(replaced)
        if attempt.stored.revision % SWEEP_INTERVAL_REVISIONS == 0:
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
            f"the store holds revision {revision}, older than revision "
            f"{held_revision} in force on instances; retry after an instance has "
            "written it back"
        )
        raise MagnoliagradeError(ErrorKind.CONFIGURATION_STALE, detail, retry_after=5)
    newest = max(revision, held_revision)
    if expected_revision is not None and newest != expected_revision:
        raise _conflict(base)


def _build_stored(base, new_change, after):
    reference_by_name = {}
    content_by_digest = {}
    known = base.root.chunk_by_name if base else {}
    for name, content in split_configuration(after).items():
        digest = chunk_digest(content)
        content_by_digest[digest] = content
        reference = known.get(name)
        if reference is None or reference.digest != digest:
            reference = ChunkReference(
                digest=digest,
                revision=new_change.revision,
                operation=new_change.operation,
            )
        reference_by_name[name] = reference
    history = [*(base.root.history if base else ()), new_change]
    root = ConfigurationRoot(
        history=history[-MAX_HISTORY_CHANGES:], chunk_by_name=reference_by_name
    )
    return StoredConfiguration(root=root, content_by_digest=content_by_digest)


def _empty_configuration():
    return StoredConfiguration(root=ConfigurationRoot(), content_by_digest={})


def _conflict(newest):
    if newest is None:
        return StoreConflict(
            "the change conflicts with the store, which holds no configuration"
        )
    change = newest.root.newest
    detail = (
        "the change conflicts with the configuration in the store: "
        f"revision {change.revision} was written by {change.author} at {change.time}"
    )
    return MagnoliagradeError(ErrorKind.CONFLICT, detail)
