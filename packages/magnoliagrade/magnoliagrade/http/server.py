"""HTTP server of the listeners: each answer of its own comes from the error table."""

import asyncio
import functools
import logging
from dataclasses import dataclass

from aiohttp import http_exceptions, web
from aiohttp.web_protocol import EMPTY_PAYLOAD, _ErrInfo

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.http.responses import error_response
from magnoliagrade.identity import new_request_id
from magnoliagrade.observability import log_event

__all__ = [
    "ListenerLimits",
    "change_limits",
    "problem_details_middleware",
    "listen",
    "log_rejection",
    "start_listener",
]

# How long what a caller still sends is read and dropped after its answer.
LINGERING_S = 2.0
BACKLOG_CONNECTIONS = 1024
_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True, kw_only=True)
class ListenerLimits:
    """What one connection may ask of a listener.

    Parameters
    ----------
    header_bytes : int
        Longest request line and longest header.
    body_bytes : int
        Largest body that a handler may read at once.
    header_timeout_s : float
        Longest time from the first byte of a request to the end of its headers.
    idle_timeout_s : float
        Longest time without a request.
    """

    header_bytes: int = 64 * 1024
    body_bytes: int = 1024**3
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 600.0


async def start_listener(handle, address, *, limits, is_internal=False, listener=None):
    """Serve a listener and return its runner and bound address.

    Parameters
    ----------
    handle : coroutine function
        Takes an `aiohttp.web.BaseRequest` and returns a response.
    address : str
        `host:port`; port 0 takes a free one.
    limits : ListenerLimits
        What a connection may ask.
    is_internal : bool
        Whether own processes are on the other side.
    listener : socket.socket, optional
        Socket that listens on the address already.

    Returns
    -------
    runner : aiohttp.web.ServerRunner
        To be cleaned up when the process stops.
    bound : str
        `host:port` that is listened on.

    Notes
    -----
    Bodies stay as they were sent: decompressing them would leave the header
    `Content-Encoding` wrong for the back end.
    """
    server = _ListenerServer(
        functools.partial(_answer, handle, is_internal=is_internal),
        limits=limits,
        is_internal=is_internal,
    )
    runner = web.ServerRunner(server)
    return runner, await listen(runner, address, listener=listener)


def change_limits(runner, limits):
    """Change the limits of a listener, also of the connections that are open.

    Parameters
    ----------
    runner : aiohttp.web.ServerRunner
        Runner of the listener.
    limits : ListenerLimits
        What a connection may ask from now on.
    """
    server = runner.server
    if server.limits == limits:
        return
    server.limits = limits
    for connection in server.connections:
        connection._keepalive_timeout = limits.idle_timeout_s


async def listen(runner, address, *, listener=None):
    """Let a runner listen and return the bound address.

    Parameters
    ----------
    runner : aiohttp.web.BaseRunner
        A runner that is not set up yet.
    address : str
        `host:port`; port 0 takes a free one.
    listener : socket.socket, optional
        Socket that listens on the address already.

    Returns
    -------
    bound : str
        `host:port` that is listened on.
    """
    host, _, port = address.rpartition(":")
    await runner.setup()
    if listener is None:
        site = web.TCPSite(runner, host, int(port), backlog=BACKLOG_CONNECTIONS)
    else:
        site = web.SockSite(runner, listener, backlog=BACKLOG_CONNECTIONS)
    await site.start()
    bound_host, bound_port = runner.addresses[0][:2]
    return f"{bound_host}:{bound_port}"


def log_rejection(logger, error, *, request_id, **fields):
    """Write the event of a request that was answered with an error.

    Parameters
    ----------
    logger : logging.Logger
        Logger of the module.
    error : MagnoliagradeError
        The error.
    request_id : str
        Id of the request.
    **fields
        Further fields.
    """
    log_event(
        logger,
        "request.refused",
        request_id=request_id,
        code=error.kind.value,
        detail=error.detail,
        **fields,
    )


@web.middleware
async def problem_details_middleware(request, handler):
    """Answer errors of an application's router from the error table."""
    try:
        return await handler(request)
    except web.HTTPException as exc:
        return error_response(_coded(exc), request_id=new_request_id())


async def _answer(handle, http_request, *, is_internal):
    try:
        response = await handle(http_request)
    except (web.HTTPException, web.RequestPayloadError) as exc:
        response = error_response(
            _coded(exc), request_id=new_request_id(), is_internal=is_internal
        )
    if not response.prepared:
        response.headers.setdefault("X-Request-Id", new_request_id())
        if not http_request.content.is_eof():
            response.force_close()
    return response


def _coded(exc):
    if isinstance(exc, web.HTTPRequestEntityTooLarge | http_exceptions.LineTooLong):
        detail = f"request exceeds a limit: {type(exc).__name__}"
        return MagnoliagradeError(ErrorKind.TOO_LARGE, detail)
    if isinstance(exc, web.HTTPNotFound):
        return MagnoliagradeError(ErrorKind.NO_ROUTE, "the path does not exist")
    # What the parser says of a message would quote headers, and keys with them.
    detail = f"the message is not valid HTTP: {type(exc).__name__}"
    return MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail)


class _ListenerServer(web.Server):
    def __init__(self, handler, *, limits, is_internal):
        super().__init__(
            handler,
            request_factory=self._make_limited_request,
            handler_cancellation=True,
        )
        self.limits = limits
        self.is_internal = is_internal

    def __call__(self):
        return _ListenerConnection(self, loop=asyncio.get_running_loop())

    def _make_limited_request(self, message, payload, protocol, writer, task):
        return web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            asyncio.get_running_loop(),
            client_max_size=self.limits.body_bytes,
        )


class _ListenerConnection(web.RequestHandler):
    __slots__ = ("_header_timer", "_server")

    def __init__(self, server, *, loop):
        limits = server.limits
        super().__init__(
            server,
            loop=loop,
            access_log=None,
            keepalive_timeout=limits.idle_timeout_s,
            max_line_size=limits.header_bytes,
            max_field_size=limits.header_bytes,
            lingering_time=LINGERING_S,
            auto_decompress=False,
        )
        self._server = server
        self._header_timer = None

    def data_received(self, data):
        super().data_received(data)
        if self._header_timer is not None and not self._is_idle():
            self._header_timer.cancel()
            self._header_timer = None
        elif self._header_timer is None and self._is_idle():
            timeout_s = self._server.limits.header_timeout_s
            self._header_timer = self._loop.call_later(timeout_s, self._end_slow)

    def connection_lost(self, exc):
        if self._header_timer is not None:
            self._header_timer.cancel()
        super().connection_lost(exc)

    def handle_error(self, request, status=500, exc=None, message=None):
        if status >= 500:
            detail = type(exc).__name__ if exc else "a timeout was not handled"
            error = MagnoliagradeError(ErrorKind.INTERNAL, detail)
            _log.error("request.failed", exc_info=exc)
        else:
            error = _coded(exc)
        request_id = new_request_id()
        log_rejection(_log, error, request_id=request_id)
        if request.writer.output_size > 0:
            raise ConnectionError("the answer had begun; the connection is cut")
        response = error_response(
            error, request_id=request_id, is_internal=self._server.is_internal
        )
        response.force_close()
        return response

    def _is_idle(self):
        if self._waiter is None:
            # The task of a new connection may not have run yet.
            return self._request_count == 0
        return not self._waiter.done()

    def _end_slow(self):
        self._header_timer = None
        if self._waiter is None or self._waiter.done():
            return
        timeout_s = self._server.limits.header_timeout_s
        exc = _SlowHeaders(f"headers were not sent within {timeout_s} s")
        info = _ErrInfo(status=400, exc=exc, message=str(exc))
        self._messages.append((info, EMPTY_PAYLOAD))
        self._waiter.set_result(None)


class _SlowHeaders(Exception):
    """The headers of a request did not come in time."""
