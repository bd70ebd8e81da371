"""Servers whose response does not end: an entry closes the connection in time."""

import asyncio

import aiohttp
from magnoliagrade_standins.operators import (
    OperatorsSite,
    configuration_document,
    route_document,
)

ROUTES = [
    route_document("/look/", "plain"),
    route_document("/order/", "plain", kind="unsafe"),
    route_document("/stream/", "plain", kind="streaming"),
]
# Well above any response of a server, and a fraction of an entry's memory (200 MB).
MAX_BYTES = 40_000_000
TEST_LIMIT_S = 25


def test_entry_closes_the_connection_of_a_response_that_does_not_end():
    for fault in ("endless-head", "endless-body"):
        for path in ("/look/1", "/order/1", "/stream/1"):

            async def scenario(site, entry, fault=fault, path=path):
                endpoint = site.endpoint_by_id["plain-1"]
                endpoint.behaviour.fault = fault
                method = "GET" if path == "/look/1" else "POST"
                try:
                    status, _, _ = await site.call(
                        entry, method, path, deadline_ms=4000
                    )
                    assert status in (502, 504), (fault, path, status)
                except aiohttp.ClientError:
                    pass
                assert endpoint.bytes_without_end < MAX_BYTES, (fault, path)

            _run(scenario)


def _run(scenario):
    async def run_with_limit():
        async with asyncio.timeout(TEST_LIMIT_S), OperatorsSite() as site:
            site.configure(configuration_document(3, ROUTES))
            await site.add_endpoint("plain-1", "plain")
            await scenario(site, await site.add_entry())

    asyncio.run(run_with_limit())
