"""Keys of the configuration in the platform's store, read and written safely."""

import asyncio
import contextlib
import logging

from magnoliagrade.configuration.chunks import chunk_digest
from magnoliagrade.configuration.root import ConfigurationRoot, StoredConfiguration
from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.observability.logs import log_event
from magnoliagrade.store.client import StoreConflict

__all__ = ["CHUNK_PREFIX", "ROOT_KEY", "ConfigurationStorage"]

ROOT_KEY = "configuration/root"
CHUNK_PREFIX = "configuration/chunk/"
PARALLEL_CALLS = 8
LIST_FROM_CHUNKS = 8
READ_ATTEMPTS = 5
PAUSE_FIRST_S = 0.05
PAUSE_MAX_S = 1.0
_PURPOSE = "configuration"
_log = logging.getLogger(__name__)


class ConfigurationStorage:
    """Root and chunks in the store.

    Parameters
    ----------
    store : Store
        The platform's store.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of jitter.
    patience_s : float
        How long to go on asking a store that does not answer.

    Notes
    -----
    The key of a chunk holds the revision that its writer aimed at and the
    writer's operation id, so no two writers share a key. A chunk whose revision is
    not above the root's and that the root does not name can be deleted: later
    roots name only chunks of this root and of writers that aim higher.
    """

    __slots__ = ("_clock", "_patience_s", "_rng", "_store")

    def __init__(self, *, store, clock, rng, patience_s):
        self._store = store
        self._clock = clock
        self._rng = rng
        self._patience_s = patience_s

    async def read_root(self):
        """Return the stored root, or None, and the store revision of its key."""
        value = await self._store.get(ROOT_KEY, purpose=_PURPOSE)
        if value is None:
            return None, 0
        return ConfigurationRoot.from_bytes(value.value), value.revision

    async def watch_root(self, store_revision, *, wait_s):
        """Return the value of the root key once it is newer, or None in time."""
        return await self._store.watch(
            ROOT_KEY,
            after_revision=store_revision,
            wait_s=wait_s,
            purpose="configuration-watch",
        )

    async def load(self, known=None):
        """Return the stored configuration, or None if there is none.

        Parameters
        ----------
        known : StoredConfiguration, optional
            One whose chunks need not be read again.
        """
        value = await self._store.get(ROOT_KEY, purpose=_PURPOSE)
        return None if value is None else await self.complete(value, known)

    async def complete(self, value, known=None):
        """Return the configuration that a value of the root key belongs to.

        Parameters
        ----------
        value : StoreValue
            Value of the root key.
        known : StoredConfiguration, optional
            One whose chunks need not be read again.

        Raises
        ------
        MagnoliagradeError
            `CONFIGURATION_INVALID` if a chunk stays missing or does not fit its
            digest.
        """
        for _ in range(READ_ATTEMPTS):
            root = ConfigurationRoot.from_bytes(value.value)
            content_by_digest = await self._read_chunks(root, known)
            if content_by_digest is not None:
                return StoredConfiguration(
                    root=root,
                    content_by_digest=content_by_digest,
                    store_revision=value.revision,
                )
            # A newer root came meanwhile and its writer deleted what it replaced.
            value = await self._store.get(ROOT_KEY, purpose=_PURPOSE) or value
        detail = f"chunks of revision {root.revision} are missing"
        raise MagnoliagradeError(ErrorKind.CONFIGURATION_INVALID, detail)

    async def write(self, stored, base):
        """Write the new chunks, then the root, and return whether it took effect.

        Parameters
        ----------
        stored : StoredConfiguration
            What to write.
        base : StoredConfiguration
            What it was made from; its store revision is expected.

        Raises
        ------
        MagnoliagradeError
            `OUTCOME_UNKNOWN` if the root may have been written, and
            `STORE_UNAVAILABLE` or `STORE_LIMITED` if it surely was not.
        """
        added = stored.root.chunks_beyond(base.root)
        until = self._clock.monotonic() + self._patience_s
        await self._each(added, lambda item: self._put_chunk(stored, item, until))
        return await self._swap_root(stored.root, base.store_revision, until)

    async def delete_chunks(self, items):
        """Delete chunks that the root names no more, as far as the store answers.

        Parameters
        ----------
        items : iterable of tuple
            Names and references of chunks.
        """
        await self._each([_chunk_key(item[1]) for item in items], self._delete_key)

    async def sweep(self):
        """Delete chunks that writers which died left behind; return how many."""
        with contextlib.suppress(MagnoliagradeError):
            values = await self._store.list(CHUNK_PREFIX, purpose="configuration-sweep")
            root, _ = await self.read_root()
            if root is None:
                return 0
            named = {_chunk_key(r) for r in root.chunk_by_name.values()}
            unused = [
                v.key
                for v in values
                if v.key not in named and _aimed_revision(v.key) <= root.revision
            ]
            await self._each(unused, self._delete_key)
            log_event(_log, "configuration.swept", chunks=len(unused))
            return len(unused)
        return 0

    async def _read_chunks(self, root, known):
        content_by_digest = dict(known.content_by_digest) if known else {}
        wanted = {r.digest for r in root.chunk_by_name.values()}
        missing = [
            item
            for item in root.chunk_by_name.items()
            if item[1].digest not in content_by_digest
        ]
        if len(missing) >= LIST_FROM_CHUNKS:
            values = await self._store.list(CHUNK_PREFIX, purpose=_PURPOSE)
            data_by_key = {v.key: v.value for v in values}
            rows = [data_by_key.get(_chunk_key(item[1])) for item in missing]
        else:
            values = await self._each(missing, self._get_chunk)
            rows = [None if v is None else v.value for v in values]
        for item, data in zip(missing, rows, strict=True):
            if data is None:
                return None
            content_by_digest[item[1].digest] = _checked(item, data)
        return {d: c for d, c in content_by_digest.items() if d in wanted}

    async def _get_chunk(self, item):
        return await self._store.get(_chunk_key(item[1]), purpose=_PURPOSE)

    async def _put_chunk(self, stored, item, until):
        data = stored.content_by_digest[item[1].digest].encode()
        pause = PAUSE_FIRST_S
        while True:
            try:
                await self._store.put(
                    _chunk_key(item[1]), data, expected_revision=0, purpose=_PURPOSE
                )
                return
            except StoreConflict:
                return  # an earlier write of the same bytes took effect
            except MagnoliagradeError as exc:
                pause = await self._pause(exc, pause, until)

    async def _swap_root(self, root, expected, until):
        data = root.to_bytes()
        pause = PAUSE_FIRST_S
        maybe_applied = False
        try:
            while True:
                try:
                    await self._store.put(
                        ROOT_KEY, data, expected_revision=expected, purpose=_PURPOSE
                    )
                    return True
                except StoreConflict:
                    # Whatever sent the bytes twice, the history tells the truth.
                    return await self._read_back(root, until)
                except MagnoliagradeError as exc:
                    maybe_applied |= getattr(exc, "maybe_applied", False)
                    pause = await self._pause(exc, pause, until)
        except MagnoliagradeError as exc:
            if not maybe_applied:
                raise
            raise _unknown(root, exc) from exc

    async def _read_back(self, root, until):
        pause = PAUSE_FIRST_S
        while True:
            try:
                newest, _ = await self.read_root()
                break
            except MagnoliagradeError as exc:
                pause = await self._pause(exc, pause, until)
        made = root.newest
        if newest is not None and newest.change_of(made.operation) == made:
            return True
        if newest is None or newest.history[0].revision > made.revision:
            detail = f"the history does not reach back to revision {made.revision}"
            raise MagnoliagradeError(ErrorKind.STORE_UNAVAILABLE, detail)
        return False

    async def _pause(self, error, pause, until):
        kinds = (ErrorKind.STORE_UNAVAILABLE, ErrorKind.STORE_LIMITED)
        if error.kind not in kinds or self._clock.monotonic() + pause > until:
            raise error
        await self._clock.sleep(pause * self._rng.uniform(0.5, 1.5))
        return min(PAUSE_MAX_S, pause * 2)

    async def _delete_key(self, key):
        with contextlib.suppress(MagnoliagradeError):
            await self._store.delete(key, purpose=_PURPOSE)

    async def _each(self, items, function):
        slots = asyncio.Semaphore(PARALLEL_CALLS)

        async def run(item):
            async with slots:
                return await function(item)

        return await asyncio.gather(*(run(item) for item in items))


def _chunk_key(reference):
    place = f"{reference.revision:012d}/{reference.operation}/{reference.digest}"
    return CHUNK_PREFIX + place


def _aimed_revision(key):
    return int(key[len(CHUNK_PREFIX) :].partition("/")[0])


def _checked(item, data):
    name, reference = item
    content = data.decode()
    if chunk_digest(content) != reference.digest:
        detail = f"chunk {name} does not fit its digest {reference.digest}"
        raise MagnoliagradeError(ErrorKind.CONFIGURATION_INVALID, detail)
    return content


def _unknown(root, cause):
    made = root.newest
    detail = (
        f"whether operation {made.operation} (revision {made.revision}) was accepted "
        f"is not known: {cause.detail}"
    )
    return MagnoliagradeError(ErrorKind.OUTCOME_UNKNOWN, detail)
