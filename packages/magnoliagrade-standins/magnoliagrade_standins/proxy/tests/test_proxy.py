import asyncio
import contextlib

from magnoliagrade.clock import SystemClock

from magnoliagrade_standins.proxy import FaultProxy, Flow, Rule


async def _echo(reader, writer):
    with contextlib.suppress(asyncio.CancelledError):
        while data := await reader.read(100):
            writer.write(data)
            await writer.drain()
    writer.close()


async def _with_proxy(check):
    server = await asyncio.start_server(_echo, "127.0.0.1", 0)
    proxy = FaultProxy(clock=SystemClock())
    address = await proxy.open("echo")
    proxy.set_address("echo", f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
    reader, writer = await asyncio.open_connection(*address.split(":"))
    try:
        await check(proxy, reader, writer)
    finally:
        writer.close()
        proxy.close()
        server.close()


def test_bytes_are_forwarded_in_both_directions():
    async def check(_proxy, reader, writer):
        writer.write(b"hello")
        assert await reader.readexactly(5) == b"hello"

    asyncio.run(_with_proxy(check))


def test_cut_resets_only_open_connections_of_matching_sources():
    async def check(proxy, reader, writer):
        writer.write(b"x")
        await reader.readexactly(1)
        proxy.set_rules([Rule(source="127.9.", flow=Flow.CUT)])
        writer.write(b"y")
        assert await reader.readexactly(1) == b"y"
        proxy.set_rules([Rule(source="127.0.", target="echo", flow=Flow.CUT)])
        try:
            ended = await reader.read(1) == b""
        except ConnectionError:
            ended = True
        assert ended

    asyncio.run(_with_proxy(check))


def test_connection_is_reset_after_the_byte_limit():
    async def check(proxy, reader, writer):
        proxy.set_rules([Rule(cut_after_bytes=3)])
        writer.write(b"hello")
        received = b""
        try:
            while data := await reader.read(10):
                received += data
        except ConnectionError:
            pass
        assert received in (b"", b"hel")

    asyncio.run(_with_proxy(check))
