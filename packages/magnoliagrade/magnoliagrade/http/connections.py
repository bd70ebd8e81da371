"""Client connections that check responses as their bytes arrive."""

import functools
import socket

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError
from prometheus_client import Counter

from magnoliagrade.http.response_heads import InvalidResponse, ResponseHeads

__all__ = ["CheckedResponseHandler", "ResponseConnector"]

# Limit on the bytes in a row that add nothing to a body (sizes and extensions of
# chunks, trailers): more than one read of a connection, which may be paused within it.
FRAMING_LIMIT_BYTES = 1024 * 1024

INVALID_RESPONSES = Counter(
    "magnoliagrade_invalid_responses_total",
    "Connections that were closed because what the server sent was not a response",
)


class CheckedResponseHandler(ResponseHandler):
    """Protocol of a client connection that closes it if a response is none.

    Notes
    -----
    The checks run where the bytes arrive: a server that sends heads without end would
    otherwise keep the event loop from running the time limit of the request.
    """

    def __init__(self, loop):
        super().__init__(loop)
        self._framing_bytes = 0
        self._heads = None

    def set_response_params(self, **parameters):
        """Prepare for the response to the next request on the connection."""
        self._framing_bytes = 0
        self._heads = ResponseHeads()
        super().set_response_params(**parameters)

    def data_received(self, data):
        """Pass on the bytes of a response once its head has been checked."""
        if self._heads is None or not data:
            self._receive_body(data)
            return
        # Bytes of an incomplete head count as progress, too.
        self.start_timeout()
        try:
            data = self._heads.feed(data)
        except InvalidResponse as exc:
            self._reject(exc)
            return
        if data:
            self._heads = None
            super().data_received(data)

    def _receive_body(self, data):
        payload = self._payload
        if payload is None:
            super().data_received(data)
            return
        size = payload.total_bytes
        super().data_received(data)
        if payload.is_eof() or payload.total_bytes > size:
            self._framing_bytes = 0
            return
        self._framing_bytes += len(data)
        if self._framing_bytes > FRAMING_LIMIT_BYTES:
            self._reject(
                InvalidResponse(
                    f"more than {FRAMING_LIMIT_BYTES} bytes in a row of the body's "
                    "framing"
                )
            )

    def _reject(self, exc):
        INVALID_RESPONSES.inc()
        if self.transport is not None:
            self.transport.abort()
        if self._payload is not None:
            self._payload.set_exception(aiohttp.ClientPayloadError(str(exc)))
        self.set_exception(HttpProcessingError(message=str(exc)), exc)


class ResponseConnector(aiohttp.TCPConnector):
    """Connector of aiohttp whose connections check the heads of responses.

    Parameters
    ----------
    handler_class : type
        Subclass of `CheckedResponseHandler`.
    source_address : str
        Local address to connect from; if empty, the system chooses it.
    receive_buffer_bytes : int
        What the system keeps of a response that is not read; 0 for its own choice.
    **options
        Further parameters of `aiohttp.TCPConnector`.
    """

    def __init__(
        self,
        *,
        handler_class=CheckedResponseHandler,
        source_address="",
        receive_buffer_bytes=0,
        **options,
    ):
        super().__init__(
            limit=0,
            local_addr=(source_address, 0) if source_address else None,
            socket_factory=functools.partial(_open_socket, receive_buffer_bytes),
            **options,
        )
        self._factory = functools.partial(handler_class, loop=self._loop)


def _open_socket(receive_buffer_bytes, address_info):
    family, kind, protocol, *_ = address_info
    opened = socket.socket(family, kind, protocol)
    if receive_buffer_bytes:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
    return opened
