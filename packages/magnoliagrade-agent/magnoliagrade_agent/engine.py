"""Client of the endpoint: its requests, load reports and orders."""

import asyncio
from urllib.parse import urlsplit

import aiohttp
from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.http import send_once
from magnoliagrade.world import LoadReport, Work

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
    order_session : aiohttp.ClientSession
        Session that opens a connection for each request.
    work : str
        Kind of back end.

    Notes
    -----
    The engine's protocol is described in docs/PLATFORM.md. A request that may run
    only once goes over a connection of its own: a kept one may have been closed by
    the endpoint, which cannot be told from a request that was lost while it ran.
    """

    __slots__ = ("_order_session", "_session", "_url", "_work")

    def __init__(self, *, url, session, order_session, work=Work.SERVICE.value):
        self._url = url.rstrip("/")
        self._session = session
        self._order_session = order_session
        self._work = work

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
            lost before an answer or brought another request's answer,
            `ANSWER_BROKEN` if the end of the answer could not be recognised.
        """
        headers = dict(request.header_by_name)
        headers["X-Request-Id"] = request.id
        headers["X-Attempt-Id"] = attempt
        headers["X-Priority"] = str(request.priority)
        if resume_tokens:
            headers["X-Resume-Tokens"] = str(resume_tokens)
        session = self._session if request.repeatable else self._order_session
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
        self._check_own(request, attempt, response)
        return response

    def _check_own(self, request, attempt, response):
        """Discard an answer that belongs to another request or has no end."""
        echoed = response.headers.get("X-Request-Id")
        echoed_attempt = response.headers.get("X-Attempt-Id", attempt)
        is_own = echoed == request.id and echoed_attempt == attempt
        may_lack_echo = self._work == Work.SERVICE.value or response.status >= 400
        if not is_own and not (echoed is None and may_lack_echo):
            response.close()
            detail = f"answer to request {echoed!r} came to request {request.id!r}"
            raise MagnoliagradeError(ErrorKind.OUTCOME_UNKNOWN, detail)
        if not _has_end(request, response):
            response.close()
            detail = "answer has neither a length nor an explicit end"
            raise MagnoliagradeError(ErrorKind.ANSWER_BROKEN, detail)

    async def takes_connections(self, *, source=""):
        """Return whether the endpoint accepts a connection now.

        Parameters
        ----------
        source : str
            Local address to connect from; empty leaves it to the system.
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


def _has_end(request, response):
    """Return whether a truncated answer could be told from a whole one."""
    if request.method == "HEAD" or response.status in (204, 304):
        return True
    coding = response.headers.get("Transfer-Encoding", "")
    return (
        "Content-Length" in response.headers
        or "chunked" in coding.lower()
        or response.content_type == "text/event-stream"
    )
