"""HTTP server that responds with prepared bytes, whether they are a response or not."""

import asyncio
import contextlib

__all__ = ["RawServer"]

# Bytes of a block of a response without end.
BLOCK_BYTES = 65536


class RawServer:
    """Server that sends the same bytes on each connection; an asynchronous context.

    Parameters
    ----------
    respond : callable
        Returns the bytes to send for the headers of a request (a dict by name in lower
        case).
    endless : bytes
        Sent after them again and again until the connection is closed; empty to close
        it at once.

    Attributes
    ----------
    requests : list of str
        Targets of the requests received.
    bytes_without_end : int
        Bytes that it has sent of `endless`.
    """

    def __init__(self, *, respond, endless=b""):
        self.respond = respond
        self.endless = endless
        self.requests = []
        self.bytes_without_end = 0
        self._servers = []
        self._writers = set()

    async def __aenter__(self):
        """Return the server, which listens on no address yet."""
        return self

    async def __aexit__(self, *_exc):
        """Stop the server."""
        for server in self._servers:
            server.close()
        for writer in self._writers:
            writer.transport.abort()
        # Lets the tasks of the connections end.
        await asyncio.sleep(0)

    async def listen(self):
        """Listen on one more address and return it."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._servers.append(server)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            line, *lines = head.split("\r\n")
            headers = {
                name.lower(): value.strip()
                for name, _, value in (text.partition(":") for text in lines)
            }
            await reader.readexactly(int(headers.get("content-length", 0)))
            self.requests.append(line.split()[1])
            writer.write(self.respond(headers))
            await writer.drain()
            await self._send_without_end(writer)
        writer.close()
        self._writers.discard(writer)

    async def _send_without_end(self, writer):
        if not self.endless:
            return
        block = self.endless * (1 + BLOCK_BYTES // len(self.endless))
        while not writer.is_closing():
            writer.write(block)
            await writer.drain()
            self.bytes_without_end += len(block)
            # A full turn of the loop, in which the other side can close the connection.
            await asyncio.sleep(0)
