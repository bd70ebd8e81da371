"""In-memory stand-in for the platform's key-value store."""

import asyncio
import copy
import itertools
from dataclasses import dataclass

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.store import StoreConflict, StoreUnavailable, StoreValue

__all__ = ["MAX_VALUE_BYTES", "MemoryStore", "StoreFaults"]

MAX_VALUE_BYTES = 1_000_000


@dataclass(slots=True, kw_only=True)
class StoreFaults:
    """Faults of a store.

    Parameters
    ----------
    is_down : bool
        Whether every call fails without a response.
    latency_s : float
        Time added to each call, in seconds.
    lose_write_answers : int
        Number of coming writes that take effect but whose response is lost.
    calls_per_s : float
        Rate limit, and largest burst, in calls per second; 0 means no limit.
    """

    is_down: bool = False
    latency_s: float = 0.0
    lose_write_answers: int = 0
    calls_per_s: float = 0.0


class MemoryStore:
    """Key-value store with revisions, leases and watches, all in memory.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Notes
    -----
    Every call raises `StoreUnavailable` while the store is down, and
    `MagnoliagradeError` of kind `STORE_LIMITED` beyond the rate limit. Failed
    comparisons, and writes and renewals with a lapsed lease, raise `StoreConflict`.
    `calls_by_purpose` counts the calls.
    """

    __slots__ = (
        "_changed",
        "_clock",
        "_keys_by_lease",
        "_lease_numbers",
        "_expiry_and_ttl_by_lease",
        "_revision",
        "_tokens",
        "_tokens_updated_at",
        "_value_by_key",
        "calls_by_purpose",
        "faults",
    )

    def __init__(self, *, clock):
        self._clock = clock
        self._revision = 0
        self._value_by_key = {}
        self._expiry_and_ttl_by_lease = {}
        self._keys_by_lease = {}
        self._lease_numbers = itertools.count(1)
        self._changed = asyncio.Event()
        self._tokens = 1.0
        self._tokens_updated_at = clock.monotonic()
        self.calls_by_purpose = {}
        self.faults = StoreFaults()

    async def get(self, key, *, purpose):
        """Return the value of a key, or None if it does not exist."""
        await self._start_call(purpose)
        return self._value_by_key.get(key)

    async def put(self, key, value, *, expected_revision, lease="", purpose):
        """Write a value by compare-and-swap and return its revision.

        Parameters
        ----------
        key : str
            Key.
        value : bytes
            Value, of at most `MAX_VALUE_BYTES`.
        expected_revision : int or None
            Revision that the key must have; 0 for a key that must not exist, None
            for any.
        lease : str
            Lease that the key is deleted with; empty for none.
        purpose : str
            Purpose under which the call is counted.
        """
        await self._start_call(purpose)
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
        self._maybe_lose_response()
        return revision

    async def delete(self, key, *, expected_revision=None, purpose):
        """Delete a key; its revision is compared unless `expected_revision` is None."""
        await self._start_call(purpose)
        self._check_revision(key, expected_revision)
        self._remove(key)
        self._maybe_lose_response()

    async def list(self, prefix, *, purpose):
        """Return the values of all keys that start with a prefix, sorted by key."""
        await self._start_call(purpose)
        keys = sorted(k for k in self._value_by_key if k.startswith(prefix))
        return [self._value_by_key[k] for k in keys]

    async def watch(self, key, *, after_revision, wait_s, purpose):
        """Wait for a value newer than a revision.

        Returns
        -------
        value : StoreValue or None
            The newer value; None if there was none within `wait_s` seconds.
        """
        await self._start_call(purpose)
        timeout = asyncio.ensure_future(self._clock.sleep(wait_s))
        try:
            while True:
                self._raise_if_down()
                value = self._value_by_key.get(key)
                if value is not None and value.revision > after_revision:
                    return value
                if timeout.done():
                    return None
                await self._wait_for_change_or(timeout)
        finally:
            timeout.cancel()

    async def _wait_for_change_or(self, timeout):
        changed = asyncio.ensure_future(self._changed.wait())
        try:
            await asyncio.wait({changed, timeout}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            changed.cancel()

    async def grant_lease(self, ttl_s, *, purpose):
        """Create a lease and return its id.

        Parameters
        ----------
        ttl_s : float
            Time until it lapses unless it is renewed, in seconds.
        purpose : str
            Purpose under which the call is counted.
        """
        await self._start_call(purpose)
        lease = f"lease-{next(self._lease_numbers)}"
        self._expiry_and_ttl_by_lease[lease] = (self._clock.monotonic() + ttl_s, ttl_s)
        self._keys_by_lease[lease] = set()
        return lease

    async def renew_lease(self, lease, *, purpose):
        """Extend a lease by its time to live, from now."""
        await self._start_call(purpose)
        self._check_lease(lease)
        _, ttl_s = self._expiry_and_ttl_by_lease[lease]
        self._expiry_and_ttl_by_lease[lease] = (self._clock.monotonic() + ttl_s, ttl_s)

    async def revoke_lease(self, lease, *, purpose):
        """End a lease and delete its keys."""
        await self._start_call(purpose)
        self._end_lease(lease)

    def make_copy(self):
        """Return a copy of the state, for `return_from`."""
        return (
            dict(self._value_by_key),
            dict(self._expiry_and_ttl_by_lease),
            copy.deepcopy(self._keys_by_lease),
            copy.copy(self._lease_numbers),
            self._revision,
        )

    def return_from(self, state):
        """Replace the state by a copy.

        Later changes and leases are lost; their revisions and ids are issued again.
        """
        (
            self._value_by_key,
            self._expiry_and_ttl_by_lease,
            self._keys_by_lease,
            self._lease_numbers,
            self._revision,
        ) = copy.deepcopy(state)
        self._wake_watches()

    def set_faults(self, faults):
        """Replace the faults and wake waiting watches, so that they apply at once."""
        self.faults = faults
        self._wake_watches()

    async def _start_call(self, purpose):
        self.calls_by_purpose[purpose] = self.calls_by_purpose.get(purpose, 0) + 1
        if self.faults.latency_s:
            await self._clock.sleep(self.faults.latency_s)
        self._raise_if_down()
        self._consume_token()
        now = self._clock.monotonic()
        for lease, (expires_at, _) in list(self._expiry_and_ttl_by_lease.items()):
            if expires_at <= now:
                self._end_lease(lease)

    def _raise_if_down(self):
        if self.faults.is_down:
            raise StoreUnavailable("the store is down")

    def _consume_token(self):
        rate = self.faults.calls_per_s
        if not rate:
            return
        now = self._clock.monotonic()
        refilled = self._tokens + (now - self._tokens_updated_at) * rate
        self._tokens = min(rate, refilled)
        self._tokens_updated_at = now
        if self._tokens < 1:
            raise MagnoliagradeError(
                ErrorKind.STORE_LIMITED, f"store rate limit of {rate} calls/s exceeded"
            )
        self._tokens -= 1

    def _check_revision(self, key, expected_revision):
        if expected_revision is None:
            return
        current = self._value_by_key.get(key)
        revision = current.revision if current else 0
        if revision != expected_revision:
            raise StoreConflict(
                f"{key}: revision is {revision}, expected {expected_revision}"
            )

    def _check_lease(self, lease):
        if lease not in self._expiry_and_ttl_by_lease:
            raise StoreConflict(f"lease {lease} has lapsed")

    def _end_lease(self, lease):
        self._expiry_and_ttl_by_lease.pop(lease, None)
        for key in self._keys_by_lease.pop(lease, ()):
            self._remove(key)

    def _remove(self, key):
        if self._value_by_key.pop(key, None) is not None:
            self._revision += 1
            self._wake_watches()

    def _maybe_lose_response(self):
        if self.faults.lose_write_answers > 0:
            self.faults.lose_write_answers -= 1
            raise StoreUnavailable("response lost", maybe_applied=True)

    def _wake_watches(self):
        self._changed.set()
        self._changed = asyncio.Event()
