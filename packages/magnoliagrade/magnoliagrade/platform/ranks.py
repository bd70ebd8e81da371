"""Calls to a model server that is a rank of an expert-parallel group."""

import asyncio
import enum
import json

import aiohttp

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.platform.fields import (
    FormatError,
    load,
    number,
    optional,
    text,
)
from magnoliagrade.world.site import RankStatus

__all__ = ["OrderOutcome", "RankServer"]

_OPERATION_BY_NAME = {
    "prepare": "prepare",
    "arm": "arm",
    "disarm": "disarm",
    "hold": "Hold",
    "release": "go",
}


class OrderOutcome(enum.Enum):
    """How a server took an order."""

    DONE = "done"
    BEGUN = "begun"
    REFUSED = "refused"
    # No answer: the order may have been carried out, or may be, seconds later.
    UNKNOWN = "unknown"


class RankServer:
    """Client of one model server's calls about its group.

    Parameters
    ----------
    address : str
        `host:port` of the server.
    session : aiohttp.ClientSession
        Session whose connections are used.
    timeout_s : float
        Longest wait for an answer to a question, in seconds.
    order_timeout_s : float, optional
        Longest wait for an answer to an order; that to a question by default.
    """

    __slots__ = ("_order_timeout_s", "_session", "_timeout_s", "_url")

    def __init__(self, *, address, session, timeout_s, order_timeout_s=None):
        self._order_timeout_s = order_timeout_s or timeout_s
        self._url = f"http://{address}"
        self._session = session
        self._timeout_s = timeout_s

    async def status(self):
        """Return the rank's `RankStatus`.

        Raises
        ------
        MagnoliagradeError
            If the server does not answer or its answer cannot be read.
        """
        return decode_status(await self._get("/report"))

    async def counts(self):
        """Return the epoch and how often each expert was chosen, set after set."""
        document = load(await self._get("/picked"))
        counts = document.get("Counts")
        if not isinstance(counts, list):
            raise FormatError("Counts is no list")
        return int(number(document, "epoch")), counts

    async def experts(self):
        """Return the epoch, map version and experts of this rank by set."""
        document = load(await self._get("/picked?Lists=1"))
        in_use = optional(document, "Map") or {}
        return (
            int(number(document, "epoch")),
            int(number(in_use, "Version")),
            in_use.get("Experts"),
        )

    async def order(self, operation, *, epoch, version=None, step=None, experts=None):
        """Give an order and return its `OrderOutcome`.

        Parameters
        ----------
        operation : str
            `prepare`, `arm`, `disarm`, `hold` or `release`.
        epoch : int
            Epoch in which it holds; the server refuses it in any other.
        version : int, optional
            Version of the expert map.
        step : int, optional
            Pass.
        experts : list of list of list of int, optional
            Experts by set and rank.
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
        return OrderOutcome.REFUSED if status < 500 else OrderOutcome.UNKNOWN

    async def _get(self, path):
        status, data = await self._call("GET", path, None, self._timeout_s)
        if status != 200:
            detail = f"{path} of {self._url}: {status}"
            raise MagnoliagradeError(ErrorKind.UPSTREAM_FAILED, detail)
        return data

    async def _call(self, method, path, data, timeout_s):
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
                return response.status, await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            raise MagnoliagradeError(
                ErrorKind.UPSTREAM_FAILED,
                f"{method} {path} of {self._url}: {type(exc).__name__}",
            ) from exc


def decode_status(data):
    """Return the `RankStatus` that a server's report holds.

    Raises
    ------
    FormatError
        If the report cannot be read.
    """
    document = load(data)
    group = optional(document, "group") or {}
    armed = optional(document, "Armed") or {}
    return RankStatus(
        group=text(group, "Name", ""),
        epoch=int(number(group, "epoch", 0)),
        rank=int(number(group, "rank", 0)),
        size=int(number(document, "size", 0)),
        is_open=text(group, "State", "") == "open",
        born_ms=int(number(document, "born", 0)),
        step=int(number(document, "step", 0)),
        map_version=int(number(document, "Map", 0)),
        prepared_version=_whole(document, "Prepared"),
        armed_version=_whole(armed, "Version"),
        armed_step=_whole(armed, "step"),
        held_step=_whole(document, "held"),
        running=int(number(document, "Running", 0)),
        waiting=int(number(document, "Waiting", 0)),
        pace=max(0.1, number(document, "pace", 1.0)),
    )


def _whole(document, name):
    return None if document.get(name) is None else int(number(document, name))
