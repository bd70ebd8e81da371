"""SIGTERM to one direct entry in calm, with requests that come late in its grace.

They guard against requests that are taken and passed on although the entry ends before
they do, so that their callers get no response and cannot tell whether they have run.
"""

import asyncio

import aiohttp
from magnoliagrade_standins.operators import (
    OperatorsSite,
    configuration_document,
    route_document,
)

TEST_LIMIT_S = 60
GRACE_S = 4.0
LATE_S = 1.5
# Longer than an entry that is stopping needs to notice and respond.
SOON_S = 0.5
NOT_RUN = ("no", 503)


def test_order_that_may_outlast_the_entry_is_rejected_before_it_is_sent():
    async def scenario(site):
        entry, endpoint = await _start(site, kind="unsafe", delay_s=2.5)
        async with _Stop(entry, after_s=LATE_S) as stop:
            outcome, took_s = await _call(site, entry, "late", deadline_ms=3000)
            assert outcome == NOT_RUN
            assert took_s < SOON_S
            await stop.wait()
        assert endpoint.runs == []

    _run(scenario)


def test_order_whose_deadline_comes_before_the_end_is_served():
    async def scenario(site):
        entry, endpoint = await _start(site, kind="unsafe", delay_s=0.8)
        async with _Stop(entry, after_s=LATE_S) as stop:
            outcome, _ = await _call(site, entry, "late", deadline_ms=1500)
            assert outcome == ("", 200)
            await stop.wait()
        assert endpoint.runs == ["late"]

    _run(scenario)


def test_lookup_of_a_fast_route_is_served_whatever_its_deadline():
    async def scenario(site):
        entry, endpoint = await _start(site, kind="safe", delay_s=0.05)
        assert (await _call(site, entry, "first"))[0] == ("", 200)
        async with _Stop(entry, after_s=LATE_S) as stop:
            outcome, _ = await _call(site, entry, "late", deadline_ms=5000)
            assert outcome == ("", 200)
            await stop.wait()

    _run(scenario)


def test_stream_that_usually_outlasts_the_rest_of_the_grace_is_rejected():
    async def scenario(site):
        entry, endpoint = await _start(site, kind="streaming", delay_s=0.4)
        assert (await _call(site, entry, "first", deadline_ms=5000))[0] == ("", 200)
        async with _Stop(entry, after_s=LATE_S) as stop:
            outcome, took_s = await _call(site, entry, "late", deadline_ms=5000)
            assert outcome == NOT_RUN
            assert took_s < SOON_S
            await stop.wait()
        assert endpoint.runs == ["first"]

    _run(scenario)


def test_order_from_before_the_stop_that_outlasts_the_entry_gets_a_response():
    async def scenario(site):
        entry, endpoint = await _start(site, kind="unsafe", delay_s=30.0)
        call = asyncio.create_task(_call(site, entry, "early", deadline_ms=20000))
        await _wait_until(lambda: endpoint.runs)
        async with _Stop(entry) as stop:
            outcome, _ = await call
            assert outcome == ("unknown", 504)
            await stop.wait()

    _run(scenario)


def test_request_that_still_waits_for_a_slot_at_the_end_has_not_run():
    async def scenario(site):
        entry, endpoint, running, waiting = await _start_with_a_full_endpoint(
            site, delay_s=30.0
        )
        async with _Stop(entry) as stop:
            assert (await waiting)[0] == NOT_RUN
            assert (await running)[0] == ("unknown", 504)
            await stop.wait()
        assert endpoint.runs == ["running"]

    _run(scenario)


def test_request_that_gets_its_slot_too_late_in_the_grace_is_not_sent():
    async def scenario(site):
        entry, endpoint, running, waiting = await _start_with_a_full_endpoint(
            site, delay_s=2.5
        )
        async with _Stop(entry) as stop:
            assert (await running)[0] == ("", 200)
            assert (await waiting)[0] == NOT_RUN
            await stop.wait()
        assert endpoint.runs == ["running"]

    _run(scenario)


def test_request_whose_body_is_still_on_its_way_at_the_end_gets_a_response():
    async def scenario(site):
        entry, endpoint = await _start(site, kind="unsafe", delay_s=0.0)

        async def body():
            yield b"first part"
            await asyncio.sleep(30)

        call = asyncio.create_task(
            _call(site, entry, "r-1", deadline_ms=20000, data=body())
        )
        await _wait_until(lambda: entry.requests_in_flight)
        async with _Stop(entry) as stop:
            assert (await call)[0] == NOT_RUN
            await stop.wait()
        assert endpoint.runs == []

    _run(scenario)


def test_stream_that_outlasts_the_entry_never_looks_complete():
    async def scenario(site):
        entry, endpoint = await _start(site, kind="streaming", delay_s=0.3, events=99)
        call = asyncio.create_task(_call(site, entry, "r-1", deadline_ms=20000))
        await _wait_until(lambda: endpoint.runs)
        async with _Stop(entry) as stop:
            assert (await call)[0] == ("cut", 0)
            await stop.wait()

    _run(scenario)


class _Stop:
    """Stops an entry, as SIGTERM does; enters some time after the stop has begun."""

    def __init__(self, entry, *, after_s=0.0):
        self._after_s = after_s
        self._entry = entry
        self._task = None
        self.began_at = None

    async def __aenter__(self):
        self.began_at = asyncio.get_running_loop().time()
        self._task = asyncio.create_task(self._entry.stop())
        await asyncio.sleep(self._after_s)
        return self

    async def __aexit__(self, *_exc):
        self._task.cancel()

    async def wait(self):
        """Wait until the entry has stopped, which it must within its grace."""
        await asyncio.wait_for(self._task, GRACE_S)
        took_s = asyncio.get_running_loop().time() - self.began_at
        assert took_s < GRACE_S


async def _start(site, *, kind, slots=6, **behaviour):
    endpoint = await site.add_endpoint("i-1", "plain", slots=slots, **behaviour)
    prefix = "/stream/" if kind == "streaming" else "/x/"
    route = route_document(prefix, "plain", kind=kind, TimeoutMs=30000)
    site.configure(configuration_document(1, [route]))
    return await site.add_entry(grace_s=GRACE_S), endpoint


async def _start_with_a_full_endpoint(site, *, delay_s):
    """Return entry, endpoint, the call that holds its only slot, and one that waits."""
    entry, endpoint = await _start(site, kind="unsafe", delay_s=delay_s, slots=1)
    running = asyncio.create_task(_call(site, entry, "running", deadline_ms=20000))
    await _wait_until(lambda: endpoint.runs)
    waiting = asyncio.create_task(_call(site, entry, "waiting", deadline_ms=20000))
    await _wait_until(lambda: entry.wait_queue_of("plain").waiters)
    return entry, endpoint, running, waiting


async def _call(site, entry, request_id, *, deadline_ms=3000, data=b"x"):
    """Return whether a request ran, as an error states, its status, and its duration.

    A response that is not complete counts as status 0.
    """
    path = entry.site_state.configuration.routes[0].prefix + "1"
    began_at = asyncio.get_running_loop().time()
    try:
        status, _, text = await site.call(
            entry,
            "POST",
            path,
            headers={"X-Magnoliagrade-Request-Id": request_id},
            deadline_ms=deadline_ms,
            data=data,
        )
    except aiohttp.ClientError:
        return ("cut", 0), asyncio.get_running_loop().time() - began_at
    took_s = asyncio.get_running_loop().time() - began_at
    ran = text.partition('"ran": "')[2].partition('"')[0]
    return (ran, status), took_s


async def _wait_until(condition):
    async with asyncio.timeout(5.0):
        while not condition():
            await asyncio.sleep(0.01)


def _run(scenario):
    async def run():
        async with asyncio.timeout(TEST_LIMIT_S), OperatorsSite() as site:
            await scenario(site)

    asyncio.run(run())
