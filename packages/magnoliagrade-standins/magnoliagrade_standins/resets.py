"""Closing of connections with a TCP reset, which an ordinary close does not send."""

import socket
import struct

__all__ = ["reset_connection"]

# `struct linger`: enabled, with a timeout of 0 s. On close, the kernel discards unsent
# data and resets the connection.
_LINGER_RESET = struct.pack("ii", 1, 0)


def reset_connection(transport):
    """Reset the TCP connection of an asyncio transport.

    Parameters
    ----------
    transport : asyncio.Transport
        Transport to abort; no reset is sent if its socket has been closed.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
    transport.abort()
