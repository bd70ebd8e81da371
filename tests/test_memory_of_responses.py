"""Memory that one process takes for the responses of all its connections together.

The tests guard against processes that exceed their memory although each response keeps
within its own limit, because servers in trouble respond to many requests at once.
"""

import asyncio
import contextlib
import pathlib
import re
import tempfile

import aiohttp
from magnoliagrade.errors import MagnoliagradeError
from magnoliagrade.http import ResponseConnector, ResponseMemory
from magnoliagrade.platform import RankServer
from magnoliagrade_standins.operators import (
    OperatorsSite,
    configuration_document,
    route_document,
)
from magnoliagrade_standins.raw_server import RawServer
from magnoliagrade_standins.soak.processes import EntryProcess

TEST_LIMIT_S = 60
# The smallest memory of a machine that an entry runs on.
MEMORY_MB = 160
REQUESTS_AT_ONCE = 100
ROUTES = [
    route_document("/look/", "odd"),
    route_document("/order/", "odd", kind="unsafe"),
    route_document("/stream/", "odd", kind="streaming"),
    route_document("/sound/", "sound"),
]
SOUND_BYTES = 22
LARGE_BODY = 7 * 1024 * 1024 * b"x"


def test_bodies_without_end_on_many_connections_keep_within_the_memory():
    for path in ("/look/", "/order/"):
        _assert_memory(path, b"", b"x" * 1000)


def test_chunks_without_end_on_many_connections_keep_within_the_memory():
    chunk = b"3e8\r\n" + 1000 * b"x" + b"\r\n"
    _assert_memory("/look/", b"Transfer-Encoding: chunked\r\n", chunk)


def test_events_without_end_on_many_connections_keep_within_the_memory():
    _assert_memory("/stream/", b"Content-Type: text/event-stream\r\n", b"x" * 1000)


def test_large_responses_to_callers_that_do_not_read_keep_within_the_memory():
    async def call(entry, number):
        reader, writer = await asyncio.open_connection(*_split(entry.caller_address))
        writer.transport.pause_reading()
        writer.write(_head("/look/", number) + b"\r\n")
        await asyncio.sleep(3)
        writer.transport.abort()

    async def scenario(server, entry):
        server.respond = lambda headers: _ok(headers, LARGE_BODY)
        await asyncio.gather(*(call(entry, n) for n in range(REQUESTS_AT_ONCE)))

    _run(scenario)


def test_connections_keep_no_response_that_their_caller_has_received():
    async def scenario(server, entry):
        server.respond = lambda headers: _ok(headers, LARGE_BODY)
        async with contextlib.AsyncExitStack() as stack:
            for number in range(REQUESTS_AT_ONCE // 2):
                session = await stack.enter_async_context(aiohttp.ClientSession())
                status, size = await _call(session, entry, "/look/", number)
                assert (status, size) == (200, len(LARGE_BODY)), (number, status, size)

    _run(scenario)


def test_counts_without_end_of_many_ranks_keep_within_the_memory():
    limit_bytes, ranks = 2_000_000, 30

    async def scenario():
        memory = ResponseMemory(limit_bytes=limit_bytes)
        held = []

        async def watch():
            while True:
                held.append(memory.held_bytes)
                await asyncio.sleep(0)

        async with (
            RawServer(respond=lambda _: b"HTTP/1.1 200 OK\r\n\r\n") as server,
            aiohttp.ClientSession(connector=ResponseConnector()) as session,
        ):
            server.endless = b"x" * 1000
            rank = RankServer(
                address=await server.listen(),
                session=session,
                timeout_s=20,
                memory=memory,
            )
            task = asyncio.create_task(watch())
            calls = (rank.counts() for _ in range(ranks))
            results = await asyncio.gather(*calls, return_exceptions=True)
            task.cancel()
        assert all(isinstance(r, MagnoliagradeError) for r in results), results
        assert max(held) <= limit_bytes + ranks * 65536, max(held)
        assert memory.held_bytes == 0

    asyncio.run(scenario())


def _assert_memory(path, fields, endless):
    """Assert that endless responses to one route leave the other one served."""

    async def scenario(server, entry):
        server.respond = lambda headers: _ok(headers, None, fields)
        server.endless = endless
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            calls = [
                asyncio.create_task(_call(session, entry, path, number))
                for number in range(REQUESTS_AT_ONCE)
            ]
            await asyncio.sleep(0.2)
            sound = [await _call(session, entry, "/sound/", n) for n in range(10)]
            assert all(status == 200 for status, _ in sound), sound
            statuses = [status for status, _ in await asyncio.gather(*calls)]
            assert 200 not in statuses, statuses

    _run(scenario)


async def _call(session, entry, path, number):
    """Return status and size of a response; the status is 0 if it is not complete."""
    method = "GET" if path in ("/look/", "/sound/") else "POST"
    headers = {
        "Host": "a.example",
        "Authorization": "Bearer key-1",
        "X-Magnoliagrade-Request-Id": f"{path}{number}",
        "X-Magnoliagrade-Deadline-Ms": "8000",
    }
    url = f"http://{entry.caller_address}{path}{number}"
    try:
        async with session.request(method, url, headers=headers) as response:
            size = 0
            async for part in response.content.iter_any():
                size += len(part)
            return response.status, size
    except aiohttp.ClientError:
        return 0, 0


def _ok(headers, body, fields=b""):
    """Return a response; without a body, its head."""
    lines = [b"HTTP/1.1 200 OK", b"X-Magnoliagrade-Response-Stamp: stamp"]
    request_id = headers.get("x-magnoliagrade-request-id", "").encode()
    lines.append(b"X-Magnoliagrade-Request-Id: " + request_id)
    if body is not None:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n" + fields + b"\r\n" + (body or b"")


def _head(path, number):
    return (
        f"GET {path}{number} HTTP/1.1\r\nHost: a.example\r\n"
        "Authorization: Bearer key-1\r\nX-Magnoliagrade-Deadline-Ms: 8000\r\n"
        f"X-Magnoliagrade-Request-Id: {path}{number}\r\n"
    ).encode()


def _split(address):
    host, _, port = address.rpartition(":")
    return host, int(port)


def _peak_mb(process):
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) / 1024


def _run(scenario):
    async def run():
        async with (
            asyncio.timeout(TEST_LIMIT_S),
            OperatorsSite() as site,
            RawServer(respond=lambda _headers: b"") as server,
        ):
            for number in range(4):
                site.register(f"odd-{number}", "odd", await server.listen(), slots=32)
            await site.add_endpoint("sound", "sound")
            site.configure(configuration_document(1, ROUTES))
            with tempfile.TemporaryDirectory() as folder:
                entry = EntryProcess(
                    number=0,
                    folder=folder,
                    store_address=site.store_address,
                    revoke_ms=5000,
                )
                await entry.start()
                try:
                    await _await_ready(entry)
                    await scenario(server, entry)
                    peak_mb = _peak_mb(entry.process)
                    assert peak_mb < MEMORY_MB, f"{peak_mb:.0f} MB"
                finally:
                    await entry.end()

    asyncio.run(run())


async def _await_ready(entry):
    async with aiohttp.ClientSession() as session:
        while await _call(session, entry, "/sound/", 0) != (200, SOUND_BYTES):
            await asyncio.sleep(0.05)
