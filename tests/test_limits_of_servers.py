"""Rate of the requests that all entries together send to servers that name a limit."""

import asyncio
import collections
import contextlib
import statistics
import time

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
ENTRIES = 5
CALLERS_PER_ENTRY = 6
LIMIT_PER_S = 3.0
# The platform's bound: from this time after a server has first named its limit, in any
# window of this length, this multiple of what the limit allows, and some more.
SETTLE_S = 3.0
WINDOW_S = 4.0
MAX_FACTOR = 1.5
MAX_EXTRA = 5
TEST_LIMIT_S = 40


def test_server_that_names_a_limit_does_not_get_more_from_all_entries_together():
    async def scenario(site):
        limited = site.endpoint_by_id["plain-0"]
        for fault in ("", "busy", "error"):
            limited.behaviour.fault = fault
            limited.behaviour.limit = f"{LIMIT_PER_S:g}"
            limited.arrived_at.clear()
            began_at = time.monotonic()
            statuses = await _load(site, SETTLE_S + WINDOW_S)
            _check_rate(limited, began_at, fault)
            if not fault:
                # The others have room for all requests.
                assert set(statuses) == {200}
            limited.behaviour.limit = ""
            await _load(site, 0.5)

    _run(scenario)


def test_streams_and_orders_count_for_the_limit():
    async def scenario(site):
        limited = site.endpoint_by_id["plain-0"]
        limited.behaviour.limit = f"{LIMIT_PER_S:g}"
        began_at = time.monotonic()
        await _load(
            site, SETTLE_S + WINDOW_S, method="POST", paths=("/order/1", "/stream/1")
        )
        _check_rate(limited, began_at)

    _run(scenario)


def test_entry_that_starts_later_keeps_to_the_limit():
    async def scenario(site):
        limited = site.endpoint_by_id["plain-0"]
        limited.behaviour.limit = f"{LIMIT_PER_S:g}"
        began_at = time.monotonic()
        await _load(site, SETTLE_S)
        await site.entries.pop(0).close_now()
        await site.add_entry(name="entry-late", retry_extra=1000.0)
        await _load(site, WINDOW_S)
        _check_rate(limited, began_at)

    _run(scenario)


def test_service_whose_servers_are_all_limited_gets_what_they_take():
    async def scenario(site):
        for endpoint in site.endpoint_by_id.values():
            endpoint.behaviour.limit = f"{LIMIT_PER_S:g}"
        began_at = time.monotonic()
        rejected_after_s = []
        await _load(site, SETTLE_S + 2 * WINDOW_S, rejected_after_s=rejected_after_s)
        for endpoint in site.endpoint_by_id.values():
            _check_rate(endpoint, began_at)
        taken_per_s = len(site.endpoint_by_id) * LIMIT_PER_S
        settled_at = began_at + SETTLE_S
        settled_s = time.monotonic() - settled_at
        arrived = [
            at
            for endpoint in site.endpoint_by_id.values()
            for at in endpoint.arrived_at
            if at > settled_at
        ]
        assert len(arrived) > 0.6 * taken_per_s * settled_s
        # What certainly cannot be served in time is rejected at once.
        assert statistics.median(rejected_after_s) < 0.5

    _run(scenario)


def test_limit_ends_at_all_entries_when_the_server_names_it_no_longer():
    async def scenario(site):
        limited = site.endpoint_by_id["plain-0"]
        limited.behaviour.limit = "0"
        await _load(site, 2.0)
        limited.behaviour.limit = ""
        await _load(site, 6.0)
        assert not any(
            entry.limit_exchange.limits.limit_by_id for entry in site.entries
        )
        limited.arrived_at.clear()
        await _load(site, 1.0)
        assert len(limited.arrived_at) > 3 * LIMIT_PER_S

    _run(scenario)


def test_limit_that_is_no_number_changes_nothing():
    async def scenario(site):
        limited = site.endpoint_by_id["plain-0"]
        for limit in ("-1", "many", "nan", " "):
            limited.behaviour.limit = limit
            statuses = await _load(site, 0.5)
            assert set(statuses) == {200}, limit
        assert not any(
            entry.limit_exchange.limits.limit_by_id for entry in site.entries
        )
        assert len(limited.arrived_at) > 3 * LIMIT_PER_S

    _run(scenario)


async def _load(
    site, duration_s, *, method="GET", paths=("/look/1",), rejected_after_s=None
):
    """Keep callers of all entries busy; return how often they got each status.

    The time after which each rejected request was rejected is added to
    `rejected_after_s`.
    """
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + duration_s
    statuses = collections.Counter()

    async def call_in_a_loop(entry, number):
        path = paths[number % len(paths)]
        while loop.time() < ends_at:
            status = 0
            began_at = loop.time()
            with contextlib.suppress(aiohttp.ClientError):
                status, _, _ = await site.call(entry, method, path, deadline_ms=2000)
            statuses[status] += 1
            if status == 503 and rejected_after_s is not None:
                rejected_after_s.append(loop.time() - began_at)
            if status != 200:
                await asyncio.sleep(0.05)

    await asyncio.gather(
        *(
            call_in_a_loop(entry, number)
            for entry in site.entries
            for number in range(CALLERS_PER_ENTRY)
        )
    )
    return statuses


def _check_rate(endpoint, began_at, fault=""):
    times = [at for at in endpoint.arrived_at if at > began_at + SETTLE_S]
    assert times, f"{endpoint.id} got no requests at all ({fault})"
    most = max(sum(begin <= at < begin + WINDOW_S for at in times) for begin in times)
    allowed = MAX_FACTOR * LIMIT_PER_S * WINDOW_S + MAX_EXTRA
    assert most <= allowed, f"{most} requests, {allowed:g} allowed ({fault})"


def _run(scenario):
    async def run_with_limit():
        async with asyncio.timeout(TEST_LIMIT_S), OperatorsSite() as site:
            site.configure(configuration_document(3, ROUTES))
            for number in range(3):
                await site.add_endpoint(
                    f"plain-{number}", "plain", slots=40, delay_s=0.05
                )
            for _ in range(ENTRIES):
                await site.add_entry(retry_extra=1000.0)
            await scenario(site)

    asyncio.run(run_with_limit())
