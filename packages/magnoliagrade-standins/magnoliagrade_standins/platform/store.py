"""Stand-in of the platform's key-value service, in memory."""

import asyncio
import itertools
from dataclasses import dataclass

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.store import StoreConflict, StoreUnavailable, StoreValue

__all__ = ["MAX_VALUE_BYTES", "MemoryStore", "StoreFaults"]

MAX_VALUE_BYTES = 1_000_000


@dataclass(slots=True, kw_only=True)
class StoreFaults:
    """Faults that are in force now.

    Parameters
    ----------
    is_down : bool
        Whether no call is answered.
    latency_s : float
        Time that each call takes.
    lose_write_answers : int
        Number of coming writes that take effect without an answer.
    calls_per_s : float
        Rate limit; 0 means none.
    """

    is_down: bool = False
    latency_s: float = 0.0
    lose_write_answers: int = 0
    calls_per_s: float = 0.0


class MemoryStore:
    """Keys with revisions, leases and watches.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = (
        "_changed",
        "_clock",
        "_keys_by_lease",
        "_lease_numbers",
        "_lease_until",
        "_revision",
        "_tokens",
        "_tokens_at",
        "_value_by_key",
        "calls_by_purpose",
        "faults",
    )

    def __init__(self, *, clock):
        self._clock = clock
        self._revision = 0
        self._value_by_key = {}
        self._lease_until = {}
        self._keys_by_lease = {}
        self._lease_numbers = itertools.count(1)
        self._changed = asyncio.Event()
        self._tokens = 1.0
        self._tokens_at = clock.monotonic()
        self.calls_by_purpose = {}
        self.faults = StoreFaults()

    async def get(self, key, *, purpose):
        """Return the value of a key, or None."""
        await self._begin(purpose)
        return self._value_by_key.get(key)

    async def put(self, key, value, *, expected_revision, lease="", purpose):
        """Write a value under compare-and-swap and return its revision."""
        await self._begin(purpose)
        if len(value) > MAX_VALUE_BYTES:
            detail = f"value of {len(value)} bytes exceeds {MAX_VALUE_BYTES}"
            raise MagnoliagradeError(ErrorKind.TOO_LARGE, detail)
        self._check_revision(key, expected_revision)
        if lease:
            self._check_lease(lease)
            self._keys_by_lease[lease].add(key)
        self._revision += 1
        self._value_by_key[key] = StoreValue(
            key=key, value=bytes(value), revision=self._revision
        )
        self._wake_watches()
        revision = self._revision
        self._maybe_lose_answer()
        return revision

    async def delete(self, key, *, expected_revision=None, purpose):
        """Delete a key."""
        await self._begin(purpose)
        self._check_revision(key, expected_revision)
        self._drop(key)
        self._maybe_lose_answer()

    async def list(self, prefix, *, purpose):
        """Return the values of all keys that start with a prefix."""
        await self._begin(purpose)
        keys = sorted(k for k in self._value_by_key if k.startswith(prefix))
        return [self._value_by_key[k] for k in keys]

    async def watch(self, key, *, after_revision, wait_s, purpose):
        """Return the value once it is newer, or None when the wait ends."""
        await self._begin(purpose)
        ended = asyncio.ensure_future(self._clock.sleep(wait_s))
        try:
            while True:
                self._raise_if_down()
                value = self._value_by_key.get(key)
                if value is not None and value.revision > after_revision:
                    return value
                if ended.done():
                    return None
                await self._wait_for_change_or(ended)
        finally:
            ended.cancel()

    async def _wait_for_change_or(self, ended):
        changed = asyncio.ensure_future(self._changed.wait())
        try:
            await asyncio.wait({changed, ended}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            changed.cancel()

    async def grant_lease(self, ttl_s, *, purpose):
        """Return the id of a new lease."""
        await self._begin(purpose)
        lease = f"lease-{next(self._lease_numbers)}"
        self._lease_until[lease] = (self._clock.monotonic() + ttl_s, ttl_s)
        self._keys_by_lease[lease] = set()
        return lease

    async def renew_lease(self, lease, *, purpose):
        """Renew a lease."""
        await self._begin(purpose)
        self._check_lease(lease)
        _, ttl_s = self._lease_until[lease]
        self._lease_until[lease] = (self._clock.monotonic() + ttl_s, ttl_s)

    async def revoke_lease(self, lease, *, purpose):
        """End a lease and delete its keys."""
        await self._begin(purpose)
        self._end_lease(lease)

    def set_faults(self, faults):
        """Put other faults in force and wake waiting watches."""
        self.faults = faults
        self._wake_watches()

    async def _begin(self, purpose):
        self.calls_by_purpose[purpose] = self.calls_by_purpose.get(purpose, 0) + 1
        if self.faults.latency_s:
            await self._clock.sleep(self.faults.latency_s)
        self._raise_if_down()
        self._take_token()
        now = self._clock.monotonic()
        for lease, (until, _) in list(self._lease_until.items()):
            if until <= now:
                self._end_lease(lease)

    def _raise_if_down(self):
        if self.faults.is_down:
            raise StoreUnavailable("the store is down")

    def _take_token(self):
        rate = self.faults.calls_per_s
        if not rate:
            return
        now = self._clock.monotonic()
        grown = self._tokens + (now - self._tokens_at) * rate
        self._tokens = min(rate, grown)
        self._tokens_at = now
        if self._tokens < 1:
            raise MagnoliagradeError(ErrorKind.STORE_LIMITED, f"over {rate} calls/s")
        self._tokens -= 1

    def _check_revision(self, key, expected_revision):
        if expected_revision is None:
            return
        current = self._value_by_key.get(key)
        revision = current.revision if current else 0
        if revision != expected_revision:
            raise StoreConflict(f"{key}: revision is {revision}")

    def _check_lease(self, lease):
        if lease not in self._lease_until:
            raise StoreConflict(f"lease {lease} has lapsed")

    def _end_lease(self, lease):
        self._lease_until.pop(lease, None)
        for key in self._keys_by_lease.pop(lease, ()):
            self._drop(key)

    def _drop(self, key):
        if self._value_by_key.pop(key, None) is not None:
            self._revision += 1
            self._wake_watches()

    def _maybe_lose_answer(self):
        if self.faults.lose_write_answers > 0:
            self.faults.lose_write_answers -= 1
            raise StoreUnavailable("answer lost", maybe_applied=True)

    def _wake_watches(self):
        self._changed.set()
        self._changed = asyncio.Event()
