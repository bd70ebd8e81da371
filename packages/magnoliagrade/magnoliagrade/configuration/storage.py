"""Reading and writing of the configuration's keys in the platform's store."""

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
# Maximum number of concurrent calls of the store by one read, write or deletion.
MAX_PARALLEL_CALLS = 8
# From this number of missing chunks on, all chunks are read by one list call.
LIST_MIN_MISSING_CHUNKS = 8
# A read is repeated when a concurrent change has deleted chunks of the root just read.
MAX_READ_ATTEMPTS = 5
# Delay before a failed write is retried; it doubles up to the maximum, with jitter.
RETRY_DELAY_FIRST_S = 0.05
RETRY_DELAY_MAX_S = 1.0
# Label of these calls in the metric that counts the calls of the store.
_PURPOSE = "configuration"
_log = logging.getLogger(__name__)


class ConfigurationStorage:
    """Root and chunks of the configuration in the platform's store.

    Parameters
    ----------
    store : Store
        The platform's store.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of jitter.
    retry_timeout_s : float
        Time in seconds over which calls of a write are retried while the store is
        unavailable or limits calls.

    Notes
    -----
    A revision is the number of a configuration, kept in its root. The store revision
    is the number that the store gives to a write of the root key; the compare-and-swap
    of the root key expects it.

    The key of a chunk contains the revision that its writer was to make and the
    writer's operation id, so no two writers share a key. A chunk that the root does
    not reference can be deleted if its revision is not above that of the root: later
    roots reference only chunks of this root and of writers of higher revisions.
    """

    __slots__ = ("_clock", "_retry_timeout_s", "_rng", "_store")

    def __init__(self, *, store, clock, rng, retry_timeout_s):
        self._store = store
        self._clock = clock
        self._rng = rng
        self._retry_timeout_s = retry_timeout_s

    async def read_root(self):
        """Return the stored root and the store revision of its key; None, 0 if none."""
        value = await self._store.get(ROOT_KEY, purpose=_PURPOSE)
        if value is None:
            return None, 0
        return ConfigurationRoot.from_bytes(value.value), value.revision

    async def watch_root(self, store_revision, *, wait_s):
        """Wait for a newer value of the root key; return it, or None on timeout."""
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
        return None if value is None else await self.load_chunks(value, known)

    async def load_chunks(self, value, known=None):
        """Return the configuration of a root key's value, with its chunks.

        Parameters
        ----------
        value : StoreValue
            Value of the root key.
        known : StoredConfiguration, optional
            One whose chunks need not be read again.

        Raises
        ------
        MagnoliagradeError
            `CONFIGURATION_INVALID` if a chunk is missing in every attempt or does not
            match its digest.
        """
        for _ in range(MAX_READ_ATTEMPTS):
            root = ConfigurationRoot.from_bytes(value.value)
            content_by_digest = await self._read_chunks(root, known)
            if content_by_digest is not None:
                return StoredConfiguration(
                    root=root,
                    content_by_digest=content_by_digest,
                    store_revision=value.revision,
                )
            # A concurrent change wrote a newer root and deleted the replaced chunks.
            value = await self._store.get(ROOT_KEY, purpose=_PURPOSE) or value
        detail = (
            f"chunks of revision {root.revision} are missing in the store below "
            f"{CHUNK_PREFIX} in each of {MAX_READ_ATTEMPTS} reads"
        )
        raise MagnoliagradeError(ErrorKind.CONFIGURATION_INVALID, detail)

    async def write(self, stored, base):
        """Write the new chunks, then the root; return whether it was accepted.

        Parameters
        ----------
        stored : StoredConfiguration
            Configuration to write.
        base : StoredConfiguration
            Configuration that it was made from. The root key must still have its
            store revision.

        Raises
        ------
        MagnoliagradeError
            `OUTCOME_UNKNOWN` if the root may have been written, and
            `STORE_UNAVAILABLE` or `STORE_LIMITED` if it was certainly not.
        """
        added = stored.root.chunks_missing_from(base.root)
        deadline = self._clock.monotonic() + self._retry_timeout_s
        await self._run_for_each(
            added, lambda item: self._put_chunk(stored, item, deadline)
        )
        return await self._compare_and_swap_root(
            stored.root, base.store_revision, deadline
        )

    async def delete_chunks(self, items):
        """Delete chunks that the root no longer references; ignore errors.

        Parameters
        ----------
        items : iterable of tuple
            Names and references of chunks.
        """
        await self._run_for_each(
            [_chunk_key(item[1]) for item in items], self._delete_key
        )

    async def sweep(self):
        """Delete chunks that failed writers left behind; return their number."""
        with contextlib.suppress(MagnoliagradeError):
            values = await self._store.list(CHUNK_PREFIX, purpose="configuration-sweep")
            root, _ = await self.read_root()
            if root is None:
                return 0
            named = {_chunk_key(r) for r in root.chunk_by_name.values()}
            leftover_keys = [
                v.key
                for v in values
                if v.key not in named and _target_revision(v.key) <= root.revision
            ]
            await self._run_for_each(leftover_keys, self._delete_key)
            log_event(_log, "configuration.swept", chunks=len(leftover_keys))
            return len(leftover_keys)
        return 0

    async def _read_chunks(self, root, known):
        content_by_digest = dict(known.content_by_digest) if known else {}
        wanted = {r.digest for r in root.chunk_by_name.values()}
        missing = [
            item
            for item in root.chunk_by_name.items()
            if item[1].digest not in content_by_digest
        ]
        if len(missing) >= LIST_MIN_MISSING_CHUNKS:
            values = await self._store.list(CHUNK_PREFIX, purpose=_PURPOSE)
            data_by_key = {v.key: v.value for v in values}
            rows = [data_by_key.get(_chunk_key(item[1])) for item in missing]
        else:
            values = await self._run_for_each(missing, self._get_chunk)
            rows = [None if v is None else v.value for v in values]
        for item, data in zip(missing, rows, strict=True):
            if data is None:
                return None
            content_by_digest[item[1].digest] = _verified_content(item, data)
        return {d: c for d, c in content_by_digest.items() if d in wanted}

    async def _get_chunk(self, item):
        return await self._store.get(_chunk_key(item[1]), purpose=_PURPOSE)

    async def _put_chunk(self, stored, item, deadline):
        data = stored.content_by_digest[item[1].digest].encode()
        delay_s = RETRY_DELAY_FIRST_S
        while True:
            try:
                await self._store.put(
                    _chunk_key(item[1]), data, expected_revision=0, purpose=_PURPOSE
                )
                return
            except StoreConflict:
                return  # an earlier attempt wrote the same bytes
            except MagnoliagradeError as exc:
                delay_s = await self._wait_before_retry(exc, delay_s, deadline)

    async def _compare_and_swap_root(self, root, expected, deadline):
        data = root.to_bytes()
        delay_s = RETRY_DELAY_FIRST_S
        maybe_applied = False
        try:
            while True:
                try:
                    await self._store.put(
                        ROOT_KEY, data, expected_revision=expected, purpose=_PURPOSE
                    )
                    return True
                except StoreConflict:
                    # An earlier attempt may have been accepted; the history shows it.
                    return await self._was_accepted(root, deadline)
                except MagnoliagradeError as exc:
                    maybe_applied |= getattr(exc, "maybe_applied", False)
                    delay_s = await self._wait_before_retry(exc, delay_s, deadline)
        except MagnoliagradeError as exc:
            if not maybe_applied:
                raise
            raise _outcome_unknown(root, exc) from exc

    async def _was_accepted(self, root, deadline):
        delay_s = RETRY_DELAY_FIRST_S
        while True:
            try:
                newest, _ = await self.read_root()
                break
            except MagnoliagradeError as exc:
                delay_s = await self._wait_before_retry(exc, delay_s, deadline)
        change = root.newest
        if newest is not None and newest.change_of(change.operation) == change:
            return True
        if newest is None or newest.history[0].revision > change.revision:
            detail = (
                f"whether revision {change.revision} was written is not known: "
                "the stored history does not reach back to it"
            )
            raise MagnoliagradeError(ErrorKind.STORE_UNAVAILABLE, detail)
        return False

    async def _wait_before_retry(self, error, delay_s, deadline):
        kinds = (ErrorKind.STORE_UNAVAILABLE, ErrorKind.STORE_LIMITED)
        if error.kind not in kinds or self._clock.monotonic() + delay_s > deadline:
            raise error
        await self._clock.sleep(delay_s * self._rng.uniform(0.5, 1.5))
        return min(RETRY_DELAY_MAX_S, delay_s * 2)

    async def _delete_key(self, key):
        with contextlib.suppress(MagnoliagradeError):
            await self._store.delete(key, purpose=_PURPOSE)

    async def _run_for_each(self, items, function):
        slots = asyncio.Semaphore(MAX_PARALLEL_CALLS)

        async def run(item):
            async with slots:
                return await function(item)

        return await asyncio.gather(*(run(item) for item in items))


def _chunk_key(reference):
    suffix = f"{reference.revision:012d}/{reference.operation}/{reference.digest}"
    return CHUNK_PREFIX + suffix


def _target_revision(key):
    return int(key[len(CHUNK_PREFIX) :].partition("/")[0])


def _verified_content(item, data):
    name, reference = item
    content = data.decode()
    if chunk_digest(content) != reference.digest:
        detail = f"content of chunk {name} does not match digest {reference.digest}"
        raise MagnoliagradeError(ErrorKind.CONFIGURATION_INVALID, detail)
    return content


def _outcome_unknown(root, cause):
    change = root.newest
    detail = (
        f"whether operation {change.operation} (revision {change.revision}) was "
        f"accepted is not known: {cause.detail}"
    )
    return MagnoliagradeError(ErrorKind.OUTCOME_UNKNOWN, detail)
