"""A model server in trouble: it sends bytes that are no answer until it is left.

Arguments: host, port, what it sends (`heads` or `body`), and bytes per second for
each connection of another machine (0 for as fast as the caller reads). Callers on the
server's own machine read as fast as they can.
"""

import asyncio
import contextlib
import sys

HEADS = b"HTTP/1.1 100 Continue\r\n\r\n" * 4000
BODY = b"x" * 65536
HEAD_OF_BODY = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"


async def main():
    """Serve until killed."""
    host, port, what, rate = sys.argv[1:]
    rate = float(rate)

    async def serve(reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, RuntimeError):
            await reader.readuntil(b"\r\n\r\n")
            if what == "body":
                writer.write(HEAD_OF_BODY)
            is_local = writer.get_extra_info("peername")[0] == host
            block = HEADS if what == "heads" else BODY
            while True:
                writer.write(block)
                await writer.drain()
                if rate and not is_local:
                    await asyncio.sleep(len(block) / rate)
        writer.close()

    server = await asyncio.start_server(serve, host, int(port))
    print("listening", flush=True)
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
