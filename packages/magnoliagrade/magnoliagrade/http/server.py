"""HTTP server of the listeners, whose errors are reported as in the error table."""

import asyncio
import functools
import logging
from dataclasses import dataclass

from aiohttp import http_exceptions, web
from aiohttp.web_protocol import EMPTY_PAYLOAD, _ErrInfo

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.http.responses import error_response, send_response
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

# Longest time for which the rest of a request is read and dropped after the response.
LINGERING_TIME_S = 2.0
# Connections that the kernel holds until they are accepted. A socket that already
# listens (`early_start`) gets this backlog too, in place of its smaller one.
LISTEN_BACKLOG_CONNECTIONS = 1024
_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True, kw_only=True)
class ListenerLimits:
    """Limits of a listener on each of its connections.

    Parameters
    ----------
    header_bytes : int
        Largest size of the request line and of each header.
    body_bytes : int
        Largest body that a handler may read into memory.
    header_timeout_s : float
        Longest time from the first byte of a request to the end of its headers.
    idle_timeout_s : float
        Longest time that a connection is kept open without a request.
    """

    header_bytes: int = 64 * 1024
    body_bytes: int = 1024**3
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 600.0


async def start_listener(handle, address, *, limits, is_internal=False, listener=None):
    """Start an HTTP listener and return its runner and bound address.

    Parameters
    ----------
    handle : coroutine function
        Handler that takes an `aiohttp.web.BaseRequest` and returns a response.
    address : str
        `host:port` to listen on; port 0 chooses a free port.
    limits : ListenerLimits
        Limits on each connection.
    is_internal : bool
        Whether the clients are processes of this system.
    listener : socket.socket, optional
        Socket that is already listening on the address.

    Returns
    -------
    runner : aiohttp.web.ServerRunner
        Runner, to be cleaned up when the process stops.
    bound : str
        `host:port` that the listener is bound to.

    Notes
    -----
    Request bodies aren't decompressed: the header `Content-Encoding` that is forwarded
    to the back end would no longer match the body.
    """
    server = _ListenerServer(
        functools.partial(_respond, handle, is_internal=is_internal),
        limits=limits,
        is_internal=is_internal,
    )
    runner = web.ServerRunner(server)
    return runner, await listen(runner, address, listener=listener)


def change_limits(runner, limits):
    """Change the limits of a listener, including those of its open connections.

    Parameters
    ----------
    runner : aiohttp.web.ServerRunner
        Runner of the listener.
    limits : ListenerLimits
        New limits on each connection.
    """
    server = runner.server
    if server.limits == limits:
        return
    server.limits = limits
    for connection in server.connections:
        connection._keepalive_timeout = limits.idle_timeout_s


async def listen(runner, address, *, listener=None):
    """Start listening with a runner and return the bound address.

    Parameters
    ----------
    runner : aiohttp.web.BaseRunner
        Runner that hasn't been set up yet.
    address : str
        `host:port` to listen on; port 0 chooses a free port.
    listener : socket.socket, optional
        Socket that is already listening on the address.

    Returns
    -------
    bound : str
        `host:port` that the listener is bound to.
    """
    host, _, port = address.rpartition(":")
    await runner.setup()
    if listener is None:
        site = web.TCPSite(runner, host, int(port), backlog=LISTEN_BACKLOG_CONNECTIONS)
    else:
        site = web.SockSite(runner, listener, backlog=LISTEN_BACKLOG_CONNECTIONS)
    await site.start()
    bound_host, bound_port = runner.addresses[0][:2]
    return f"{bound_host}:{bound_port}"


def log_rejection(logger, error, *, request_id, **fields):
    """Log the event of a request that was rejected with an error.

    Parameters
    ----------
    logger : logging.Logger
        Logger of the calling module.
    error : MagnoliagradeError
        Error that the response reports.
    request_id : str
        Id of the request.
    **fields
        Further fields of the log line.
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
    """Respond to errors of an application's router with problem details."""
    try:
        return await handler(request)
    except web.HTTPException as exc:
        return error_response(_as_coded_error(exc), request_id=new_request_id())


async def _respond(handle, http_request, *, is_internal):
    try:
        response = await handle(http_request)
    except (web.HTTPException, web.RequestPayloadError) as exc:
        response = error_response(
            _as_coded_error(exc), request_id=new_request_id(), is_internal=is_internal
        )
    if not response.prepared:
        await send_response(http_request, response)
    return response


def _as_coded_error(exc):
    if isinstance(exc, web.HTTPRequestEntityTooLarge | http_exceptions.LineTooLong):
        detail = f"request exceeds a size limit: {type(exc).__name__}"
        return MagnoliagradeError(ErrorKind.TOO_LARGE, detail)
    if isinstance(exc, web.HTTPNotFound):
        return MagnoliagradeError(ErrorKind.NO_ROUTE, "no resource has this path")
    # The parser's own message may quote headers, and so API keys.
    detail = f"request is not valid HTTP: {type(exc).__name__}"
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
            lingering_time=LINGERING_TIME_S,
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
            self._header_timer = self._loop.call_later(
                timeout_s, self._reject_slow_headers
            )

    def connection_lost(self, exc):
        if self._header_timer is not None:
            self._header_timer.cancel()
        super().connection_lost(exc)

    def handle_error(self, request, status=500, exc=None, message=None):
        if status >= 500:
            detail = (
                f"request handler raised {type(exc).__name__}"
                if exc
                else "request handler raised a timeout error"
            )
            error = MagnoliagradeError(ErrorKind.INTERNAL, detail)
            _log.error("request.failed", exc_info=exc)
        else:
            error = _as_coded_error(exc)
        request_id = new_request_id()
        log_rejection(_log, error, request_id=request_id)
        if request.writer.output_size > 0:
            raise ConnectionError("response already started; connection is aborted")
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

    def _reject_slow_headers(self):
        self._header_timer = None
        if self._waiter is None or self._waiter.done():
            return
        timeout_s = self._server.limits.header_timeout_s
        exc = _HeaderTimeout(f"headers were not received within {timeout_s} s")
        info = _ErrInfo(status=400, exc=exc, message=str(exc))
        self._messages.append((info, EMPTY_PAYLOAD))
        self._waiter.set_result(None)


class _HeaderTimeout(Exception):
    """The headers of a request were not complete within the time limit."""
