"""Client of a rank: the agent's orders over HTTP."""

import asyncio
import base64
from dataclasses import dataclass

import aiohttp
import numpy as np
from magnoliagrade.errors import ErrorKind, MagnoliagradeError

from magnoliagrade_agent.group.orders import RankState
from magnoliagrade_agent.group.view import GroupView, Outcome, Switch

__all__ = ["RankClient", "RankCounts", "decode_view", "encode_view"]

ORDER_TIMEOUT_S = 2.0
FENCE_HEADER = "X-Fence"


@dataclass(slots=True, kw_only=True)
class RankCounts:
    """What a rank counted since it was last asked.

    Parameters
    ----------
    counts : ndarray of shape (layers, experts)
        Tokens that the rank sent to each expert.
    seconds : float
        Time that was counted.
    work_s : float
        Time that the rank worked, without waiting for others.
    step : int
        Newest step that it began.
    step_s : float
        Length of a step.
    """

    counts: np.ndarray
    seconds: float
    work_s: float
    step: int
    step_s: float


class RankClient:
    """Orders to a rank over its HTTP protocol.

    Parameters
    ----------
    url : str
        Base URL.
    session : aiohttp.ClientSession
        Session whose connections are used.
    fence : callable
        Returns the fencing number of this agent, its incarnation in the group.

    Notes
    -----
    The protocol is described in docs/PLATFORM.md.
    """

    __slots__ = ("_fence", "_session", "_url")

    def __init__(self, *, url, session, fence):
        self._url = url.rstrip("/")
        self._session = session
        self._fence = fence

    async def pause(self):
        """Stop the rank and return its `RankState`."""
        return _state(await self._order("pause"))

    async def state(self):
        """Return the rank's `RankState` without stopping it."""
        return _state(await self._call("GET", "/rank/state"))

    async def stage(self, version, packed_map):
        """Load the experts of a map; return whether they are all there."""
        answer = await self._order("stage", version=version, map=_base64(packed_map))
        return answer["accepted"]

    async def hold(self, view, *, after_step):
        """Close the gate at the step of an open switch."""
        fields = encode_view(view)
        answer = await self._order("hold", knowledge=fields, after_step=after_step)
        return answer["accepted"]

    async def note_outcome(self, view):
        """Keep the outcome of the newest switch."""
        await self._order("outcome", knowledge=encode_view(view))

    async def release(self, step):
        """Lift the hold of a step."""
        await self._order("release", step=step)

    async def settle(self, view):
        """Keep what a new generation starts from."""
        await self._order("settle", knowledge=encode_view(view))

    async def run(self, generation, step):
        """Run from a step on; return whether it runs."""
        answer = await self._order("run", generation=str(generation), step=step)
        return answer["accepted"]

    async def counts(self):
        """Return and reset the rank's `RankCounts`."""
        answer = await self._order("counts")
        counts = np.array(answer["counts"], dtype=float)
        return RankCounts(
            counts=counts,
            seconds=answer["seconds"],
            work_s=answer["work_s"],
            step=answer["step"],
            step_s=answer["step_s"],
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
                    detail = f"{path} with fence {self._fence()}"
                    raise MagnoliagradeError(ErrorKind.FENCED, detail)
                response.raise_for_status()
                return await response.json()
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as exc:
            detail = f"{method} {path}: {type(exc).__name__}"
            raise MagnoliagradeError(ErrorKind.UPSTREAM_FAILED, detail) from exc


def encode_view(view):
    """Return knowledge as a mapping ready for JSON."""
    switch = view.switch
    return {
        # JSON numbers of other programs hold no 64 bits.
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
    """Return the knowledge that a mapping holds."""
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
