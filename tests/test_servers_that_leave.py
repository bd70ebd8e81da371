"""Servers that say in their responses that they are about to leave."""

import asyncio

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
TEST_LIMIT_S = 25


def test_server_that_says_that_it_leaves_gets_no_further_request():
    for fault in ("", "error", "busy"):

        async def scenario(site, entry, fault=fault):
            leaving = site.endpoint_by_id["plain-1"]
            leaving.behaviour.is_leaving = True
            leaving.behaviour.fault = fault
            await _call_until(site, entry, lambda: leaving.headers_seen)
            seen = len(leaving.headers_seen)
            for number in range(12):
                path = ("/look/1", "/order/1", "/stream/1")[number % 3]
                method = "GET" if number % 3 == 0 else "POST"
                status, _, _ = await site.call(entry, method, path)
                assert status == 200
            assert len(leaving.headers_seen) == seen, fault
            # Its registration changes without a restart.
            address = entry.site_state.registry.endpoint_by_id["plain-1"].address
            site.register("plain-1", "plain", address)
            await asyncio.sleep(0.5)
            for _ in range(6):
                await site.call(entry, "GET", "/look/1")
            assert len(leaving.headers_seen) == seen, fault

        _run(scenario)


def test_server_that_left_and_starts_again_gets_requests():
    async def scenario(site, entry):
        leaving = site.endpoint_by_id["plain-1"]
        leaving.behaviour.is_leaving = True
        await _call_until(site, entry, lambda: leaving.headers_seen)
        leaving.behaviour.is_leaving = False
        seen = len(leaving.headers_seen)
        address = entry.site_state.registry.endpoint_by_id["plain-1"].address
        site.store.delete("servers/plain-1")
        await asyncio.sleep(0.3)
        site.register("plain-1", "plain", address)
        async with asyncio.timeout(5):
            await _call_until(site, entry, lambda: len(leaving.headers_seen) > seen)

    _run(scenario)


async def _call_until(site, entry, condition):
    while not condition():
        await site.call(entry, "GET", "/look/1")


def _run(scenario):
    async def run_with_limit():
        async with asyncio.timeout(TEST_LIMIT_S), OperatorsSite() as site:
            site.configure(configuration_document(3, ROUTES))
            for number in (1, 2):
                await site.add_endpoint(f"plain-{number}", "plain")
            entry = await site.add_entry(retry_extra=1000.0)
            await scenario(site, entry)

    asyncio.run(run_with_limit())
