"""Rate of the requests that all entries together send to a cold endpoint."""

import asyncio
import contextlib
import time

import aiohttp
from magnoliagrade_entry.direct.instance import NAMES_KNOWN_AFTER_S
from magnoliagrade_standins.operators import (
    OperatorsSite,
    configuration_document,
    route_document,
)

ROUTES = [route_document("/look/", "plain")]
ENTRIES = 6
COLD_PER_S = 4.0
# Time that the configuration names for the start of an endpoint.
COLD_START_S = 3.0
# The platform's bound: ColdPerS x ColdOver + ColdSlack in any second.
MAX_PER_S = COLD_PER_S * 1.5 + 5
CALLERS_PER_ENTRY = 6
LOAD_S = 3.0
TEST_LIMIT_S = 30


def test_cold_endpoint_is_not_flooded_when_it_starts_beside_full_ones():
    async def scenario(site):
        cold_until = time.monotonic() + 3.0
        cold = await site.add_endpoint("plain-cold", "plain", cold_ms=3000, delay_s=0.1)
        await _load(site, LOAD_S)
        _check_rate(cold, cold_until=cold_until)

    _run(scenario)


def test_cold_endpoint_that_rejects_requests_is_not_flooded():
    async def scenario(site):
        cold_until = time.monotonic() + 3.0
        cold = await site.add_endpoint("plain-cold", "plain", cold_ms=3000)
        cold.behaviour.fault = "busy"
        await _load(site, LOAD_S)
        _check_rate(cold, cold_until=cold_until)

    _run(scenario)


def test_endpoint_that_turns_cold_again_is_not_flooded():
    async def scenario(site):
        address = site.entries[0].endpoint_table.by_id["plain-1"].endpoint.address
        cold_until = time.monotonic() + 3.0
        site.register("plain-1", "plain", address, cold_ms=3000)
        await asyncio.sleep(0.5)
        endpoint = site.endpoint_by_id["plain-1"]
        endpoint.arrived_at.clear()
        endpoint.behaviour.delay_s = 0.05
        await _load(site, 2.0)
        _check_rate(endpoint, cold_until=cold_until)

    _run(scenario)


def test_endpoints_of_a_data_centre_that_is_put_back_count_as_cold():
    # They may have turned cold without a registration that says so.
    async def scenario(site):
        site.store.put("op/evacuate/dc-1", {})
        await asyncio.sleep(0.5)
        site.store.delete("op/evacuate/dc-1")
        put_back_at = time.monotonic()
        await asyncio.sleep(0.5)
        endpoint = site.endpoint_by_id["plain-1"]
        endpoint.arrived_at.clear()
        endpoint.behaviour.delay_s = 0.05
        await _load(site, 2.0)
        _check_rate(endpoint, cold_until=put_back_at + COLD_START_S)

    _run(scenario)


def test_cold_endpoint_is_not_flooded_after_the_store_lost_its_registration():
    # Also the entries' registrations and the report that the endpoint is cold are lost.
    async def scenario(site):
        copy = site.store.make_copy()
        copy.item_by_key = {
            key: item
            for key, item in copy.item_by_key.items()
            if not key.startswith("magnoliagrade/")
        }
        cold_until = time.monotonic() + 6.0
        cold = await site.add_endpoint("plain-cold", "plain", cold_ms=6000, delay_s=0.1)
        registration = site.store.item_by_key["servers/plain-cold"]
        await asyncio.sleep(0.3)
        site.store.outage = "busy"
        await asyncio.sleep(0.3)
        site.store.return_from(copy)
        site.store.outage = ""
        load = asyncio.create_task(_load(site, LOAD_S))
        await asyncio.sleep(1.2)
        site.store.put_item(registration)
        await load
        _check_rate(cold, cold_until=cold_until)

    _run(scenario)


async def _load(site, duration_s):
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + duration_s

    async def call_in_a_loop(entry, number):
        while loop.time() < ends_at:
            with contextlib.suppress(aiohttp.ClientError):
                status, _, _ = await site.call(
                    entry, "GET", f"/look/{number}", deadline_ms=2000
                )
            if status != 200:
                await asyncio.sleep(0.05)

    await asyncio.gather(
        *(
            call_in_a_loop(entry, number)
            for entry in site.entries
            for number in range(CALLERS_PER_ENTRY)
        )
    )


def _check_rate(endpoint, *, cold_until):
    """Check that requests reached a cold endpoint, and not too many in any second."""
    times = [time for time in endpoint.arrived_at if time < cold_until]
    assert times
    most = max(sum(start <= time < start + 1.0 for time in times) for start in times)
    assert most <= MAX_PER_S, f"{most} requests in one second, allowed {MAX_PER_S:g}"


def _run(scenario):
    async def run_with_limit():
        async with asyncio.timeout(TEST_LIMIT_S), OperatorsSite() as site:
            site.configure(configuration_document(3, ROUTES, cold_per_s=COLD_PER_S))
            await site.add_endpoint("plain-1", "plain", delay_s=0.3)
            await site.add_endpoint("plain-2", "plain", delay_s=0.3)
            for _ in range(ENTRIES):
                await site.add_entry(retry_extra=1000.0)
            async with asyncio.timeout(10):
                while any(
                    len(entry.peers.link_by_name) < ENTRIES - 1
                    for entry in site.entries
                ):
                    await asyncio.sleep(0.02)
            # Until then entries assume more entries than they know.
            await asyncio.sleep(NAMES_KNOWN_AFTER_S + 0.2)
            await scenario(site)

    asyncio.run(run_with_limit())
