"""HTTP client of the endpoint: requests and load reports."""

import asyncio
import json
from urllib.parse import urlsplit

import aiohttp
from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.http import read_limited, send_once
from magnoliagrade.world import LoadReport, Work

__all__ = ["EngineClient"]

CALL_TIMEOUT_S = 2.0
# Limit on the body of a load report.
REPORT_LIMIT_BYTES = 64 * 1024


class EngineClient:
    """Client of the model engine or plain service behind an endpoint.

    Parameters
    ----------
    url : str
        Base URL of the endpoint.
    session : aiohttp.ClientSession
        Session for load reports and for requests that may be repeated.
    single_use_session : aiohttp.ClientSession
        Session that opens a new connection for each request; used for requests
        that may run only once.
    work : str
        Kind of back end, a value of `Work`.

    Notes
    -----
    The engine's protocol is described in docs/PLATFORM.md. A request that may run
    only once is sent on a new connection. The endpoint may have closed a kept
    connection, and that looks the same as a request that was lost while it ran.
    """

    __slots__ = ("_single_use_session", "_session", "_url", "_work")

    def __init__(self, *, url, session, single_use_session, work=Work.SERVICE.value):
        self._url = url.rstrip("/")
        self._session = session
        self._single_use_session = single_use_session
        self._work = work

    async def open(self, request, *, attempt, resume_tokens=0):
        """Send a request and return the open response.

        Parameters
        ----------
        request : Request
            Request to send.
        attempt : str
            Id of the attempt, echoed by the engine.
        resume_tokens : int
            Number of tokens that the caller already has; the stream continues after
            them.

        Raises
        ------
        MagnoliagradeError
            `NOT_RUN` if no connection could be made, `OUTCOME_UNKNOWN` if it was
            lost before a response or returned the response to another request,
            `ANSWER_BROKEN` if the end of the response could not be recognised.
        """
        headers = dict(request.header_by_name)
        headers["X-Request-Id"] = request.id
        headers["X-Attempt-Id"] = attempt
        headers["X-Priority"] = str(request.priority)
        if resume_tokens:
            headers["X-Resume-Tokens"] = str(resume_tokens)
        session = self._session if request.repeatable else self._single_use_session
        try:
            response = await send_once(
                session,
                request.method,
                self._url + request.path,
                data=request.body or None,
                headers=headers,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
            raise MagnoliagradeError(ErrorKind.NOT_RUN, str(exc)) from exc
        except (aiohttp.ClientError, OSError) as exc:
            detail = f"endpoint connection lost: {type(exc).__name__}"
            raise MagnoliagradeError(ErrorKind.OUTCOME_UNKNOWN, detail) from exc
        self._check_response(request, attempt, response)
        return response

    def _check_response(self, request, attempt, response):
        """Reject a response to another request, or one whose end is not marked."""
        echoed = response.headers.get("X-Request-Id")
        echoed_attempt = response.headers.get("X-Attempt-Id", attempt)
        is_match = echoed == request.id and echoed_attempt == attempt
        may_lack_echo = self._work == Work.SERVICE.value or response.status >= 400
        if not is_match and not (echoed is None and may_lack_echo):
            response.close()
            detail = (
                f"response to request {echoed!r} arrived for request {request.id!r}"
            )
            raise MagnoliagradeError(ErrorKind.OUTCOME_UNKNOWN, detail)
        if not _has_marked_end(request, response):
            response.close()
            detail = "response has neither a content length nor an explicit end"
            raise MagnoliagradeError(ErrorKind.ANSWER_BROKEN, detail)

    async def accepts_connections(self, *, source=""):
        """Connect to the endpoint and return whether it accepted the connection.

        Parameters
        ----------
        source : str
            Local address to connect from; if empty, the system chooses it.
        """
        url = urlsplit(self._url)
        local = (source, 0) if source else None
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                _, writer = await asyncio.open_connection(
                    url.hostname, url.port or 80, local_addr=local
                )
        except (OSError, TimeoutError):
            return False
        writer.close()
        return True

    async def load_report(self):
        """Return the engine's newest load report.

        Raises
        ------
        MagnoliagradeError
            `UPSTREAM_FAILED` if the report cannot be fetched or read.
        """
        try:
            async with (
                asyncio.timeout(CALL_TIMEOUT_S),
                self._session.get(self._url + "/load") as response,
            ):
                fields = json.loads(await read_limited(response, REPORT_LIMIT_BYTES))
                return LoadReport(
                    boot_id=fields["boot_id"],
                    running=fields["running"],
                    waiting=fields["waiting"],
                    tokens_in_flight=fields["tokens_in_flight"],
                    cache_used=fields["cache_used"],
                    age_s=fields["age_s"],
                )
        except (
            aiohttp.ClientError,
            OSError,
            RecursionError,
            TimeoutError,
            KeyError,
            TypeError,
            ValueError,
        ) as exc:
            detail = f"cannot fetch load report: {type(exc).__name__}"
            raise MagnoliagradeError(ErrorKind.UPSTREAM_FAILED, detail) from exc


def _has_marked_end(request, response):
    """Return whether truncation of the response could be detected."""
    if request.method == "HEAD" or response.status in (204, 304):
        return True
    coding = response.headers.get("Transfer-Encoding", "")
    return (
        "Content-Length" in response.headers
        or "chunked" in coding.lower()
        or response.content_type == "text/event-stream"
    )
