"""Servers whose response has a head that is none: no line or byte of it is passed on.

They guard against a status such as 000 that reaches a caller, and against header fields
with a blank or a control byte in their name.
"""

import asyncio
from unittest import mock

import aiohttp
from aiohttp import client_proto, http_parser
from magnoliagrade.errors import MagnoliagradeError
from magnoliagrade.http import ResponseConnector
from magnoliagrade.platform import PlatformStore, RankServer
from magnoliagrade.platform.ranks import OrderOutcome
from magnoliagrade.store import HttpStore
from magnoliagrade_standins.harness import Site, SitePlan, call_service
from magnoliagrade_standins.operators import (
    OperatorsSite,
    configuration_document,
    route_document,
)
from magnoliagrade_standins.raw_server import RawServer

TEST_LIMIT_S = 120
BODY = b"0123456789"
KINDS = ("safe", "unsafe", "streaming")
STATUSES = ("000", "001", "007", "099", "101", "600", "700", "999", "20", "2000", "2x0")
FIELDS = (
    b"X Odd: 1",
    b"X-Odd : 1",
    b"X-\x02Odd: 1",
    b"X-Odd\t: 1",
    b" X-Odd: 1",
    b"X-Odd: a\x02b",
    b"X-Odd: a\x7fb",
    b"X-Odd: \xe9",
    b"Content-Length: 20",
    b"Content-Length: 5",
    b"Transfer-Encoding: odd",
)
PARSERS = (http_parser.HttpResponseParser, http_parser.HttpResponseParserPy)


def test_direct_entry_passes_on_no_response_with_an_odd_status():
    for parser in PARSERS:
        for kind in KINDS:
            heads = [_head(kind, status=status) for status in STATUSES]
            _assert_none_passed_on(parser, kind, heads)


def test_direct_entry_passes_on_no_response_with_an_odd_header_field():
    for parser in PARSERS:
        for kind in KINDS:
            heads = [_head(kind, field=field) for field in FIELDS]
            _assert_none_passed_on(parser, kind, heads)


def test_direct_entry_passes_on_the_response_after_an_interim_one():
    async def scenario(site, entry, server):
        interim = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
        server.respond = lambda headers: interim + _head("safe")(headers) + BODY
        status, headers, text = await site.call(
            entry, "GET", "/x/1", headers={"X-Magnoliagrade-Request-Id": "r-1"}
        )
        assert (status, text) == (200, BODY.decode())
        assert "Link" not in headers

    for parser in PARSERS:
        _run_direct(parser, "safe", scenario)


def test_agent_and_forwarding_entry_pass_on_no_response_with_an_odd_head():
    async def scenario():
        def respond(headers):
            return _service_head(headers, **server.odd) + BODY

        async with RawServer(respond=respond) as server:
            url = {"url": f"http://{await server.listen()}"}
            plan = SitePlan(
                entries_by_data_centre={"kamloops": 1, "kelowna": 1},
                services_by_data_centre={"kamloops": 1},
                agent_settings_by_name={"kamloops-service-0": {"endpoint": url}},
            )
            odd_heads = [{"status": status} for status in STATUSES]
            odd_heads += [{"field": field} for field in FIELDS]
            async with Site(plan=plan) as site:
                for odd in odd_heads:
                    server.odd = odd
                    for number, entry in enumerate(site.entry_by_name):
                        outcome = await call_service(
                            site, entry, path=f"/orders/{number}", method="POST"
                        )
                        assert outcome.status in (502, 504), (odd, outcome)
                assert len(server.requests) >= 2 * len(odd_heads)

    _run(scenario())


def test_odd_heads_of_a_store_or_model_server_are_taken_for_no_response():
    async def scenario():
        async with (
            RawServer(respond=lambda _headers: b"") as server,
            aiohttp.ClientSession(connector=ResponseConnector()) as session,
        ):
            address = await server.listen()
            platform = PlatformStore(address=address, session=session)
            store = HttpStore(url=f"http://{address}", session=session)
            rank = RankServer(address=address, session=session, timeout_s=5.0)
            calls = (
                lambda: platform.get("k", purpose="test"),
                lambda: platform.put("k", b"", expected_revision=0, purpose="test"),
                lambda: store.get("k", purpose="test"),
                lambda: store.put("k", b"", expected_revision=0, purpose="test"),
                rank.status,
            )
            heads = [_head("safe", status=status) for status in STATUSES]
            heads += [_head("safe", field=field) for field in FIELDS]
            for head in heads:
                server.respond = lambda headers, head=head: head(headers) + b"{}"
                outcome = await rank.order("hold", epoch=1)
                assert outcome is OrderOutcome.UNKNOWN, head({})
                for call in calls:
                    try:
                        answer = await call()
                    except MagnoliagradeError:
                        continue
                    raise AssertionError((head({}), answer))

    _run(scenario())


def test_order_is_refused_only_by_a_status_that_says_so():
    async def scenario():
        async with (
            RawServer(respond=lambda _headers: b"") as server,
            aiohttp.ClientSession(connector=ResponseConnector()) as session,
        ):
            rank = RankServer(
                address=await server.listen(), session=session, timeout_s=5.0
            )
            outcomes = {}
            for status in ("200", "202", "204", "304", "409", "500", "599"):
                lines = [f"HTTP/1.1 {status} x", "Content-Length: 0"]
                head = "\r\n".join([*lines, "Connection: close", "", ""]).encode()
                server.respond = lambda _headers, head=head: head
                outcomes[status] = (await rank.order("hold", epoch=1)).value
            assert outcomes == {
                "200": "done",
                "202": "begun",
                "204": "unknown",
                "304": "unknown",
                "409": "refused",
                "500": "unknown",
                "599": "unknown",
            }

    _run(scenario())


def _head(kind, *, status="200", field=b"X-Even: 1"):
    """Return a function that makes a head for the headers of a request."""
    media_type = "text/event-stream" if kind == "streaming" else "application/json"

    def make(headers):
        lines = [
            f"HTTP/1.1 {status} OK",
            f"X-Magnoliagrade-Request-Id: {headers.get('x-magnoliagrade-request-id')}",
            "X-Magnoliagrade-Response-Stamp: stamp",
            f"Content-Type: {media_type}",
        ]
        if not field.startswith(b"Transfer"):
            lines.append(f"Content-Length: {len(BODY)}")
        return "\r\n".join([*lines, ""]).encode() + field + b"\r\n\r\n"

    return make


def _service_head(headers, *, status="200", field=b"X-Even: 1"):
    lines = [
        f"HTTP/1.1 {status} OK",
        f"X-Request-Id: {headers.get('x-request-id', '')}",
        f"X-Attempt-Id: {headers.get('x-attempt-id', '')}",
        f"Content-Length: {len(BODY)}",
    ]
    return "\r\n".join([*lines, ""]).encode() + field + b"\r\n\r\n"


def _assert_none_passed_on(parser, kind, heads):
    async def scenario(site, entry, server):
        for number, head in enumerate(heads):
            server.respond = lambda headers, head=head: head(headers) + BODY
            status, headers, text = await site.call(
                entry,
                "POST",
                f"/x/{number}",
                data=f"order {number}".encode(),
                headers={"X-Magnoliagrade-Request-Id": f"r-{number}"},
            )
            seen = (parser.__module__, kind, head({}), status, text)
            assert status in (502, 504), seen
            assert "X-Odd" not in headers, seen
            assert BODY[:5].decode() not in text, seen
        assert len(server.requests) >= len(heads)

    _run_direct(parser, kind, scenario)


def _run_direct(parser, kind, scenario):
    async def run():
        async with (
            RawServer(respond=lambda _headers: b"") as server,
            OperatorsSite() as site,
        ):
            # An endpoint that fails gets no request for some time.
            for number in range(2 * len(STATUSES + FIELDS)):
                site.register(f"i-{number}", "plain", await server.listen())
            route = route_document("/x/", "plain", kind=kind, MaxAttempts=1)
            site.configure(configuration_document(1, [route]))
            await scenario(site, await site.add_entry(), server)

    with mock.patch.object(client_proto, "HttpResponseParser", parser):
        _run(run())


def _run(coroutine):
    async def run():
        async with asyncio.timeout(TEST_LIMIT_S):
            await coroutine

    asyncio.run(run())
