"""Servers that send without end what is no answer: readers leave them in time.

They guard against a process that keeps all bytes of a faulty server and runs out of
memory, with the requests of all its other callers.
"""

import asyncio
from unittest import mock

import aiohttp
from aiohttp import client_proto, http_parser
from magnoliagrade.errors import MagnoliagradeError
from magnoliagrade.http import ResponseConnector
from magnoliagrade.platform import PlatformStore, RankServer
from magnoliagrade.platform.ranks import OrderOutcome
from magnoliagrade.store import HttpInstanceList, HttpStore
from magnoliagrade_agent.engine import EngineClient
from magnoliagrade_agent.group.rank_client import RankClient
from magnoliagrade_standins.operators import (
    OperatorsSite,
    configuration_document,
    route_document,
)
from magnoliagrade_standins.raw_server import RawServer

TEST_LIMIT_S = 120
# What a reader of short documents may receive, buffers of the system included: a
# fraction of an agent's memory (168 MB).
MAX_BYTES = 32_000_000
# What a reader of heads may receive: the limit on heads, and buffers of the system.
MAX_HEAD_BYTES = 8_000_000
# What a reader of a store's listings may receive.
MAX_LISTING_BYTES = 128_000_000
INTERIM_HEAD = b"HTTP/1.1 100 Continue\r\n\r\n"
OK = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
PARSERS = (http_parser.HttpResponseParser, http_parser.HttpResponseParserPy)
# Start of the response and what follows it without end, by place in the response.
ENDLESS_BY_PLACE = {
    "interim heads": (b"", INTERIM_HEAD),
    "status line": (b"HTTP/1.1 200 O", b"K"),
    "blank lines": (b"", b"\r\n"),
    "header lines": (OK, b"X-A: 1\r\n"),
    "one header line": (OK + b"X-A: ", b"x"),
    "body": (OK + b"\r\n", b"x"),
    "chunks": (CHUNKED, b"3e8\r\n" + 1000 * b"x" + b"\r\n"),
    "one chunk": (CHUNKED + b"ffffffffff\r\n", b"x"),
    "chunk size": (CHUNKED, b"0"),
    "chunk extension": (CHUNKED + b"1;", b"x"),
    "trailers": (CHUNKED + b"0\r\n", b"X-A: 1\r\n"),
}


def test_status_reports_and_orders_without_end_are_left():
    async def scenario(server, session):
        rank = RankServer(
            address=await server.listen(), session=session, timeout_s=20.0
        )
        calls = (rank.status, rank.counts, rank.experts)
        for place in ENDLESS_BY_PLACE:
            for call in calls:
                await _assert_left(server, place, call)
        outcome = await rank.order("hold", epoch=1)
        assert outcome is OrderOutcome.UNKNOWN

    for parser in PARSERS:
        _run(parser, scenario)


def test_responses_of_engines_and_ranks_without_end_are_left():
    async def scenario(server, session):
        url = f"http://{await server.listen()}"
        engine = EngineClient(url=url, session=session, single_use_session=session)
        rank = RankClient(url=url, session=session, fence=lambda: 1)
        instances = HttpInstanceList(url=url, session=session)
        for place in ENDLESS_BY_PLACE:
            for call in (engine.load_report, rank.counts, instances.fetch):
                await _assert_left(server, place, call)

    _run(PARSERS[0], scenario)


def test_responses_of_a_store_without_end_are_left():
    async def scenario(server, session):
        address = await server.listen()
        platform = PlatformStore(address=address, session=session)
        store = HttpStore(url=f"http://{address}", session=session)
        for place in ENDLESS_BY_PLACE:
            for client in (platform, store):

                async def call(client=client):
                    await client.get("k", purpose="test")

                await _assert_left(server, place, call, max_bytes=MAX_LISTING_BYTES)

    _run(PARSERS[0], scenario)


def test_direct_entry_leaves_interim_heads_and_serves_the_other_callers():
    async def scenario(server, _session):
        server.respond, server.endless = lambda _headers: b"", INTERIM_HEAD
        async with OperatorsSite() as site:
            for number in range(2):
                site.register(f"i-{number}", "odd", await server.listen())
            await site.add_endpoint("sound", "sound")
            routes = [
                route_document("/order/", "odd", kind="unsafe"),
                route_document("/look/", "sound"),
            ]
            site.configure(configuration_document(1, routes))
            entry = await site.add_entry()
            calls = [
                site.call(entry, "POST", f"/order/{n}", deadline_ms=20_000)
                for n in range(2)
            ]
            calls += [site.call(entry, "GET", f"/look/{n}") for n in range(8)]
            answers = await asyncio.gather(*calls)
            statuses = [status for status, _, _ in answers]
            assert all(status in (502, 504) for status in statuses[:2]), statuses
            assert statuses[2:] == [200] * 8, statuses
            assert server.bytes_without_end < MAX_HEAD_BYTES, server.bytes_without_end

    for parser in PARSERS:
        _run(parser, scenario)


async def _assert_left(server, place, call, *, max_bytes=MAX_BYTES):
    """Assert that a call fails and its connection is closed before too many bytes."""
    start, server.endless = ENDLESS_BY_PLACE[place]
    server.respond = lambda _headers: start
    server.bytes_without_end = 0
    try:
        answer = await call()
    except MagnoliagradeError:
        assert server.bytes_without_end < max_bytes, (place, server.bytes_without_end)
        return
    raise AssertionError((place, answer))


def _run(parser, scenario):
    async def run():
        async with (
            asyncio.timeout(TEST_LIMIT_S),
            RawServer(respond=lambda _headers: b"") as server,
            aiohttp.ClientSession(connector=ResponseConnector()) as session,
        ):
            await scenario(server, session)

    with mock.patch.object(client_proto, "HttpResponseParser", parser):
        asyncio.run(run())
