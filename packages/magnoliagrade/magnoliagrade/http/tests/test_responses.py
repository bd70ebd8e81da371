"""Sending of complete responses to clients that read slowly or not at all."""

import asyncio
import hashlib

import aiohttp
from aiohttp import web

from magnoliagrade.http import ListenerLimits, send_response, start_listener

BODY = bytes(range(256)) * 32 * 1024


def test_long_body_arrives_unchanged_and_is_dropped_afterwards():
    responses = []

    async def handle(http_request):
        responses.append(web.Response(body=BODY, headers={"X-Request-Id": "r"}))
        await send_response(http_request, responses[0])
        return responses[0]

    async def check(address):
        async with aiohttp.ClientSession() as session:
            for method, size in (("GET", len(BODY)), ("HEAD", 0)):
                responses.clear()
                async with session.request(method, f"http://{address}/") as response:
                    body = await response.read()
                assert response.headers["Content-Length"] == str(len(BODY))
                assert response.headers["X-Request-Id"] == "r"
                assert len(body) == size, method
                expected = hashlib.sha256(BODY[:size]).digest()
                assert hashlib.sha256(body).digest() == expected
                assert responses[0].body is None

    _run(handle, check)


def test_connection_whose_client_takes_no_data_is_aborted():
    ended = asyncio.Event()

    async def handle(http_request):
        response = web.Response(body=BODY)
        await send_response(http_request, response, stall_timeout_s=0.1)
        ended.set()
        return response

    async def check(address):
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.transport.pause_reading()
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        async with asyncio.timeout(20):
            await ended.wait()
        writer.transport.resume_reading()
        try:
            received = len(await reader.read())
        except ConnectionError:
            received = 0
        assert received < len(BODY)
        writer.close()

    _run(handle, check)


def _run(handle, check):
    async def run():
        runner, address = await start_listener(
            handle, "127.0.0.1:0", limits=ListenerLimits()
        )
        try:
            await check(address)
        finally:
            await runner.cleanup()

    asyncio.run(run())
