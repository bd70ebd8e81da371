"""Client of the platform's store."""

import asyncio
import base64
import json
from dataclasses import dataclass

import aiohttp

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.http.client import reject_second_send
from magnoliagrade.store.client import (
    STORE_CALLS,
    StoreConflict,
    StoreUnavailable,
    StoreValue,
)

__all__ = ["HistoryLost", "PlatformStore", "StoreEvent"]

# The store answers in 4 ms and, on slow days, in some hundred.
CALL_TIMEOUT_S = 1.0
# Beyond the wait of a watch, after which its connection counts as silent.
WATCH_SLACK_S = 0.7


class HistoryLost(MagnoliagradeError):
    """The store no longer has the changes after a revision."""

    def __init__(self, detail):
        super().__init__(ErrorKind.STORE_UNAVAILABLE, detail)


@dataclass(slots=True, kw_only=True)
class StoreEvent:
    """One change: the key, its value or None if it was deleted, the revision."""

    key: str
    value: bytes | None
    revision: int


class PlatformStore:
    """Store of the platform, with linearizable reads.

    Parameters
    ----------
    address : str
        `host:port` of the store.
    session : aiohttp.ClientSession
        Session whose connections are used.
    """

    __slots__ = ("_session", "_url")

    def __init__(self, *, address, session):
        self._url = f"http://{address}"
        self._session = session

    async def get(self, key, *, purpose):
        """Return the value of a key, or None."""
        answer = await self._call("GET", "/kv-key", params={"Key": key}, why=purpose)
        return None if answer.status == 404 else _value(answer.body)

    async def list(self, prefix, *, purpose):
        """Return the values under a prefix and the revision to watch from.

        Notes
        -----
        Pages are no snapshot: the revision is that of the first one, so that a watch
        from it repeats what changed while the others were read.
        """
        values = []
        revision = None
        params = {"Prefix": prefix}
        while True:
            answer = await self._call("GET", "/kv-range", params=params, why=purpose)
            page = answer.body
            values += [_value(item) for item in page["Items"]]
            revision = page["AsOf"] if revision is None else revision
            if not page.get("MorePages") or not page["Items"]:
                return values, revision
            params = {"Prefix": prefix, "After": page["Items"][-1]["Key"]}

    async def watch(self, prefix, *, after_revision, wait_s, purpose):
        """Return the changes under a prefix and the revision to go on from.

        Raises
        ------
        HistoryLost
            If the store has dropped changes after the revision.
        """
        params = {
            "Prefix": prefix,
            "After": str(after_revision),
            "WaitMs": str(int(wait_s * 1000)),
        }
        answer = await self._call(
            "GET",
            "/kv-watch",
            params=params,
            timeout_s=wait_s + WATCH_SLACK_S,
            why=purpose,
        )
        events = [_event(item) for item in answer.body["events"]]
        return events, answer.body["AsOf"]

    async def put(self, key, value, *, expected_revision, lease=0, purpose):
        """Write a value and return its revision.

        `expected_revision` 0 means that the key must not exist, None that any will
        do. Raises `StoreConflict` or `StoreUnavailable`.
        """
        row = {"Key": key, "Value": base64.b64encode(value).decode()}
        if lease:
            row["Lease"] = lease
        conditions = []
        if expected_revision is not None:
            conditions.append({"Key": key, "Revision": expected_revision})
        answer = await self._call(
            "POST",
            "/kv-txn",
            document={"Precondition": conditions, "Writes": [row], "Deletes": []},
            why=purpose,
        )
        if answer.status == 404:
            raise StoreConflict(f"lease {lease} of key {key} has ended")
        return answer.body["Revision"]

    async def delete(self, key, *, purpose):
        """Delete a key, whether it exists or not."""
        await self._call(
            "POST",
            "/kv-txn",
            document={"Precondition": [], "Writes": [], "Deletes": [key]},
            why=purpose,
        )

    async def grant_lease(self, ttl_s, *, purpose):
        """Return the id of a new lease."""
        answer = await self._call(
            "POST", "/kv-lease", document={"TtlMs": int(ttl_s * 1000)}, why=purpose
        )
        return answer.body["Lease"]

    async def renew_lease(self, lease, *, purpose):
        """Renew a lease; raises `StoreConflict` if it has ended."""
        answer = await self._call("POST", f"/kv-keep/{lease}", why=purpose)
        if answer.status == 404:
            raise StoreConflict(f"lease {lease} has ended")

    async def revoke_lease(self, lease, *, purpose):
        """End a lease; its keys are deleted."""
        await self._call("DELETE", f"/kv-lease-end/{lease}", why=purpose)

    async def _call(
        self,
        method,
        path,
        *,
        why,
        params=None,
        document=None,
        timeout_s=CALL_TIMEOUT_S,
    ):
        verb = path.split("/")[1]
        try:
            answer = await self._exchange(method, path, params, document, timeout_s)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as exc:
            STORE_CALLS.labels(why, verb, "unavailable").inc()
            never_sent = isinstance(exc, aiohttp.ClientConnectorError)
            raise StoreUnavailable(
                f"{method} {path}: {type(exc).__name__}",
                maybe_applied=method != "GET" and not never_sent,
            ) from exc
        STORE_CALLS.labels(why, verb, str(answer.status)).inc()
        answer.raise_for_status(f"{method} {path}")
        return answer

    async def _exchange(self, method, path, params, document, timeout_s):
        async with (
            asyncio.timeout(timeout_s),
            self._session.request(
                method,
                self._url + path,
                params=params,
                json=document,
                middlewares=(reject_second_send(),) if method != "GET" else None,
            ) as response,
        ):
            data = await response.read()
            is_json = response.status in (200, 412) and data
            body = json.loads(data) if is_json else {}
            return _Answer(status=response.status, body=body)


@dataclass(slots=True, kw_only=True)
class _Answer:
    status: int
    body: dict

    def raise_for_status(self, what):
        if self.status == 412:
            raise StoreConflict(f"{what}: a condition does not hold")
        if self.status == 410:
            raise HistoryLost(f"{what}: the history is no longer there")
        if self.status == 429:
            raise MagnoliagradeError(ErrorKind.STORE_LIMITED, f"{what}: rate limit")
        if self.status >= 500:
            raise StoreUnavailable(f"{what}: {self.status}")
        if self.status not in (200, 204, 404):
            detail = f"{what}: {self.status}"
            raise MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail)


def _value(item):
    return StoreValue(
        key=item["Key"],
        value=base64.b64decode(item["Value"]),
        revision=item["Revision"],
    )


def _event(item):
    is_deleted = bool(item.get("Tombstone"))
    return StoreEvent(
        key=item["Key"],
        value=None if is_deleted else base64.b64decode(item["Value"]),
        revision=item["Revision"],
    )
