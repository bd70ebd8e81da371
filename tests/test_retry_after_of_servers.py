"""Servers that say in a 503 for how long they want no further requests."""

import asyncio
import time

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
# Time after a 503 for which requests may still reach its server.
SLACK_S = 0.5
RETRY_AFTER_S = 2.0
TEST_LIMIT_S = 25


def test_server_gets_no_request_for_as_long_as_its_retry_after_says():
    async def scenario(site, entry):
        busy = site.endpoint_by_id["plain-1"]
        busy.behaviour.fault = "busy"
        busy.behaviour.retry_after_s = RETRY_AFTER_S
        await _call_until(site, entry, lambda: busy.arrived_at)
        rejected_at = busy.arrived_at[0]
        busy.behaviour.fault = ""
        while time.monotonic() < rejected_at + RETRY_AFTER_S + 0.5:
            await site.call(entry, "GET", "/look/1")
            await asyncio.sleep(0.02)
        within = [
            at
            for at in busy.arrived_at
            if rejected_at + SLACK_S < at < rejected_at + RETRY_AFTER_S
        ]
        assert not within
        assert busy.arrived_at[-1] > rejected_at + RETRY_AFTER_S

    _run(scenario)


def test_request_is_rejected_at_once_if_all_servers_want_none_for_too_long():
    async def scenario(site, entry):
        for endpoint in site.endpoint_by_id.values():
            endpoint.behaviour.fault = "busy"
            endpoint.behaviour.retry_after_s = 20.0
        for _ in range(3):
            await site.call(entry, "GET", "/look/1")
        seen = [len(e.arrived_at) for e in site.endpoint_by_id.values()]
        began_at = time.monotonic()
        status, headers, _ = await site.call(entry, "GET", "/look/1")
        assert status == 503
        assert time.monotonic() - began_at < 1.0
        assert float(headers["Retry-After"]) > 0.5
        assert seen == [len(e.arrived_at) for e in site.endpoint_by_id.values()]

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
