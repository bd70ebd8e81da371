"""Client of the platform's list of instances, which lags behind their state."""

import asyncio
from typing import Protocol

import aiohttp

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.world import Instance, InstanceState, Role

__all__ = ["HttpInstanceList", "InstanceList"]

CALL_TIMEOUT_S = 2.0


class InstanceList(Protocol):
    """Operations that the system requires of the platform's instance list."""

    async def fetch(self):
        """Return the `Instance` objects that the platform lists."""


class HttpInstanceList:
    """Client of the list's HTTP protocol.

    Parameters
    ----------
    url : str
        URL of the list.
    session : aiohttp.ClientSession
        Session whose connections are used.
    """

    __slots__ = ("_session", "_url")

    def __init__(self, *, url, session):
        self._url = url
        self._session = session

    async def fetch(self):
        """Return the instances that the platform lists.

        Raises
        ------
        MagnoliagradeError
            `STORE_UNAVAILABLE` if the list cannot be fetched, is not valid JSON or
            contains an unknown role or state.
        """
        try:
            async with (
                asyncio.timeout(CALL_TIMEOUT_S),
                self._session.get(self._url) as response,
            ):
                items = await response.json()
                return [_instance(item) for item in items]
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as exc:
            detail = f"fetching instance list {self._url} failed: {type(exc).__name__}"
            raise MagnoliagradeError(ErrorKind.STORE_UNAVAILABLE, detail) from exc


def _instance(item):
    return Instance(
        name=item["name"],
        role=Role(item["role"]),
        data_centre=item["data_centre"],
        control_address=item["control_address"],
        state=InstanceState(item["state"]),
    )
