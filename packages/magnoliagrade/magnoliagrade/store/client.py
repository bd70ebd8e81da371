"""Interface and HTTP client of the store: compare-and-swap, leases and watches."""

import asyncio
from dataclasses import dataclass
from typing import Protocol
from urllib.parse import quote

import aiohttp
from prometheus_client import Counter

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.http.client import read_limited, reject_second_send

__all__ = ["HttpStore", "Store", "StoreConflict", "StoreUnavailable", "StoreValue"]

CALL_TIMEOUT_S = 2.0
# Limit on the body of a response: a listing of values of up to a megabyte each.
BODY_LIMIT_BYTES = 64 * 1024 * 1024
# Calls for configuration changes by operators, which are rare, bypass the limiter.
PURPOSE_WITHOUT_LIMIT = "configuration"

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
        Value, at most a megabyte.
    revision : int
        Store-wide revision number; each write increases it.
    """

    key: str
    value: bytes
    revision: int


class StoreConflict(MagnoliagradeError):
    """A key is at another revision than expected, or a lease has ended."""

    def __init__(self, detail):
        super().__init__(ErrorKind.CONFLICT, detail)


class StoreUnavailable(MagnoliagradeError):
    """The store did not respond, or failed; a write may still have taken effect.

    Parameters
    ----------
    detail : str
        The call and how it failed.
    maybe_applied : bool
        Whether a write may have taken effect.
    """

    def __init__(self, detail, *, maybe_applied=False):
        super().__init__(ErrorKind.STORE_UNAVAILABLE, detail)
        self.maybe_applied = maybe_applied


class Store(Protocol):
    """Operations that the system requires of the platform's store.

    Every call names its purpose, a label of the call counter.
    """

    async def get(self, key, *, purpose):
        """Return the `StoreValue` of a key, or None if it does not exist."""

    async def put(self, key, value, *, expected_revision, lease="", purpose):
        """Write a value and return its revision.

        `expected_revision` 0 requires that the key does not exist; None disables the
        check. Raises `StoreConflict` if the check fails, and `StoreUnavailable`.
        """

    async def delete(self, key, *, expected_revision=None, purpose):
        """Delete a key; raises `StoreConflict` or `StoreUnavailable`, as `put` does."""

    async def list(self, prefix, *, purpose):
        """Return the `StoreValue` of every key that starts with a prefix."""

    async def watch(self, key, *, after_revision, wait_s, purpose):
        """Return a key's value once it is newer than `after_revision`.

        Returns None if that has not happened after `wait_s` seconds.
        """

    async def grant_lease(self, ttl_s, *, purpose):
        """Create a lease that ends after `ttl_s` seconds, and return its id."""

    async def renew_lease(self, lease, *, purpose):
        """Renew a lease; raises `StoreConflict` if it has ended."""

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
        Limits the rate of this process's calls; None disables the limit. Calls for
        operators' configuration changes, which are rare, bypass it.

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
        """Return the `StoreValue` of a key, or None if it does not exist."""
        response = await self._call("GET", _key_path(key), purpose=purpose)
        return response.value(key)

    async def put(self, key, value, *, expected_revision, lease="", purpose):
        """Write a value by compare-and-swap and return its revision."""
        params = {"lease": lease} if lease else {}
        if expected_revision is not None:
            params["expected_revision"] = str(expected_revision)
        response = await self._call(
            "PUT", _key_path(key), params=params, data=value, purpose=purpose
        )
        return response.revision

    async def delete(self, key, *, expected_revision=None, purpose):
        """Delete a key, by compare-and-swap if `expected_revision` is given."""
        params = {}
        if expected_revision is not None:
            params["expected_revision"] = str(expected_revision)
        await self._call("DELETE", _key_path(key), params=params, purpose=purpose)

    async def list(self, prefix, *, purpose):
        """Return the `StoreValue` of every key that starts with a prefix."""
        response = await self._call(
            "GET", "/v1/keys", params={"prefix": prefix}, purpose=purpose
        )
        return response.values()

    async def watch(self, key, *, after_revision, wait_s, purpose):
        """Return a key's value once it is newer, or None after `wait_s` seconds."""
        response = await self._call(
            "GET",
            _key_path(key),
            params={"after_revision": str(after_revision), "wait_s": str(wait_s)},
            timeout_s=wait_s + CALL_TIMEOUT_S,
            purpose=purpose,
            verb="watch",
        )
        return response.value(key)

    async def grant_lease(self, ttl_s, *, purpose):
        """Create a lease that ends after `ttl_s` seconds, and return its id."""
        response = await self._call(
            "POST", "/v1/leases", params={"ttl_s": str(ttl_s)}, purpose=purpose
        )
        return response.body.decode()

    async def renew_lease(self, lease, *, purpose):
        """Renew a lease; raises `StoreConflict` if it has ended."""
        await self._call("PUT", f"/v1/leases/{lease}", purpose=purpose)

    async def revoke_lease(self, lease, *, purpose):
        """End a lease and delete the keys that were written under it."""
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
        if self._limiter is not None and purpose != PURPOSE_WITHOUT_LIMIT:
            await self._acquire_permit(purpose, verb)
        try:
            response = await self._exchange(method, path, params, data, timeout_s)
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            STORE_CALLS.labels(purpose, verb, "unavailable").inc()
            detail = (
                f"store call {method} {path} failed: {type(exc).__name__}; "
                f"its time-out is {timeout_s:g} s"
            )
            was_never_sent = isinstance(exc, aiohttp.ClientConnectorError)
            raise StoreUnavailable(
                detail, maybe_applied=method != "GET" and not was_never_sent
            ) from exc
        STORE_CALLS.labels(purpose, verb, str(response.status)).inc()
        response.raise_for_status(method, path)
        return response

    async def _acquire_permit(self, purpose, verb):
        try:
            await self._limiter.acquire()
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
            body = await read_limited(response, BODY_LIMIT_BYTES)
            revision = int(response.headers.get("Store-Revision", "0"))
            return _StoreResponse(response.status, revision, body)


@dataclass(slots=True)
class _StoreResponse:
    status: int
    revision: int
    body: bytes

    def raise_for_status(self, method, path):
        if self.status == 409:
            raise StoreConflict(
                f"store call {method} {path}: lease ended, or key not at the expected "
                f"revision but at {self.revision}"
            )
        if self.status == 429:
            detail = f"store call {method} {path}: rejected by the store's rate limit"
            raise MagnoliagradeError(ErrorKind.STORE_LIMITED, detail)
        if self.status >= 500:
            raise StoreUnavailable(
                f"store call {method} {path}: status {self.status}",
                maybe_applied=method != "GET",
            )
        if self.status >= 400 and self.status != 404:
            detail = f"store call {method} {path}: status {self.status}"
            raise MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail)

    def value(self, key):
        if self.status != 200:
            return None
        return StoreValue(key=key, value=self.body, revision=self.revision)

    def values(self):
        # Each item of a list is a line `KEY REVISION SIZE`, then SIZE bytes of value.
        values = []
        remaining = self.body
        while remaining:
            header, _, remaining = remaining.partition(b"\n")
            key, revision, size = header.decode().rsplit(" ", 2)
            value, remaining = remaining[: int(size)], remaining[int(size) :]
            values.append(StoreValue(key=key, value=value, revision=int(revision)))
        return values


def _key_path(key):
    return "/v1/keys/" + quote(key, safe="/")
