"""Writing of responses to a connection, and responses to errors."""

import asyncio
import contextlib
import math

from aiohttp import web

from magnoliagrade.errors import problem_details, response_of
from magnoliagrade.http.headers import CODE, RAN, end_to_end_headers
from magnoliagrade.identity import new_request_id

__all__ = ["ResponseSink", "error_response", "send_response"]

# A body is written in pieces of this size, each once the connection has taken the last.
PIECE_BYTES = 64 * 1024
# A client that takes no piece for this long is given up: its response takes memory that
# others need.
STALL_TIMEOUT_S = 60.0


class ResponseSink:
    """Writes one response to the connection that a request came from.

    Parameters
    ----------
    http_request : aiohttp.web.Request
        The incoming HTTP request.
    added_headers : dict of str to str
        Headers that this hop adds to the response.
    closes_connection : bool
        Whether the connection is closed after this response.

    Notes
    -----
    `tokens_written` starts above 0 if the caller already has tokens of an earlier
    attempt. `ignores_disconnect` is set for requests that run to completion even if
    the client has disconnected. The client is whichever process sent the request: a
    caller, or an entry if this process is an agent or a peer entry.
    """

    __slots__ = (
        "_http_request",
        "added_headers",
        "bytes_written",
        "closes_connection",
        "ignores_disconnect",
        "is_event_stream",
        "response",
        "tokens_written",
    )

    def __init__(self, *, http_request, added_headers=None, closes_connection=False):
        self._http_request = http_request
        self.added_headers = added_headers or {}
        self.closes_connection = closes_connection
        self.response = None
        self.bytes_written = 0
        self.ignores_disconnect = False
        self.is_event_stream = False
        self.tokens_written = 0

    @property
    def has_started(self):
        """Whether the status and headers have been sent."""
        return self.response is not None

    async def start(self, status, headers):
        """Send the status and headers.

        Parameters
        ----------
        status : int
            HTTP status.
        headers : mapping of str to str
            Headers of the back end's response; hop-by-hop and internal headers are
            removed.
        """
        kept = end_to_end_headers(headers)
        kept.update(self.added_headers)
        length = headers.get("Content-Length")
        response = web.StreamResponse(status=status, headers=kept)
        if length is not None:
            response.content_length = int(length)
        media_type = headers.get("Content-Type", "").partition(";")[0].strip()
        self.is_event_stream = media_type == "text/event-stream"
        if self.closes_connection:
            response.force_close()
        self.response = response
        with self._disconnect_suppressed():
            await response.prepare(self._http_request)

    async def write(self, data, *, tokens=0):
        """Send a part of the body.

        Parameters
        ----------
        data : bytes
            Next bytes of the body.
        tokens : int
            Number of tokens in `data`.
        """
        self.bytes_written += len(data)
        self.tokens_written += tokens
        with self._disconnect_suppressed():
            await self.response.write(data)

    async def finish(self):
        """End the response, so that the client sees it as complete."""
        with self._disconnect_suppressed():
            await self.response.write_eof()

    def abort(self):
        """Abort the connection, so that a truncated response never looks complete."""
        transport = self._http_request.transport
        if transport is not None:
            transport.abort()

    def _disconnect_suppressed(self):
        if self.ignores_disconnect:
            return contextlib.suppress(ConnectionError)
        return contextlib.nullcontext()


def error_response(error, *, request_id="", is_internal=False):
    """Return the HTTP response to an error, with problem details as its body.

    Parameters
    ----------
    error : MagnoliagradeError
        Error to report.
    request_id : str
        Id of the request; left out of the headers if empty.
    is_internal : bool
        Whether the receiver is another process of this system; it gets the error's
        code and whether the request ran in internal headers.

    Returns
    -------
    response : aiohttp.web.Response
        Problem details with the status of the error's kind.
    """
    row = response_of(error.kind)
    headers = {"X-Request-Id": request_id} if request_id else {}
    if error.retry_after is not None:
        headers["Retry-After"] = str(max(1, math.ceil(error.retry_after)))
    if is_internal:
        headers[RAN] = row.ran.value
        headers[CODE] = error.kind.value
    return web.json_response(
        problem_details(error, request_id=request_id),
        status=row.status,
        headers=headers,
        content_type="application/problem+json",
    )


async def send_response(http_request, response, *, stall_timeout_s=STALL_TIMEOUT_S):
    """Send a complete response and drop its body.

    Parameters
    ----------
    http_request : aiohttp.web.BaseRequest
        Request that is responded to.
    response : aiohttp.web.Response
        Response of which nothing has been sent.
    stall_timeout_s : float
        Longest time in which the client takes no more of a long body, in seconds; the
        connection is aborted then.

    Notes
    -----
    aiohttp would pass the entire body to the connection, which keeps what the client
    has not read yet, and keep the response until the next one on the connection.
    """
    response.headers.setdefault("X-Request-Id", new_request_id())
    if not http_request.content.is_eof():
        response.force_close()
    # If the client has disconnected, aiohttp finds out when it ends the response.
    with contextlib.suppress(ConnectionError):
        await response.prepare(http_request)
        has_body = http_request.method != "HEAD" and response.status not in (204, 304)
        if has_body and len(response.body or b"") > PIECE_BYTES:
            body, response.body = response.body, None
            await _write_pieces(http_request, response, body, stall_timeout_s)
        await response.write_eof()
    response.body = None


async def _write_pieces(http_request, response, body, stall_timeout_s):
    view = memoryview(body)
    for begin in range(0, len(view), PIECE_BYTES):
        try:
            async with asyncio.timeout(stall_timeout_s):
                await response.write(view[begin : begin + PIECE_BYTES])
        except TimeoutError:
            if http_request.transport is not None:
                http_request.transport.abort()
            raise ConnectionAbortedError("the client takes no data") from None
