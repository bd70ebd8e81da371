"""Requests whose prompts have a part in common under which each server ends."""

import asyncio
import contextlib

import aiohttp
from magnoliagrade_standins.operators import (
    OperatorsSite,
    configuration_document,
    route_document,
)

ROUTES = [route_document("/stream/", "model", kind="streaming")]
PROMPT_PREFIX = "X-Magnoliagrade-Prompt-Prefix"
REQUEST_ID = "X-Magnoliagrade-Request-Id"
CRASHING_PART = "bad0"
# After the fifth crash the platform allows this many more requests to reach servers.
CRASHES = 5
MORE_ALLOWED = 3
# Interval of the requests; an endpoint is back 0.6 s after its crash.
INTERVAL_S = 0.4
TEST_LIMIT_S = 40


def test_requests_that_crash_servers_are_not_sent_on_and_on():
    async def scenario(site):
        await _send_crashing(site, site.entries, 14)
        assert 1 <= len(_crashes(site)) <= CRASHES
        await asyncio.sleep(1.0)
        before = len(_crashes(site))
        for entry in site.entries:
            status, headers, _ = await _call(site, entry, "f1,bad0,0a")
            assert status == 503
            assert float(headers["Retry-After"]) > 1
        assert len(_crashes(site)) == before

    _run(scenario)


def test_sound_requests_with_the_other_parts_are_served():
    async def scenario(site):
        await _send_crashing(site, site.entries, 8)
        await asyncio.sleep(1.0)
        for number in range(10):
            entry = site.entries[number % len(site.entries)]
            for prefix in (f"f1,50,0a{number}", f"f1,0b{number}", "bad0"):
                status, _, _ = await _call(site, entry, prefix)
                assert status == 200, prefix

    _run(scenario)


def test_part_of_sound_requests_is_not_blocked_if_nothing_is_served_between_crashes():
    # Guards against a block of the parts that sound requests share with the bad ones.
    async def scenario(site):
        for number in range(8):
            entry = site.entries[number % len(site.entries)]
            parts = f"f1,50,0b{number}"
            status, _, _ = await _call(site, entry, parts, body=parts)
            assert status == 200
        for number in range(8):
            entry = site.entries[number % len(site.entries)]
            parts = f"f1,{CRASHING_PART},0a{number}"
            with contextlib.suppress(aiohttp.ClientError):
                await _call(site, entry, parts, body=parts)
            await asyncio.sleep(INTERVAL_S)
        assert 1 <= len(_crashes(site)) <= CRASHES
        await asyncio.sleep(1.0)
        statuses = []
        for number in range(10):
            entry = site.entries[number % len(site.entries)]
            parts = f"f1,50,0c{number}"
            status, _, _ = await _call(site, entry, parts, body=parts)
            statuses.append(status)
        assert statuses == [200] * 10
        status, _, _ = await _call(site, site.entries[0], f"f1,{CRASHING_PART},0c")
        assert status == 503

    _run(scenario)


def test_entry_that_starts_later_knows_the_part_that_crashes_servers():
    async def scenario(site):
        await _send_crashing(site, site.entries, 10)
        for entry in site.entries:
            await entry.close_now()
        started = await site.add_entry()
        before = len(_crashes(site))
        await _send_crashing(site, [started], 3)
        assert len(_crashes(site)) == before

    _run(scenario)


def test_part_of_requests_that_are_cut_off_by_living_servers_is_not_blocked():
    async def scenario(site):
        for endpoint in site.endpoint_by_id.values():
            endpoint.behaviour.crashing_part = ""
            endpoint.behaviour.fault = "cut-stream"
            endpoint.behaviour.cut_after = 0
        for number in range(12):
            entry = site.entries[number % len(site.entries)]
            with contextlib.suppress(aiohttp.ClientError):
                await _call(site, entry, f"f1,50,0a{number}")
        for endpoint in site.endpoint_by_id.values():
            endpoint.behaviour.fault = ""
        await asyncio.sleep(1.0)
        for entry in site.entries:
            for load in entry.endpoint_table.by_id.values():
                load.ejected_until = 0.0
            assert (await _call(site, entry, "f1,50,0a"))[0] == 200

    _run(scenario)


async def _send_crashing(site, entries, count):
    """Send requests with the crashing part, and sound ones with the other parts."""
    for number in range(count):
        entry = entries[number % len(entries)]
        for prefix in (f"f1,50,0c{number}", f"f1,{CRASHING_PART},0a{number}"):
            with contextlib.suppress(aiohttp.ClientError):
                await _call(site, entry, prefix)
        await asyncio.sleep(INTERVAL_S)


async def _call(site, entry, parts, *, body="p"):
    prefix = ",".join(f"{part}:100" for part in parts.split(","))
    return await site.call(
        entry,
        "POST",
        "/stream/1",
        data=body,
        headers={PROMPT_PREFIX: prefix, REQUEST_ID: parts},
    )


def _crashes(site):
    return [r for e in site.endpoint_by_id.values() for r in e.crashed_by]


def _run(scenario):
    async def run_with_limit():
        async with asyncio.timeout(TEST_LIMIT_S), OperatorsSite() as site:
            site.configure(configuration_document(3, ROUTES))
            for number in range(1, 6):
                await site.add_endpoint(
                    f"model-{number}", "model", crashing_part=CRASHING_PART
                )
            for _ in range(2):
                await site.add_entry(retry_extra=1000.0)
            await scenario(site)

    asyncio.run(run_with_limit())
