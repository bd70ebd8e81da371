"""Client of the platform's store."""

import asyncio
import base64
import json
import logging
from dataclasses import dataclass

import aiohttp
from prometheus_client import Gauge

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.http.client import read_limited, reject_second_send
from magnoliagrade.observability import log_event
from magnoliagrade.store.client import (
    STORE_CALLS,
    StoreConflict,
    StoreUnavailable,
    StoreValue,
)

__all__ = [
    "HistoryLost",
    "PlatformStore",
    "StoreEvent",
    "StoreLease",
    "StorePosition",
]

# The store responds in 4 ms, and in up to a few hundred ms when it is slow.
CALL_TIMEOUT_S = 1.0
# Added to the wait of a watch; without a response by then, the watch times out.
WATCH_TIMEOUT_MARGIN_S = 0.7
# Header of every response: number of times that the store has returned from a copy that
# lacks its last changes.
ERA_HEADER = "Store-Era"
# Number of times that a listing is read if the era changes between its pages.
MAX_LISTING_TRIES = 3

# Limit on the body of a response. A watch returns several changes of the configuration
# together, each of up to a megabyte.
BODY_LIMIT_BYTES = 64 * 1024 * 1024

ERA = Gauge("magnoliagrade_store_era", "Era of the store in its newest response")
_log = logging.getLogger(__name__)


class HistoryLost(MagnoliagradeError):
    """The store has discarded the changes after a revision, or is in another era."""

    def __init__(self, detail):
        super().__init__(ErrorKind.STORE_UNAVAILABLE, detail)


@dataclass(slots=True, kw_only=True)
class StoreEvent:
    """A change of a key; `value` is None if the key was deleted."""

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True, order=True, slots=True)
class StorePosition:
    """Position in the store's history; later eras are ordered after earlier ones.

    Parameters
    ----------
    era : int
        Number of times that the store has returned from a copy.
    revision : int
        Revision within the era. The revisions of changes that a return has lost are
        issued again in the next era.
    """

    era: int
    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreLease:
    """A lease; its id may belong to another process in a later era."""

    id: int
    era: int


class PlatformStore:
    """Client of the platform's key-value store, with linearizable reads.

    Parameters
    ----------
    address : str
        `host:port` of the store.
    session : aiohttp.ClientSession
        Session whose connections are used.

    Attributes
    ----------
    era : int or None
        Highest era in a response; None before the first response.
    """

    __slots__ = ("_era_changed", "_session", "_url", "era")

    def __init__(self, *, address, session):
        self._url = f"http://{address}"
        self._session = session
        self._era_changed = asyncio.Event()
        self.era = None

    async def get(self, key, *, purpose):
        """Return the `StoreValue` of a key, or None if it does not exist."""
        response = await self._call(
            "GET", "/kv-key", params={"Key": key}, purpose=purpose
        )
        return None if response.status == 404 else _value(response.body)

    async def list(self, prefix, *, purpose):
        """Return the values under a prefix and the position to start a watch from.

        Raises
        ------
        HistoryLost
            If the era changed again each time the listing was read.

        Notes
        -----
        The pages of a listing are not one snapshot. The position is that of the first
        page, so a watch from it repeats the changes made while later pages were read.
        """
        for _ in range(MAX_LISTING_TRIES):
            values, positions = await self._list_pages(prefix, purpose)
            if len({position.era for position in positions}) == 1:
                return values, positions[0]
        raise HistoryLost(
            f"listing of {prefix!r}: the store's era changed between its pages in "
            f"{MAX_LISTING_TRIES} tries"
        )

    async def watch(self, prefix, *, after, wait_s, purpose):
        """Return the changes under a prefix and the position to continue from.

        Parameters
        ----------
        prefix : str
            Prefix of the keys.
        after : StorePosition
            Position that the changes follow.
        wait_s : float
            Longest wait for a change, in seconds.
        purpose : str
            Label under which the call is counted.

        Raises
        ------
        HistoryLost
            If the store has discarded changes that followed `after`, or is in another
            era: the same revision then stands for another state.
        """
        params = {
            "Prefix": prefix,
            "After": str(after.revision),
            "WaitMs": str(int(wait_s * 1000)),
        }
        response = await self._call(
            "GET",
            "/kv-watch",
            params=params,
            timeout_s=wait_s + WATCH_TIMEOUT_MARGIN_S,
            purpose=purpose,
        )
        if response.era != after.era:
            raise HistoryLost(
                f"watch from revision {after.revision} of era {after.era}: the store "
                f"is in era {response.era}"
            )
        events = [_event(item) for item in response.body["events"]]
        return events, StorePosition(response.era, response.body["AsOf"])

    async def put(self, key, value, *, expected_revision, lease=None, purpose):
        """Write a value and return its revision.

        `expected_revision` 0 requires that the key does not exist; None disables the
        check. Raises `StoreConflict` if the check fails or the lease has ended, and
        `StoreUnavailable`.
        """
        write = {"Key": key, "Value": base64.b64encode(value).decode()}
        if lease is not None:
            self._check_lease_era(lease, self.era)
            write["Lease"] = lease.id
        conditions = []
        if expected_revision is not None:
            conditions.append({"Key": key, "Revision": expected_revision})
        response = await self._call(
            "POST",
            "/kv-txn",
            document={"Precondition": conditions, "Writes": [write], "Deletes": []},
            purpose=purpose,
        )
        if lease is not None:
            self._check_lease_era(lease, response.era)
        if response.status == 404:
            raise StoreConflict(
                f"{key} was not written: its lease {lease.id} has ended"
            )
        return response.body["Revision"]

    async def delete(self, key, *, purpose):
        """Delete a key, whether it exists or not."""
        await self._call(
            "POST",
            "/kv-txn",
            document={"Precondition": [], "Writes": [], "Deletes": [key]},
            purpose=purpose,
        )

    async def grant_lease(self, ttl_s, *, purpose):
        """Create a `StoreLease` that ends after `ttl_s` seconds, and return it."""
        response = await self._call(
            "POST", "/kv-lease", document={"TtlMs": int(ttl_s * 1000)}, purpose=purpose
        )
        return StoreLease(id=response.body["Lease"], era=response.era)

    async def renew_lease(self, lease, *, purpose):
        """Renew a lease; raises `StoreConflict` if it has ended or was lost."""
        self._check_lease_era(lease, self.era)
        response = await self._call("POST", f"/kv-keep/{lease.id}", purpose=purpose)
        self._check_lease_era(lease, response.era)
        if response.status == 404:
            raise StoreConflict(f"lease {lease.id} was not renewed: it has ended")

    async def revoke_lease(self, lease, *, purpose):
        """End a lease; the store deletes the keys written under it.

        Raises `StoreConflict`, without a call, if the lease is of an earlier era.
        """
        self._check_lease_era(lease, self.era)
        await self._call("DELETE", f"/kv-lease-end/{lease.id}", purpose=purpose)

    async def wait_for_new_era(self):
        """Wait until a response shows that the store has returned from a copy."""
        await self._era_changed.wait()

    @staticmethod
    def _check_lease_era(lease, era):
        if lease.era != era:
            raise StoreConflict(
                f"lease {lease.id} of era {lease.era} may have been lost or issued to "
                f"another process: the store is in era {era}"
            )

    async def _list_pages(self, prefix, purpose):
        values, positions = [], []
        params = {"Prefix": prefix}
        while True:
            response = await self._call(
                "GET", "/kv-range", params=params, purpose=purpose
            )
            page = response.body
            values += [_value(item) for item in page["Items"]]
            positions.append(StorePosition(response.era, page["AsOf"]))
            if not page.get("MorePages") or not page["Items"]:
                return values, positions
            params = {"Prefix": prefix, "After": page["Items"][-1]["Key"]}

    async def _call(
        self,
        method,
        path,
        *,
        purpose,
        params=None,
        document=None,
        timeout_s=CALL_TIMEOUT_S,
    ):
        verb = path.split("/")[1]
        try:
            response = await self._exchange(method, path, params, document, timeout_s)
        except (
            aiohttp.ClientError,
            OSError,
            RecursionError,
            TimeoutError,
            ValueError,
        ) as exc:
            STORE_CALLS.labels(purpose, verb, "unavailable").inc()
            was_never_sent = isinstance(exc, aiohttp.ClientConnectorError)
            raise StoreUnavailable(
                f"{method} {path} of {self._url} failed: {type(exc).__name__}",
                maybe_applied=method != "GET" and not was_never_sent,
            ) from exc
        STORE_CALLS.labels(purpose, verb, str(response.status)).inc()
        if self.era is not None and response.era < self.era:
            raise StoreUnavailable(
                f"{method} {path}: response of era {response.era} arrived after one of "
                f"era {self.era}",
                maybe_applied=method != "GET",
            )
        self._record_era(response.era)
        response.raise_for_status(f"{method} {path}")
        return response

    def _record_era(self, era):
        if era == self.era:
            return
        if self.era is not None:
            log_event(
                _log,
                "store.era.changed",
                level=logging.WARNING,
                era=era,
                previous_era=self.era,
            )
            self._era_changed.set()
            self._era_changed = asyncio.Event()
        self.era = era
        ERA.set(era)

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
            data = await read_limited(response, BODY_LIMIT_BYTES)
            is_json = response.status in (200, 412) and data
            body = json.loads(data) if is_json else {}
            era = int(response.headers.get(ERA_HEADER, self.era or 0))
            return _StoreResponse(status=response.status, body=body, era=era)


@dataclass(slots=True, kw_only=True)
class _StoreResponse:
    status: int
    body: dict
    era: int

    def raise_for_status(self, call):
        if self.status == 412:
            raise StoreConflict(f"{call}: a key is not at the expected revision")
        if self.status == 410:
            raise HistoryLost(f"{call}: the changes after the revision were discarded")
        if self.status == 429:
            raise MagnoliagradeError(
                ErrorKind.STORE_LIMITED, f"{call}: rejected by the store's rate limit"
            )
        if self.status >= 500:
            raise StoreUnavailable(f"{call}: status {self.status}")
        if self.status not in (200, 204, 404):
            detail = f"{call}: status {self.status}"
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
