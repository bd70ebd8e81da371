"""Sending a request to one endpoint, on a connection of its own."""

import functools
from dataclasses import dataclass

import aiohttp
from aiohttp.client_proto import ResponseHandler
from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.http import send_once
from magnoliagrade.platform import (
    endpoint_headers,
    has_not_run,
    is_group_broken,
    is_replaced,
    response_identity,
)
from yarl import URL

__all__ = ["AttemptFailed", "EndpointConnector", "UpstreamAnswer", "open_answer"]

# Connections take two ways between data centres, a few ms; the first packet of a
# machine that is gone is sent again only after a second.
CONNECT_TIMEOUT_S = 0.35


class AttemptFailed(MagnoliagradeError):
    """One attempt at one endpoint did not bring a whole answer.

    Parameters
    ----------
    kind : ErrorKind
        What the caller is told if nothing else helps.
    detail : str
        What happened.
    has_run : bool
        Whether the request may have run; False only if it surely has not.
    is_full : bool
        Whether the endpoint refused it for lack of room.
    is_group_broken : bool
        Whether the endpoint refused it because its group has lost a rank.
    is_moved : bool
        Whether this entry ended it itself, to go on at a faster endpoint.
    is_replaced : bool
        Whether another incarnation refused it than the one that it was sent to.
    was_sent : bool
        Whether the endpoint counts as one that the request was sent to.
    answer : aiohttp.web.Response or None
        The endpoint's own whole answer, where that is a failure.
    """

    def __init__(
        self,
        kind,
        detail,
        *,
        has_run,
        is_full=False,
        is_group_broken=False,
        is_moved=False,
        is_replaced=False,
        was_sent=True,
        answer=None,
    ):
        super().__init__(kind, detail)
        self.has_run = has_run
        self.is_full = is_full
        self.is_group_broken = is_group_broken
        self.is_moved = is_moved
        self.is_replaced = is_replaced
        self.was_sent = was_sent
        self.answer = answer


class EndpointConnector(aiohttp.TCPConnector):
    """Connector whose connections serve one request each.

    Notes
    -----
    A late or second answer of an earlier request can never be taken for that of the
    next one. Bodies without a length that end with a reset count as broken.
    """

    def __init__(self, *, source_address=""):
        super().__init__(
            limit=0,
            force_close=True,
            local_addr=(source_address, 0) if source_address else None,
        )
        self._factory = functools.partial(_OneAnswer, loop=self._loop)


class _OneAnswer(ResponseHandler):
    def connection_lost(self, exc):
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError("the connection was reset in the answer")
            )
        super().connection_lost(exc)


@dataclass(slots=True, kw_only=True)
class UpstreamAnswer:
    """An answer whose headers have been read.

    Parameters
    ----------
    response : aiohttp.ClientResponse
        The open response.
    status : int
        HTTP status.
    """

    response: object
    status: int

    @property
    def headers(self):
        """Headers of the answer."""
        return self.response.headers

    async def read(self):
        """Return the whole body; raises `AttemptFailed` if it breaks off."""
        try:
            return await self.response.read()
        except (aiohttp.ClientError, OSError) as exc:
            raise _broken(exc) from exc

    async def chunks(self):
        """Yield parts of the body; raises `AttemptFailed` if it breaks off."""
        try:
            async for data in self.response.content.iter_any():
                yield data
        except (aiohttp.ClientError, OSError) as exc:
            raise _broken(exc) from exc

    def close(self):
        """Close the connection, which also cancels the request."""
        self.response.close()


async def open_answer(session, endpoint, request, *, now, last_event_id=""):
    """Send a request to an endpoint and return its answer.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session with an `EndpointConnector`.
    endpoint : SiteEndpoint
        The endpoint.
    request : DirectRequest
        The request.
    now : float
        Time in seconds.
    last_event_id : str
        Event after which a stream goes on.

    Raises
    ------
    AttemptFailed
        If there is no answer, or one that says that the request was not run, or one
        that does not belong to the request.
    """
    headers = endpoint_headers(
        request.headers,
        endpoint_id=endpoint.id,
        organisation=request.organisation.name if request.organisation else "",
        deadline_s=request.ends_at - now,
        last_event_id=last_event_id,
    )
    url = URL(f"http://{endpoint.address}{request.target}", encoded=True)
    try:
        response = await send_once(
            session,
            request.method,
            url,
            data=request.body,
            headers=headers,
            connect_timeout_s=CONNECT_TIMEOUT_S,
        )
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
        raise AttemptFailed(
            ErrorKind.NOT_RUN,
            f"no connection to {endpoint.id}: {type(exc).__name__}",
            has_run=False,
            was_sent=False,
        ) from exc
    except (TimeoutError, aiohttp.ClientError, OSError) as exc:
        raise _broken(exc) from exc
    return _checked(response, endpoint, request)


def _checked(response, endpoint, request):
    status = response.status
    if has_not_run(status, response.headers):
        response.close()
        raise AttemptFailed(
            ErrorKind.NOT_RUN,
            f"{endpoint.id} did not run it: {status}",
            has_run=False,
            is_full=status in (429, 503),
            is_group_broken=is_group_broken(endpoint.id, response.headers),
            is_replaced=is_replaced(status, endpoint.id, response.headers),
        )
    request_id, signature = response_identity(response.headers)
    is_own = request_id in ("", request.id)
    is_whole = 400 <= status or signature
    if not is_own or not is_whole or "Content-Encoding" in response.headers:
        response.close()
        raise AttemptFailed(
            ErrorKind.UPSTREAM_FAILED,
            f"{endpoint.id} sent an answer that is not this request's: {status}",
            has_run=True,
        )
    return UpstreamAnswer(response=response, status=status)


def _broken(exc):
    return AttemptFailed(
        ErrorKind.OUTCOME_UNKNOWN,
        f"the answer broke off: {type(exc).__name__}",
        has_run=True,
    )
