"""The platform's lagging list of live and leaving instances."""

import asyncio
from typing import Protocol

import aiohttp

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.world import Instance, InstanceState, Role

__all__ = ["HttpInstanceList", "InstanceList"]

CALL_TIMEOUT_S = 2.0


class InstanceList(Protocol):
    """What the system needs of the platform's list."""

    async def fetch(self):
        """Return the list of `Instance` that the platform knows now."""


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
            `STORE_UNAVAILABLE` if the list cannot be had.
        """
        try:
            async with (
                asyncio.timeout(CALL_TIMEOUT_S),
                self._session.get(self._url) as response,
            ):
                rows = await response.json()
                return [_instance(row) for row in rows]
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as exc:
            detail = f"instance list at {self._url}: {type(exc).__name__}"
            raise MagnoliagradeError(ErrorKind.STORE_UNAVAILABLE, detail) from exc


def _instance(row):
    return Instance(
        name=row["name"],
        role=Role(row["role"]),
        data_centre=row["data_centre"],
        control_address=row["control_address"],
        state=InstanceState(row["state"]),
    )
