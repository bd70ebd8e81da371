"""Client of the platform's list of instances, which lags behind their state."""

import asyncio
import json
import logging
import reprlib
from typing import Protocol

import aiohttp

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.http.client import read_limited
from magnoliagrade.observability.logs import log_event
from magnoliagrade.world import Instance, InstanceState, Role

__all__ = ["HttpInstanceList", "InstanceList"]

CALL_TIMEOUT_S = 2.0
# Limit on the body of the list.
BODY_LIMIT_BYTES = 16 * 1024 * 1024

_log = logging.getLogger(__name__)


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
        """Return the instances that the platform lists, without malformed rows.

        Raises
        ------
        MagnoliagradeError
            `STORE_UNAVAILABLE` if the list cannot be fetched or is not a JSON list.
        """
        try:
            async with (
                asyncio.timeout(CALL_TIMEOUT_S),
                self._session.get(self._url) as response,
            ):
                response.raise_for_status()
                rows = json.loads(await read_limited(response, BODY_LIMIT_BYTES))
        except (
            aiohttp.ClientError,
            OSError,
            RecursionError,
            TimeoutError,
            ValueError,
        ) as exc:
            detail = f"fetching instance list {self._url} failed: {type(exc).__name__}"
            raise MagnoliagradeError(ErrorKind.STORE_UNAVAILABLE, detail) from exc
        if not isinstance(rows, list):
            raise MagnoliagradeError(
                ErrorKind.STORE_UNAVAILABLE,
                f"instance list {self._url}: expected a JSON list, got a "
                f"{type(rows).__name__}",
            )
        return [instance for row in rows if (instance := _instance_or_none(row))]


def _instance_or_none(row):
    """Return the instance that a row describes; None if the row is malformed."""
    try:
        instance = Instance(
            name=row["name"],
            role=Role(row["role"]),
            data_centre=row["data_centre"],
            control_address=row["control_address"],
            state=InstanceState(row["state"]),
        )
        texts = (instance.name, instance.data_centre, instance.control_address)
        if not all(isinstance(text, str) for text in texts):
            raise TypeError("name, data_centre and control_address must be texts")
    except (LookupError, TypeError, ValueError) as exc:
        log_event(
            _log,
            "instances.row.refused",
            level=logging.WARNING,
            row=reprlib.repr(row),
            detail=f"{type(exc).__name__}: {exc}",
        )
        return None
    return instance
