"""Plain requests, sent again and again, under which each server ends."""

import asyncio
import contextlib
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
REQUEST_ID = "X-Magnoliagrade-Request-Id"
CRASHING = "/look/crash"
# The platform allows three more requests to reach servers from three seconds after the
# third crash; identical requests are blocked after the second one.
CRASHES = 2
SETTLE_S = 3.0
MORE_ALLOWED = 3
# Interval of the requests; an endpoint is back 0.6 s after its crash.
INTERVAL_S = 0.15
TEST_LIMIT_S = 60


def test_request_that_crashes_servers_is_not_sent_on_and_on():
    for method, target, manner in (
        ("GET", CRASHING, "reset"),
        ("GET", CRASHING, "body"),
        ("POST", "/order/crash", "reset"),
        ("POST", "/stream/crash", "events"),
    ):

        async def scenario(site, method=method, target=target, manner=manner):
            await _send_crashing(site, site.entries, 8.0, method=method, target=target)
            _check_crashes(site)
            await _await_endpoints(site)
            for entry in site.entries:
                status, headers, _ = await _call(site, entry, method, target)
                assert status == 503
                assert float(headers["Retry-After"]) > 1
                # Its neighbours are served.
                assert (await _call(site, entry, "GET", "/look/1"))[0] == 200
                assert (await _call(site, entry, method, target + "?a"))[0] == 200

        _run(scenario, crashing_target=target, crash_manner=manner)


def test_request_under_which_servers_fall_silent_is_not_sent_on_and_on():
    async def scenario(site):
        await _send_crashing(site, site.entries, 14.0)
        _check_crashes(site, last_crash=3)

    _run(scenario, crashing_target=CRASHING, crash_manner="silent")


def test_entries_that_start_later_or_again_know_the_request_that_crashes_servers():
    async def scenario(site):
        await _send_crashing(site, site.entries, 5.0)
        await site.entries.pop().close_now()
        again = await site.add_entry(name="entry-1", retry_extra=1000.0)
        late = await site.add_entry(name="entry-late", retry_extra=1000.0)
        await _await_endpoints(site)
        before = len(_crashes(site))
        await _send_crashing(site, [again, late], 1.0)
        for entry in list(site.entries):
            await entry.close_now()
        site.entries.clear()
        alone = await site.add_entry(name="entry-alone", retry_extra=1000.0)
        await _send_crashing(site, [alone], 1.0)
        assert len(_crashes(site)) == before

    _run(scenario, crashing_target=CRASHING)


def test_caller_cannot_get_the_request_of_another_caller_blocked():
    async def scenario(site):
        await _send_crashing(site, site.entries, 5.0)
        await _await_endpoints(site)
        for endpoint in site.endpoint_by_id.values():
            endpoint.behaviour.crashing_target = ""
        for entry in site.entries:
            assert (await _call(site, entry, "GET", CRASHING))[0] == 503
            status, _, _ = await _call(site, entry, "GET", CRASHING, key="key-2")
            assert status == 200

    _run(scenario, crashing_target=CRASHING)


def test_sound_request_in_flight_while_servers_end_of_another_cause_is_served():
    async def scenario(site):
        statuses = []
        ends_at = time.monotonic() + 8.0

        async def call_in_a_loop(entry):
            while time.monotonic() < ends_at:
                status, _, _ = await _call(site, entry, "GET", "/look/hot")
                statuses.append(status)

        async def crash_in_a_loop():
            while time.monotonic() < ends_at - 1.0:
                for endpoint in list(site.endpoint_by_id.values())[:4]:
                    await endpoint.crash()
                    await asyncio.sleep(0.2)
                await asyncio.sleep(1.0)

        await asyncio.gather(
            crash_in_a_loop(), *(call_in_a_loop(e) for e in site.entries * 4)
        )
        assert len(statuses) > 400
        assert set(statuses) == {200}

    _run(scenario, delay_s=0.05)


def test_request_that_timed_out_at_servers_that_were_cut_off_is_served_afterwards():
    async def scenario(site):
        entry = site.entries[0]
        registry = entry.site_state.registry
        address_by_id = {i: e.address for i, e in registry.endpoint_by_id.items()}
        for endpoint in site.endpoint_by_id.values():
            endpoint.behaviour.fault = "hang"
        for _ in range(3):
            for sender in site.entries:
                await _call(site, sender, "GET", "/look/1")
        for endpoint_id in address_by_id:
            site.store.delete(f"servers/{endpoint_id}")
        await asyncio.sleep(4.0)
        for endpoint_id, address in address_by_id.items():
            site.endpoint_by_id[endpoint_id].behaviour.fault = ""
            site.register(endpoint_id, "plain", address)
        await _await_endpoints(site)
        for sender in site.entries:
            assert (await _call(site, sender, "GET", "/look/1"))[0] == 200

    _run(scenario)


async def _send_crashing(site, entries, duration_s, *, method="GET", target=CRASHING):
    """Send a request that crashes servers, with a new id each time."""
    ends_at = time.monotonic() + duration_s
    number = 0
    while time.monotonic() < ends_at:
        entry = entries[number % len(entries)]
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            await _call(site, entry, method, target, id=f"crash-{number}")
        number += 1
        await asyncio.sleep(INTERVAL_S)


async def _call(site, entry, method, target, *, key="key-1", **more):
    headers = {REQUEST_ID: more.get("id", "sound")}
    data = "the same body" if method == "POST" else None
    return await site.call(
        entry, method, target, key=key, headers=headers, data=data, deadline_ms=1500
    )


async def _await_endpoints(site):
    """Wait until all endpoints have started again and every entry knows them."""
    async with asyncio.timeout(10):
        while any(e.is_down for e in site.endpoint_by_id.values()):
            await asyncio.sleep(0.05)
    await asyncio.sleep(1.0)
    for entry in site.entries:
        for load in entry.endpoint_table.by_id.values():
            load.ejected_until = load.cold_until = 0.0


def _crashes(site):
    """Return the times at which endpoints ended under a request, in order."""
    return sorted(
        endpoint.began_at[request_id]
        for endpoint in site.endpoint_by_id.values()
        for request_id in endpoint.crashed_by
    )


def _check_crashes(site, last_crash=CRASHES):
    """Check how many requests reached servers long after a crash, if that came.

    Requests that are blocked after two crashes need not cause a third.
    """
    times = _crashes(site)
    assert len(times) >= CRASHES, times
    if len(times) < last_crash:
        return
    late = [
        began_at
        for endpoint in site.endpoint_by_id.values()
        for request_id, began_at in endpoint.began_at.items()
        if request_id.startswith("crash-")
        and began_at > times[last_crash - 1] + SETTLE_S
    ]
    assert len(late) <= MORE_ALLOWED, (len(late), times)


def _run(scenario, **behaviour):
    async def run_with_limit():
        async with asyncio.timeout(TEST_LIMIT_S), OperatorsSite() as site:
            document = configuration_document(3, ROUTES)
            document["Tenants"].append(
                {"Name": "org-2", "ApiKeys": ["key-2"], "Priority": 1}
            )
            site.configure(document)
            for number in range(1, 6):
                await site.add_endpoint(f"plain-{number}", "plain", **behaviour)
            for _ in range(2):
                await site.add_entry(retry_extra=1000.0)
            await scenario(site)

    asyncio.run(run_with_limit())
