"""Sending of a request to one endpoint over a separate connection."""

from dataclasses import dataclass

import aiohttp
from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.http import (
    CheckedResponseHandler,
    ResponseConnector,
    ResponseTooLong,
    read_limited,
    send_once,
)
from magnoliagrade.platform import (
    endpoint_headers,
    has_not_run,
    is_group_broken,
    is_replaced,
    notice_of,
    requested_pause_s,
    response_identity,
)
from yarl import URL

__all__ = [
    "AttemptFailed",
    "ConnectionState",
    "EndpointConnector",
    "UpstreamResponse",
    "open_response",
    "too_long_response",
    "trace_connections",
]

# Time limit for opening a connection: longer than the two trips between data centres
# that this takes, a few ms. TCP repeats the first packet to an unreachable machine only
# after a second.
CONNECT_TIMEOUT_S = 0.35
# Limit on the body of a plain response: a faulty endpoint may send one that does not
# end. All of them together have a limit of their own (`ResponseMemory`).
BODY_LIMIT_BYTES = 8 * 1024 * 1024
# What the system keeps of each response that is not read; it also bounds how much of a
# response arrives at once.
RECEIVE_BUFFER_BYTES = 64 * 1024


class AttemptFailed(MagnoliagradeError):
    """One attempt at one endpoint did not yield a complete response.

    Parameters
    ----------
    kind : ErrorKind
        Error that the caller receives if no other attempt succeeds.
    detail : str
        Description of the failure.
    has_run : bool
        Whether the request may have run; False only if it certainly has not.
    is_full : bool
        Whether the endpoint rejected the request because it was full.
    is_group_broken : bool
        Whether the endpoint rejected the request because its group has lost a rank.
    is_moved : bool
        Whether this entry ended the attempt to resume at a faster endpoint.
    is_replaced : bool
        Whether the request was rejected by another incarnation than the registered
        one.
    notice : EndpointNotice or None
        What the endpoint says of itself in the response, if there is one.
    pause_s : float
        Time for which the endpoint asks for no further requests, in seconds.
    was_sent : bool
        Whether the request was sent; False if no connection was made.
    response : aiohttp.web.Response or None
        The endpoint's complete response, if that is an error.
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
        notice=None,
        pause_s=0.0,
        was_sent=True,
        response=None,
    ):
        super().__init__(kind, detail)
        self.has_run = has_run
        self.is_full = is_full
        self.is_group_broken = is_group_broken
        self.is_moved = is_moved
        self.is_replaced = is_replaced
        self.notice = notice
        self.pause_s = pause_s
        self.was_sent = was_sent
        self.response = response

    def forget_frames(self):
        """Drop the traceback and causes, whose frames refer to parts of a response.

        The exception is kept until the request has ended.
        """
        self.__traceback__ = self.__cause__ = self.__context__ = None


class EndpointConnector(ResponseConnector):
    """Connector whose connections serve one request each.

    Notes
    -----
    A late or duplicate response to an earlier request can never be mistaken for the
    response to the next one. Bodies without a length that end with a connection reset
    count as incomplete.
    """

    def __init__(self, *, source_address=""):
        super().__init__(
            handler_class=_ResetDetectingHandler,
            source_address=source_address,
            receive_buffer_bytes=RECEIVE_BUFFER_BYTES,
            force_close=True,
        )


class _ResetDetectingHandler(CheckedResponseHandler):
    """Reports a body that ends with a connection reset as incomplete."""

    def connection_lost(self, exc):
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError(
                    "the connection was reset within the response"
                )
            )
        super().connection_lost(exc)


@dataclass(slots=True, kw_only=True)
class ConnectionState:
    """Whether the connection of an attempt has been established."""

    is_established: bool = False


def trace_connections():
    """Return the trace configuration that records established connections.

    A request's context is its `ConnectionState`, or None.
    """

    async def on_connected(_session, context, _params):
        if context.trace_request_ctx is not None:
            context.trace_request_ctx.is_established = True

    configuration = aiohttp.TraceConfig()
    configuration.on_connection_create_end.append(on_connected)
    return configuration


@dataclass(slots=True, kw_only=True)
class UpstreamResponse:
    """A response whose headers have been received.

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
        """Headers of the response."""
        return self.response.headers

    @property
    def is_event_stream(self):
        """Whether the body is a stream of events."""
        return self.response.content_type == "text/event-stream"

    @property
    def notice(self):
        """What the endpoint says of itself, as `EndpointNotice`; None for a 421."""
        return notice_of(self.status, self.headers)

    async def read(self, hold):
        """Return the complete body.

        Parameters
        ----------
        hold : ResponseHold
            Memory that the body takes, also after it has been read.

        Raises
        ------
        AttemptFailed
            If it is cut off, exceeds `BODY_LIMIT_BYTES`, or was closed to free memory.
        """
        try:
            return await read_limited(self.response, BODY_LIMIT_BYTES, hold=hold)
        except ResponseTooLong as exc:
            raise too_long_response(exc) from exc
        except (aiohttp.ClientError, OSError) as exc:
            raise _broken_response(exc) from exc

    async def chunks(self):
        """Yield parts of the body; raise `AttemptFailed` if it is cut off."""
        try:
            async for data in self.response.content.iter_any():
                yield data
        except (aiohttp.ClientError, OSError) as exc:
            raise _broken_response(exc) from exc

    def close(self):
        """Close the connection, which also cancels the request."""
        self.response.close()


async def open_response(
    session, endpoint, request, *, now, connection, last_event_id="", urgency_level=None
):
    """Send a request to an endpoint and return its response.

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
    connection : ConnectionState
        Updated once the connection has been established.
    last_event_id : str
        Id of the event after which a stream resumes; empty to start a new one.
    urgency_level : int, optional
        Level by which the endpoint shall admit waiting requests, 0 first; the
        endpoint's default by default.

    Raises
    ------
    AttemptFailed
        If there is no response, or the response reports that the request was not run
        or does not belong to the request.
    """
    headers = endpoint_headers(
        request.headers,
        endpoint_id=endpoint.id,
        organisation=request.organisation.name if request.organisation else "",
        deadline_s=request.ends_at - now,
        last_event_id=last_event_id,
        priority=urgency_level,
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
            trace_context=connection,
        )
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
        raise AttemptFailed(
            ErrorKind.NOT_RUN,
            f"no connection to {endpoint.id}: {type(exc).__name__}",
            has_run=False,
            was_sent=False,
        ) from exc
    except (TimeoutError, aiohttp.ClientError, OSError) as exc:
        raise _broken_response(exc) from exc
    return _check_response(response, endpoint, request)


def _check_response(response, endpoint, request):
    status = response.status
    request_id, signature = response_identity(response.headers)
    belongs_to_request = request_id in ("", request.id)
    # A refusal of another request says nothing of this one, which may have run.
    if belongs_to_request and has_not_run(status, response.headers):
        response.close()
        raise AttemptFailed(
            ErrorKind.NOT_RUN,
            f"{endpoint.id} rejected the request with status {status}",
            has_run=False,
            is_full=status in (429, 503),
            is_group_broken=is_group_broken(endpoint.id, response.headers),
            is_replaced=is_replaced(status, endpoint.id, response.headers),
            notice=notice_of(status, response.headers),
            pause_s=requested_pause_s(status, response.headers),
        )
    is_complete = 400 <= status or signature
    if (
        not belongs_to_request
        or not is_complete
        or "Content-Encoding" in response.headers
    ):
        response.close()
        raise AttemptFailed(
            ErrorKind.UPSTREAM_FAILED,
            f"{endpoint.id} sent a response with status {status} that belongs to "
            "another request, lacks its signature or has a Content-Encoding",
            has_run=True,
        )
    return UpstreamResponse(response=response, status=status)


def too_long_response(exc):
    """Return the failure of an attempt whose response is a `ResponseTooLong`."""
    return AttemptFailed(ErrorKind.ANSWER_BROKEN, str(exc), has_run=True)


def _broken_response(exc):
    return AttemptFailed(
        ErrorKind.OUTCOME_UNKNOWN,
        f"the connection failed before the response was complete: {type(exc).__name__}",
        has_run=True,
    )
