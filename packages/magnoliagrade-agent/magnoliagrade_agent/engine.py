"""Client of the endpoint: its requests, load reports and orders."""

import asyncio

import aiohttp
from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.world import LoadReport

__all__ = ["EngineClient"]

CALL_TIMEOUT_S = 2.0


class EngineClient:
    """The endpoint's engine or plain service.

    Parameters
    ----------
    url : str
        Base URL.
    session : aiohttp.ClientSession
        Session whose connections are used.

    Notes
    -----
    The engine's protocol is described in docs/PLATFORM.md.
    """

    __slots__ = ("_session", "_url")

    def __init__(self, *, url, session):
        self._url = url.rstrip("/")
        self._session = session

    async def open(self, request, *, attempt, resume_tokens=0):
        """Send a request and return the open response.

        Parameters
        ----------
        request : Request
            The request.
        attempt : str
            Id of the attempt, echoed by the engine.
        resume_tokens : int
            Tokens that the caller has already; the stream goes on after them.

        Raises
        ------
        MagnoliagradeError
            `NOT_RUN` if no connection could be made, `OUTCOME_UNKNOWN` if it was
            lost before an answer.
        """
        headers = dict(request.header_by_name)
        headers["X-Request-Id"] = request.id
        headers["X-Attempt-Id"] = attempt
        headers["X-Priority"] = str(request.priority)
        if resume_tokens:
            headers["X-Resume-Tokens"] = str(resume_tokens)
        try:
            return await self._session.request(
                request.method,
                self._url + request.path,
                data=request.body or None,
                headers=headers,
            )
        except aiohttp.ClientConnectorError as exc:
            raise MagnoliagradeError(ErrorKind.NOT_RUN, str(exc)) from exc
        except (aiohttp.ClientError, OSError) as exc:
            detail = f"endpoint connection lost: {type(exc).__name__}"
            raise MagnoliagradeError(ErrorKind.OUTCOME_UNKNOWN, detail) from exc

    async def load_report(self):
        """Return the engine's newest load report.

        Raises
        ------
        MagnoliagradeError
            `UPSTREAM_FAILED` if it cannot be had.
        """
        try:
            async with (
                asyncio.timeout(CALL_TIMEOUT_S),
                self._session.get(self._url + "/load") as response,
            ):
                fields = await response.json()
                return LoadReport(
                    boot_id=fields["boot_id"],
                    running=fields["running"],
                    waiting=fields["waiting"],
                    tokens_in_flight=fields["tokens_in_flight"],
                    cache_used=fields["cache_used"],
                    age_s=fields["age_s"],
                )
        except (aiohttp.ClientError, OSError, TimeoutError, KeyError, ValueError) as e:
            detail = f"load report: {type(e).__name__}"
            raise MagnoliagradeError(ErrorKind.UPSTREAM_FAILED, detail) from e
