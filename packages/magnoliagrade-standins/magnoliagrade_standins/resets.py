"""Ending connections with a reset, which an ordinary close does not send."""

import socket
import struct

__all__ = ["reset_connection"]

# On, and zero seconds: the kernel drops what was not sent and resets the connection.
_LINGER_NONE = struct.pack("ii", 1, 0)


def reset_connection(transport):
    """Reset the connection of an asyncio transport.

    Parameters
    ----------
    transport : asyncio.Transport
        The transport; nothing happens if it has been closed.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
    transport.abort()
