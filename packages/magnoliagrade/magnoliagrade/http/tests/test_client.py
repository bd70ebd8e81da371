"""send_once against a server that closes keep-alive connections or redirects.

Both make aiohttp resend a request by itself, so that it could run twice.
"""

import asyncio

import aiohttp

from magnoliagrade.http import send_once

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
REDIRECT = b"HTTP/1.1 307 Go\r\nLocation: /there\r\nContent-Length: 0\r\n\r\n"


async def _serve(responses):
    """Serve responses in turn; None closes the connection without a response."""
    seen = []

    async def on_connection(reader, writer):
        while line := await reader.readline():
            if line != b"\r\n":
                continue
            seen.append(line)
            response = (
                responses[len(seen) - 1] if len(seen) <= len(responses) else RESPONSE
            )
            if response is None:
                break
            writer.write(response)
        writer.close()

    server = await asyncio.start_server(on_connection, "127.0.0.1", 0)
    return server, server.sockets[0].getsockname()[1], seen


async def _put_twice(send):
    server, port, seen = await _serve([RESPONSE, None])
    async with server, aiohttp.ClientSession() as session:
        url = f"http://127.0.0.1:{port}/order"
        async with await send(session, url) as response:
            await response.read()
        try:
            async with await send(session, url) as response:
                await response.read()
        except aiohttp.ServerDisconnectedError:
            pass
    return len(seen)


def test_aiohttp_resends_on_a_closed_keep_alive_connection_and_send_once_does_not():
    async def by_aiohttp(session, url):
        return await session.put(url)

    async def by_send_once(session, url):
        return await send_once(session, "PUT", url, data=None, headers={})

    assert asyncio.run(_put_twice(by_aiohttp)) == 3
    assert asyncio.run(_put_twice(by_send_once)) == 2


def test_redirect_is_returned_as_the_response():
    async def post():
        server, port, seen = await _serve([REDIRECT])
        async with server, aiohttp.ClientSession() as session:
            url = f"http://127.0.0.1:{port}/order"
            response = await send_once(session, "POST", url, data=None, headers={})
            async with response:
                return response.status, len(seen)

    assert asyncio.run(post()) == (307, 1)
