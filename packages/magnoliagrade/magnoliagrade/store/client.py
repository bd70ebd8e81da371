"""The platform's key-value service: compare-and-swap, leases and watches."""

import asyncio
from dataclasses import dataclass
from typing import Protocol
from urllib.parse import quote

import aiohttp
from prometheus_client import Counter

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.http.client import reject_second_send

__all__ = ["HttpStore", "Store", "StoreConflict", "StoreUnavailable", "StoreValue"]

CALL_TIMEOUT_S = 2.0
UNLIMITED_PURPOSE = "configuration"

STORE_CALLS = Counter(
    "magnoliagrade_store_calls_total",
    "Calls to the platform's store by purpose, verb and result",
    ["purpose", "verb", "result"],
)


@dataclass(slots=True, kw_only=True)
class StoreValue:
    """A value and the revision at which it was written.

    Parameters
    ----------
    key : str
        Key.
    value : bytes
        Value, up to a megabyte.
    revision : int
        Store-wide number that each write increases.
    """

    key: str
    value: bytes
    revision: int


class StoreConflict(MagnoliagradeError):
    """A compare-and-swap found another revision than expected."""

    def __init__(self, detail):
        super().__init__(ErrorKind.CONFLICT, detail)


class StoreUnavailable(MagnoliagradeError):
    """The store did not answer; a write may have taken effect all the same.

    Parameters
    ----------
    detail : str
        What was tried.
    maybe_applied : bool
        Whether a write may have taken effect.
    """

    def __init__(self, detail, *, maybe_applied=False):
        super().__init__(ErrorKind.STORE_UNAVAILABLE, detail)
        self.maybe_applied = maybe_applied


class Store(Protocol):
    """What the system needs of the platform's store.

    Every call names the purpose it is counted under.
    """

    async def get(self, key, *, purpose):
        """Return the `StoreValue` of a key, or None."""

    async def put(self, key, value, *, expected_revision, lease="", purpose):
        """Write a value and return its revision.

        `expected_revision` 0 means that the key must not exist, None that any
        will do. Raises `StoreConflict` or `StoreUnavailable`.
        """

    async def delete(self, key, *, expected_revision=None, purpose):
        """Delete a key; raises `StoreConflict` or `StoreUnavailable`."""

    async def list(self, prefix, *, purpose):
        """Return the values of all keys that start with a prefix."""

    async def watch(self, key, *, after_revision, wait_s, purpose):
        """Return the value once its revision exceeds one, or None in time."""

    async def grant_lease(self, ttl_s, *, purpose):
        """Return the id of a new lease."""

    async def renew_lease(self, lease, *, purpose):
        """Renew a lease; raises `StoreConflict` if it has lapsed."""

    async def revoke_lease(self, lease, *, purpose):
        """End a lease and delete the keys that were written under it."""


class HttpStore:
    """Client of the store's HTTP protocol.

    Parameters
    ----------
    url : str
        Base URL of the store.
    session : aiohttp.ClientSession
        Session whose connections are used.
    limiter : CallLimiter, optional
        Limit on this process's calls; none by default. Operators' changes of the
        configuration are rare and go past it.

    Notes
    -----
    The protocol is described in docs/PLATFORM.md.
    """

    __slots__ = ("_limiter", "_session", "_url")

    def __init__(self, *, url, session, limiter=None):
        self._limiter = limiter
        self._url = url.rstrip("/")
        self._session = session

    async def get(self, key, *, purpose):
        """Return the value of a key, or None."""
        answer = await self._call("GET", _key_path(key), purpose=purpose)
        return answer.value(key)

    async def put(self, key, value, *, expected_revision, lease="", purpose):
        """Write a value under compare-and-swap and return its revision."""
        params = {"lease": lease} if lease else {}
        if expected_revision is not None:
            params["expected_revision"] = str(expected_revision)
        answer = await self._call(
            "PUT", _key_path(key), params=params, data=value, purpose=purpose
        )
        return answer.revision

    async def delete(self, key, *, expected_revision=None, purpose):
        """Delete a key."""
        params = {}
        if expected_revision is not None:
            params["expected_revision"] = str(expected_revision)
        await self._call("DELETE", _key_path(key), params=params, purpose=purpose)

    async def list(self, prefix, *, purpose):
        """Return the values of all keys that start with a prefix."""
        answer = await self._call(
            "GET", "/v1/keys", params={"prefix": prefix}, purpose=purpose
        )
        return answer.values()

    async def watch(self, key, *, after_revision, wait_s, purpose):
        """Return the value once it is newer, or None when the wait ends."""
        answer = await self._call(
            "GET",
            _key_path(key),
            params={"after_revision": str(after_revision), "wait_s": str(wait_s)},
            timeout_s=wait_s + CALL_TIMEOUT_S,
            purpose=purpose,
            verb="watch",
        )
        return answer.value(key)

    async def grant_lease(self, ttl_s, *, purpose):
        """Return the id of a new lease."""
        answer = await self._call(
            "POST", "/v1/leases", params={"ttl_s": str(ttl_s)}, purpose=purpose
        )
        return answer.body.decode()

    async def renew_lease(self, lease, *, purpose):
        """Renew a lease."""
        await self._call("PUT", f"/v1/leases/{lease}", purpose=purpose)

    async def revoke_lease(self, lease, *, purpose):
        """End a lease."""
        await self._call("DELETE", f"/v1/leases/{lease}", purpose=purpose)

    async def _call(
        self,
        method,
        path,
        *,
        purpose,
        params=None,
        data=None,
        timeout_s=CALL_TIMEOUT_S,
        verb="",
    ):
        verb = verb or method.lower()
        if self._limiter is not None and purpose != UNLIMITED_PURPOSE:
            await self._take_turn(purpose, verb)
        try:
            answer = await self._exchange(method, path, params, data, timeout_s)
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            STORE_CALLS.labels(purpose, verb, "unavailable").inc()
            detail = f"{method} {path} failed: {type(exc).__name__}"
            never_sent = isinstance(exc, aiohttp.ClientConnectorError)
            raise StoreUnavailable(
                detail, maybe_applied=method != "GET" and not never_sent
            ) from exc
        STORE_CALLS.labels(purpose, verb, str(answer.status)).inc()
        answer.raise_for_status(method, path)
        return answer

    async def _take_turn(self, purpose, verb):
        try:
            await self._limiter.take()
        except MagnoliagradeError:
            STORE_CALLS.labels(purpose, verb, "limited_here").inc()
            raise

    async def _exchange(self, method, path, params, data, timeout_s):
        async with (
            asyncio.timeout(timeout_s),
            self._session.request(
                method,
                self._url + path,
                params=params,
                data=data,
                middlewares=(reject_second_send(),) if method != "GET" else None,
            ) as response,
        ):
            body = await response.read()
            revision = int(response.headers.get("Store-Revision", "0"))
            return _Answer(response.status, revision, body)


@dataclass(slots=True)
class _Answer:
    status: int
    revision: int
    body: bytes

    def raise_for_status(self, method, path):
        if self.status == 409:
            raise StoreConflict(f"{method} {path}: revision is {self.revision}")
        if self.status == 429:
            detail = f"{method} {path}: rate limit"
            raise MagnoliagradeError(ErrorKind.STORE_LIMITED, detail)
        if self.status >= 500:
            raise StoreUnavailable(
                f"{method} {path}: {self.status}", maybe_applied=method != "GET"
            )
        if self.status >= 400 and self.status != 404:
            detail = f"{method} {path}: {self.status}"
            raise MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail)

    def value(self, key):
        if self.status != 200:
            return None
        return StoreValue(key=key, value=self.body, revision=self.revision)

    def values(self):
        rows = []
        rest = self.body
        while rest:
            header, _, rest = rest.partition(b"\n")
            key, revision, size = header.decode().rsplit(" ", 2)
            value, rest = rest[: int(size)], rest[int(size) :]
            rows.append(StoreValue(key=key, value=value, revision=int(revision)))
        return rows


def _key_path(key):
    return "/v1/keys/" + quote(key, safe="/")
