"""Client of a model server that is a rank of an expert-parallel group."""

import asyncio
import enum
import json

import aiohttp

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.http.client import read_limited
from magnoliagrade.platform.fields import (
    FormatError,
    load_object,
    number_field,
    optional_object,
    string_field,
)
from magnoliagrade.world.site import RankStatus

__all__ = ["OrderOutcome", "RankServer"]

# Limits on the bodies of a status report or the response to an order, and of the counts
# and the expert map: a faulty server may send one that does not end. Decoded JSON may
# take 24 times the memory of its text.
REPORT_LIMIT_BYTES = 64 * 1024
COUNTS_LIMIT_BYTES = 1024 * 1024
_OPERATION_BY_NAME = {
    "prepare": "prepare",
    "arm": "arm",
    "disarm": "disarm",
    "hold": "Hold",
    "release": "go",
}


class OrderOutcome(enum.Enum):
    """Outcome of an order that was sent to a model server.

    `BEGUN` means accepted but not yet carried out.
    """

    DONE = "done"
    BEGUN = "begun"
    REFUSED = "refused"
    # No response: the server may have carried out the order or may do so seconds later.
    UNKNOWN = "unknown"


class RankServer:
    """Client of the group calls of one model server.

    Parameters
    ----------
    address : str
        `host:port` of the server.
    session : aiohttp.ClientSession
        Session whose connections are used.
    timeout_s : float
        Time-out of a call that reads, in seconds.
    order_timeout_s : float, optional
        Time-out of an order in seconds; `timeout_s` by default.
    memory : ResponseMemory, optional
        Limit on the responses of all servers together; none by default.
    """

    __slots__ = ("_memory", "_order_timeout_s", "_session", "_timeout_s", "_url")

    def __init__(
        self, *, address, session, timeout_s, order_timeout_s=None, memory=None
    ):
        self._memory = memory
        self._order_timeout_s = order_timeout_s or timeout_s
        self._url = f"http://{address}"
        self._session = session
        self._timeout_s = timeout_s

    async def status(self):
        """Fetch the rank's `RankStatus`.

        Raises
        ------
        MagnoliagradeError
            If the server does not respond or its response is malformed.
        """
        return decode_status(await self._get("/report"))

    async def counts(self):
        """Return the epoch and how often each expert was chosen, by set of layers."""
        data = await self._get("/picked", limit_bytes=COUNTS_LIMIT_BYTES)
        document = load_object(data)
        counts = document.get("Counts")
        if not isinstance(counts, list):
            raise FormatError(f"Counts: expected a list, got a {type(counts).__name__}")
        return int(number_field(document, "epoch")), counts

    async def experts(self):
        """Return the epoch, the expert map's version and this rank's experts by set."""
        data = await self._get("/picked?Lists=1", limit_bytes=COUNTS_LIMIT_BYTES)
        document = load_object(data)
        expert_map = optional_object(document, "Map") or {}
        return (
            int(number_field(document, "epoch")),
            int(number_field(expert_map, "Version")),
            expert_map.get("Experts"),
        )

    async def order(self, operation, *, epoch, version=None, step=None, experts=None):
        """Send an order and return its `OrderOutcome`; never raises for a failed call.

        Parameters
        ----------
        operation : str
            `prepare`, `arm`, `disarm`, `hold` or `release`.
        epoch : int
            Epoch of the group that the order applies to; the server rejects it in any
            other.
        version : int, optional
            Version of the expert map.
        step : int, optional
            Number of the forward pass that the order applies to.
        experts : list of list of list of int, optional
            Experts by set of layers and rank.
        """
        document = {"Operation": _OPERATION_BY_NAME[operation], "epoch": epoch}
        if version is not None:
            document["Version"] = version
        if step is not None:
            document["step"] = step
        if experts is not None:
            document["Map"] = experts
        try:
            status, _ = await self._call(
                "POST", "/order", json.dumps(document), self._order_timeout_s
            )
        except MagnoliagradeError:
            return OrderOutcome.UNKNOWN
        if status == 200:
            return OrderOutcome.DONE
        if status == 202:
            return OrderOutcome.BEGUN
        # No other status says that the order will not be carried out.
        is_refused = 400 <= status < 500
        return OrderOutcome.REFUSED if is_refused else OrderOutcome.UNKNOWN

    async def _get(self, path, *, limit_bytes=REPORT_LIMIT_BYTES):
        status, data = await self._call(
            "GET", path, None, self._timeout_s, limit_bytes=limit_bytes
        )
        if status != 200:
            detail = f"GET {path} of {self._url}: status {status}"
            raise MagnoliagradeError(ErrorKind.UPSTREAM_FAILED, detail)
        return data

    async def _call(
        self, method, path, data, timeout_s, *, limit_bytes=REPORT_LIMIT_BYTES
    ):
        try:
            async with (
                asyncio.timeout(timeout_s),
                self._session.request(
                    method,
                    self._url + path,
                    data=data,
                    headers={"Content-Type": "application/json"} if data else None,
                ) as response,
            ):
                data = await read_limited(response, limit_bytes, memory=self._memory)
                return response.status, data
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            raise MagnoliagradeError(
                ErrorKind.UPSTREAM_FAILED,
                f"{method} {path} of {self._url} failed: {type(exc).__name__}",
            ) from exc


def decode_status(data):
    """Return the `RankStatus` that a server's report encodes.

    Raises
    ------
    FormatError
        If the report is malformed.
    """
    document = load_object(data)
    group = optional_object(document, "group") or {}
    armed = optional_object(document, "Armed") or {}
    return RankStatus(
        group=string_field(group, "Name", ""),
        epoch=int(number_field(group, "epoch", 0)),
        rank=int(number_field(group, "rank", 0)),
        size=int(number_field(document, "size", 0)),
        is_open=string_field(group, "State", "") == "open",
        born_ms=int(number_field(document, "born", 0)),
        step=int(number_field(document, "step", 0)),
        map_version=int(number_field(document, "Map", 0)),
        prepared_version=_optional_integer(document, "Prepared"),
        armed_version=_optional_integer(armed, "Version"),
        armed_step=_optional_integer(armed, "step"),
        held_step=_optional_integer(document, "held"),
        running=int(number_field(document, "Running", 0)),
        waiting=int(number_field(document, "Waiting", 0)),
        pace=max(0.1, number_field(document, "pace", 1.0)),
    )


def _optional_integer(document, name):
    return None if document.get(name) is None else int(number_field(document, name))
