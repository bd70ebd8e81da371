"""HTTP client that sends an agent's orders to its rank."""

import asyncio
import base64
import json
from dataclasses import dataclass

import aiohttp
import numpy as np
from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.http import read_limited

from magnoliagrade_agent.group.orders import RankState
from magnoliagrade_agent.group.view import GroupView, Outcome, Switch

__all__ = ["RankClient", "RankCounts", "decode_view", "encode_view"]

ORDER_TIMEOUT_S = 2.0
# Limit on the body of a response: the maps and counts of a rank.
BODY_LIMIT_BYTES = 16 * 1024 * 1024
# Carries the agent's incarnation, by which the rank rejects orders of earlier agents.
FENCE_HEADER = "X-Fence"


@dataclass(slots=True, kw_only=True)
class RankCounts:
    """Counters of a rank since they were last read.

    Parameters
    ----------
    counts : ndarray of shape (layers, experts)
        Tokens that the rank sent to each expert.
    seconds : float
        Time that the counters cover, in seconds.
    work_s : float
        Time that the rank worked, without the time it waited for other ranks, in
        seconds.
    step : int
        Newest step that the rank began.
    step_s : float
        Duration of a step in seconds.
    """

    counts: np.ndarray
    seconds: float
    work_s: float
    step: int
    step_s: float


class RankClient:
    """Client of a rank's HTTP protocol; implements `RankOrders`.

    Parameters
    ----------
    url : str
        Base URL of the rank.
    session : aiohttp.ClientSession
        HTTP session.
    fence : callable
        Returns the fencing token of this agent, which is its incarnation in the group.
        The coordinator's fencing token (`GenerationMember.fence`) is another number.

    Notes
    -----
    The protocol is described in docs/PLATFORM.md. Each method raises
    `MagnoliagradeError`: `FENCED` if the rank has seen a higher fencing token,
    `UPSTREAM_FAILED` if it does not respond within `ORDER_TIMEOUT_S`, if the connection
    fails or if the response is invalid.
    """

    __slots__ = ("_fence", "_session", "_url")

    def __init__(self, *, url, session, fence):
        self._url = url.rstrip("/")
        self._session = session
        self._fence = fence

    async def pause(self):
        """Pause the rank and return its `RankState`."""
        return _state(await self._order("pause"))

    async def state(self):
        """Return the rank's `RankState` without pausing the rank."""
        return _state(await self._call("GET", "/rank/state"))

    async def stage(self, version, packed_map):
        """Load the experts of a map; return whether all of them are loaded."""
        response = await self._order("stage", version=version, map=_base64(packed_map))
        return response["accepted"]

    async def hold(self, view, *, after_step):
        """Hold the rank before an open switch's step; return whether it is held."""
        fields = encode_view(view)
        response = await self._order("hold", knowledge=fields, after_step=after_step)
        return response["accepted"]

    async def note_outcome(self, view):
        """Store the outcome of the newest switch at the rank."""
        await self._order("outcome", knowledge=encode_view(view))

    async def release(self, step):
        """Release the hold before a step."""
        await self._order("release", step=step)

    async def settle(self, view):
        """Store the view from which a new generation starts at the rank."""
        await self._order("settle", knowledge=encode_view(view))

    async def run(self, generation, step):
        """Run the rank from a step on; return whether it runs."""
        response = await self._order("run", generation=str(generation), step=step)
        return response["accepted"]

    async def counts(self):
        """Return and reset the rank's `RankCounts`."""
        response = await self._order("counts")
        counts = np.array(response["counts"], dtype=float)
        return RankCounts(
            counts=counts,
            seconds=response["seconds"],
            work_s=response["work_s"],
            step=response["step"],
            step_s=response["step_s"],
        )

    async def _order(self, name, **fields):
        return await self._call("POST", f"/rank/{name}", fields)

    async def _call(self, method, path, fields=None):
        headers = {FENCE_HEADER: str(self._fence())}
        try:
            async with (
                asyncio.timeout(ORDER_TIMEOUT_S),
                self._session.request(
                    method, self._url + path, json=fields, headers=headers
                ) as response,
            ):
                if response.status == 409:
                    detail = (
                        f"{method} {self._url}{path}: rank rejected fencing token "
                        f"{self._fence()}, because it has seen a higher one"
                    )
                    raise MagnoliagradeError(ErrorKind.FENCED, detail)
                response.raise_for_status()
                return json.loads(await read_limited(response, BODY_LIMIT_BYTES))
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as exc:
            detail = f"{method} {self._url}{path}: {type(exc).__name__}"
            raise MagnoliagradeError(ErrorKind.UPSTREAM_FAILED, detail) from exc


def encode_view(view):
    """Return a `GroupView` as a mapping that can be written as JSON."""
    switch = view.switch
    return {
        # A string, because many JSON parsers read numbers as doubles, which cannot hold
        # all 64-bit integers.
        "origin": str(view.origin),
        "version": view.version,
        "completed": view.completed,
        "maps": {str(v): _base64(m) for v, m in view.map_by_version.items()},
        "switch": switch
        and {
            "version": switch.version,
            "step": switch.step,
            "outcome": switch.outcome.value,
        },
    }


def decode_view(fields):
    """Return the `GroupView` read from a mapping made by `encode_view`."""
    switch = fields["switch"]
    return GroupView(
        origin=int(fields["origin"]),
        version=fields["version"],
        completed=fields["completed"],
        map_by_version={int(v): base64.b64decode(m) for v, m in fields["maps"].items()},
        switch=switch
        and Switch(
            version=switch["version"],
            step=switch["step"],
            outcome=Outcome(switch["outcome"]),
        ),
    )


def _state(fields):
    return RankState(
        boot_id=fields["boot_id"],
        begun=fields["begun"],
        view=decode_view(fields["knowledge"]),
    )


def _base64(data):
    return base64.b64encode(data).decode()
