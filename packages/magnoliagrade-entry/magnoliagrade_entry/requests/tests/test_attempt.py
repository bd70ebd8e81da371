"""A stream has begun and broke off, and the next endpoint responds with an error."""

import asyncio
from types import SimpleNamespace

import aiohttp
from aiohttp import web
from magnoliagrade.clock import SystemClock
from magnoliagrade.http import ResponseMemory, ResponseSink
from magnoliagrade.http import headers as names
from magnoliagrade.world import Request

from magnoliagrade_entry.requests.attempt import AttemptFailed, run_attempt

EVENTS = "text/event-stream"
FIRST = b"data: first\n\n"


def test_error_of_the_next_endpoint_does_not_reach_the_caller_of_a_stream():
    # A whole error response, an error as events, and text instead of events.
    for first in (FIRST, b""):
        for status, media_type in (
            (500, "text/plain"),
            (500, EVENTS),
            (200, "text/plain"),
        ):
            body = asyncio.run(_call(first, status, media_type, b"data: failure\n\n"))
            assert body == first, (first, status, media_type, body)


def test_next_endpoint_goes_on_with_a_stream():
    body = asyncio.run(_call(FIRST, 200, EVENTS, b"data: last\n\ndata: [DONE]\n\n"))
    assert body == FIRST + b"data: last\n\ndata: [DONE]\n\n"


def test_event_without_end_is_left_if_responses_take_too_much_memory():
    async def serve(http_request):
        response = web.StreamResponse(headers=_headers(http_request, EVENTS))
        await response.prepare(http_request)
        for _ in range(1000):
            await response.write(b"x" * 1000)
        return response

    async def scenario():
        memory = ResponseMemory(limit_bytes=100_000)
        async with _Server(serve) as address:
            try:
                await _attempt(address, _Sink(), memory=memory)
            except AttemptFailed as exc:
                assert "to free memory" in exc.detail, exc.detail
                assert memory.held_bytes == 0
                return
        raise AssertionError("the event was read to its end")

    asyncio.run(scenario())


async def _call(first, status, media_type, body):
    """Return what a caller gets of a stream that a second endpoint goes on with."""

    async def begin(http_request):
        response = web.StreamResponse(headers=_headers(http_request, EVENTS))
        await response.prepare(http_request)
        if first:
            await response.write(first)
        await asyncio.sleep(0.02)
        http_request.transport.abort()
        return response

    async def go_on(http_request):
        headers = _headers(http_request, media_type)
        return web.Response(status=status, body=body, headers=headers)

    async def serve(http_request):
        sink = ResponseSink(http_request=http_request)
        for handler in (begin, go_on):
            async with _Server(handler) as address:
                try:
                    await _attempt(address, sink)
                    return sink.response
                except AttemptFailed:
                    continue
        sink.abort()
        return sink.response

    async with _Server(serve) as address, aiohttp.ClientSession() as session:
        received = b""
        try:
            async with session.get(f"http://{address}/") as response:
                assert response.status == 200
                async for data in response.content.iter_any():
                    received += data
        except aiohttp.ClientError:
            return received
        assert received.endswith(b"[DONE]\n\n"), f"looks complete: {received}"
        return received


async def _attempt(address, sink, *, memory=None):
    clock = SystemClock()
    request = Request(
        id="r-1",
        organisation="o",
        application="a",
        method="GET",
        path="/",
        header_by_name={},
        body=b"",
        labels={},
        repeatable=True,
        streaming=True,
        deadline=clock.monotonic() + 5.0,
    )
    async with aiohttp.ClientSession() as session:
        await run_attempt(
            node=SimpleNamespace(
                clock=clock,
                identity=SimpleNamespace(instance="entry-0", data_centre="dc-0"),
                session=session,
                response_memory=memory or ResponseMemory(limit_bytes=2**24),
            ),
            request=request,
            placement=SimpleNamespace(
                name="agent-0",
                reason="",
                incarnation=1,
                peer="",
                data_address=address,
            ),
            attempt="a-1",
            sink=sink,
        )


def _headers(http_request, media_type):
    attempt = http_request.headers[names.ATTEMPT]
    return {names.ATTEMPT: attempt, names.RAN: "yes", "Content-Type": media_type}


class _Sink:
    """Sink of a response of which nothing is written."""

    has_started = False
    tokens_written = 0
    bytes_written = 0

    async def start(self, _status, _headers):
        pass


class _Server:
    """Serves a handler on a port of its own; the context's value is the address."""

    def __init__(self, handler):
        self._runner = web.ServerRunner(web.Server(handler), shutdown_timeout=0.1)

    async def __aenter__(self):
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        return "{}:{}".format(*self._runner.addresses[0][:2])

    async def __aexit__(self, *_exc):
        await self._runner.cleanup()
