"""The way of a request through a direct entry, against stand-ins of the platform."""

import asyncio

import aiohttp
from magnoliagrade.platform import slow_ranks_key
from magnoliagrade_entry.direct.arrival import FIRST_READ_S
from magnoliagrade_standins.operators import (
    OperatorsSite,
    configuration_document,
    route_document,
)

ROUTES = [
    route_document("/look/", "plain"),
    route_document("/order/", "plain", kind="unsafe"),
    route_document("/stream/", "model", kind="streaming"),
]
REQUEST_ID = "X-Magnoliagrade-Request-Id"
TEST_LIMIT_S = 25


def test_lookup_order_and_stream_come_back_whole():
    async def scenario(site, entry):
        status, headers, text = await site.call(
            entry, "POST", "/order/1?x=%2F", data="body", headers={REQUEST_ID: "r1"}
        )
        assert (status, text) == (200, "POST /order/1?x=%2F body by plain-1")
        assert headers["X-Magnoliagrade-Response-Stamp"] == "stamp of plain-1"
        status, _, text = await site.call(entry, "GET", "/look/1")
        assert (status, text) == (200, "GET /look/1  by plain-1")
        status, _, text = await site.call(entry, "POST", "/stream/1", data="p")
        assert status == 200
        assert text == "".join(f"id: {n}\ndata: {n}\n\n" for n in range(1, 6))

    _run(scenario)


def test_endpoint_sees_organisation_and_time_left_but_no_key():
    async def scenario(site, entry):
        given = {
            "X-Magnoliagrade-Tenant": "forged",
            "Connection": "X-One",
            "X-One": "1",
        }
        await site.call(entry, "GET", "/look/1", headers=given)
        seen = site.endpoint_by_id["plain-1"].headers_seen[-1]
        assert seen["X-Magnoliagrade-Tenant"] == "org-1"
        assert "Authorization" not in seen
        assert "X-One" not in seen
        assert 0 < int(seen["X-Magnoliagrade-Deadline-Ms"]) <= 3000
        assert seen["Host"] == "a.example"

    _run(scenario)


def test_unknown_key_and_unknown_path_are_told_so():
    async def scenario(site, entry):
        assert (await site.call(entry, "GET", "/look/1", key="no"))[0] == 401
        assert (await site.call(entry, "GET", "/other/1"))[0] == 404
        assert not site.endpoint_by_id["plain-1"].runs

    _run(scenario)


def test_order_whose_answer_is_lost_runs_once_and_is_not_called_unrun():
    async def scenario(site, entry):
        for fault in ("reset", "cut-body", "other-answer"):
            endpoint = site.endpoint_by_id["plain-1"]
            endpoint.behaviour.fault = fault
            endpoint.runs.clear()
            status, _, _ = await site.call(entry, "POST", "/order/1", data="b")
            assert status in (502, 504), fault
            assert len(endpoint.runs) == 1, fault

    _run(scenario, plain=2, only="plain-1")


def test_lookup_goes_to_another_endpoint_after_a_failure():
    async def scenario(site, entry):
        entry.places.by_id["plain-2"].own += 1
        for fault in ("reset", "cut-body", "other-answer", "error", "busy"):
            site.endpoint_by_id["plain-1"].behaviour.fault = fault
            for _ in range(6):
                entry.places.by_id["plain-1"].failures = 0
                entry.places.by_id["plain-1"].out_until = 0.0
                status, _, text = await site.call(entry, "GET", "/look/1")
                assert (status, text) == (200, "GET /look/1  by plain-2"), fault

    _run(scenario, plain=2, retry_extra=1000.0)


def test_failure_of_the_only_endpoint_is_passed_on_and_not_called_unrun():
    async def scenario(site, entry):
        site.endpoint_by_id["plain-1"].behaviour.fault = "error"
        status, headers, _ = await site.call(entry, "GET", "/look/1")
        assert status == 500
        assert headers["X-Magnoliagrade-Response-Stamp"] == "stamp of plain-1"
        site.endpoint_by_id["plain-1"].behaviour.fault = "reset"
        assert (await site.call(entry, "GET", "/look/1"))[0] in (502, 504)

    _run(scenario)


def test_order_that_an_endpoint_did_not_run_goes_to_no_second_but_is_told_so():
    async def scenario(site, entry):
        site.endpoint_by_id["plain-1"].behaviour.fault = "busy"
        status, headers, _ = await site.call(entry, "POST", "/order/1", data="b")
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        assert not site.endpoint_by_id["plain-1"].runs

    _run(scenario)


def test_requests_pass_over_endpoints_whose_addresses_others_have():
    # After a loss of power all servers have new ids, and some old entries still stand.
    async def scenario(site, entry):
        live = site.endpoint_by_id["plain-1"]
        for number in range(2, 5):
            site.endpoint_by_id[f"plain-{number}"].id = "another incarnation"
        for number in range(6):
            path = "/order/" if number % 2 else "/look/"
            method = "POST" if number % 2 else "GET"
            assert (await site.call(entry, method, f"{path}{number}"))[0] == 200
        assert len(live.runs) == 6
        for number in range(2, 5):
            seen = site.endpoint_by_id[f"plain-{number}"].headers_seen
            assert len(seen) <= 1

    _run(scenario, plain=4, retry_extra=90)


def test_broken_stream_goes_on_elsewhere_without_a_gap():
    async def scenario(site, entry):
        for name in ("model-1", "model-2"):
            site.endpoint_by_id[name].behaviour.delay_s = 0.01
        site.endpoint_by_id["model-1"].behaviour.fault = "cut-stream"
        # Makes the first attempt go to the other one.
        entry.places.by_id["model-2"].own += 1
        for _ in range(6):
            entry.places.by_id["model-1"].failures = 0
            entry.places.by_id["model-1"].out_until = 0.0
            status, _, text = await site.call(entry, "POST", "/stream/1", data="p")
            assert status == 200
            assert text == "".join(f"id: {n}\ndata: {n}\n\n" for n in range(1, 6))
        assert site.endpoint_by_id["model-1"].runs

    _run(scenario, model=2, retry_extra=1000.0)


def test_stream_leaves_a_rank_that_turns_slow():
    async def scenario(site, entry):
        slow, other = (site.endpoint_by_id[f"model-{n}"] for n in (1, 2))
        for endpoint in (slow, other):
            endpoint.behaviour.delay_s = 0.1
            endpoint.behaviour.events = 12
        stream = asyncio.create_task(site.call(entry, "POST", "/stream/1", data="p"))
        async with asyncio.timeout(5):
            while not slow.runs:
                await asyncio.sleep(0.01)
        entry.places.by_id["model-2"].out_until = 0.0
        address = entry.places.by_id["model-1"].endpoint.address
        site.store.put(slow_ranks_key("g"), {"pace_by_address": {address: 12.0}})
        status, _, text = await stream
        assert status == 200
        assert text == "".join(f"id: {n}\ndata: {n}\n\n" for n in range(1, 13))
        assert len(slow.runs) == len(other.runs) == 1
        assert slow.cancelled

    _run(scenario, model=2, only="model-1")


def test_stream_that_cannot_go_on_does_not_look_complete():
    async def scenario(site, entry):
        site.endpoint_by_id["model-1"].behaviour.fault = "cut-stream"
        try:
            await site.call(entry, "POST", "/stream/1", data="p")
        except aiohttp.ClientError:
            return
        raise AssertionError("the stream looked complete")

    _run(scenario)


def test_caller_who_leaves_ends_the_work_at_the_endpoint():
    async def scenario(site, entry):
        endpoint = site.endpoint_by_id["model-1"]
        endpoint.behaviour.delay_s = 0.05
        endpoint.behaviour.events = 100
        try:
            async with asyncio.timeout(0.3):
                await site.call(entry, "POST", "/stream/1", data="p")
        except TimeoutError:
            pass
        async with asyncio.timeout(2):
            while not endpoint.cancelled:
                await asyncio.sleep(0.01)

    _run(scenario)


def test_group_that_lost_a_rank_is_refused_at_once_until_it_is_back():
    async def scenario(site, entry):
        endpoint = site.endpoint_by_id["model-1"]
        endpoint.behaviour.fault = "broken-group"
        status, headers, _ = await site.call(
            entry, "POST", "/stream/1", data="p", deadline_ms=6000
        )
        assert status == 503
        # A third of what is left: the group may take seconds to return.
        assert 1.0 <= float(headers["Retry-After"]) <= 2.0
        seen = len(endpoint.headers_seen)
        for _ in range(3):
            assert (await site.call(entry, "POST", "/stream/1", data="p"))[0] == 503
        assert len(endpoint.headers_seen) <= seen + 1
        endpoint.behaviour.fault = ""
        async with asyncio.timeout(5):
            while (await site.call(entry, "POST", "/stream/1", data="p"))[0] != 200:
                await asyncio.sleep(0.05)

    _run(scenario)


def test_reports_end_an_outage_without_a_request():
    async def scenario(site, entry):
        endpoint = site.endpoint_by_id["model-1"]
        endpoint.behaviour.fault = "broken-group"
        assert (await site.call(entry, "POST", "/stream/1", data="p"))[0] == 503
        assert entry.places.is_known_out("model")
        seen = len(endpoint.headers_seen)
        endpoint.behaviour.fault = ""
        async with asyncio.timeout(5):
            while entry.places.is_known_out("model"):
                await asyncio.sleep(0.02)
        assert endpoint.reports
        assert len(endpoint.headers_seen) == seen

    _run(scenario)


def test_keys_are_not_honoured_longer_than_the_bound_without_the_store():
    async def scenario(site, entry):
        site.store.outage = "silent"
        async with asyncio.timeout(10):
            while entry.knowledge.age_s() < 1.3:
                await asyncio.sleep(0.02)
        status, headers, _ = await site.call(entry, "GET", "/look/1")
        assert (status, headers["Connection"]) == (200, "close")
        site.endpoint_by_id["plain-1"].runs.clear()
        async with asyncio.timeout(10):
            while entry.knowledge.age_s() < 1.6:
                await asyncio.sleep(0.05)
        status, headers, _ = await site.call(entry, "GET", "/look/1")
        assert status == 503
        assert "Retry-After" in headers
        assert not site.endpoint_by_id["plain-1"].runs
        assert entry.reasons_not_ready()
        # The caller's next connection is sent to an entry that is ready.
        assert headers["Connection"] == "close"

    _run(scenario, revoke_ms=1700)


def test_short_bound_on_keys_is_kept_without_refusing_anybody():
    # The soak found it: with a bound of 3 s calm entries were not ready now and then.
    async def scenario(site, entry):
        ends_at = entry.clock.monotonic() + 2.5
        while entry.clock.monotonic() < ends_at:
            assert not entry.reasons_not_ready()
            await asyncio.sleep(0.02)

    _run(scenario, revoke_ms=2000)


def test_entry_that_has_just_started_lets_callers_wait_for_its_first_configuration():
    async def scenario():
        async with asyncio.timeout(TEST_LIMIT_S), OperatorsSite() as site:
            await site.add_endpoint("plain-1", "plain")
            entry = await site.add_entry(awaits_ready=False)
            early = asyncio.create_task(site.call(entry, "GET", "/look/1"))
            await asyncio.sleep(0.1)
            assert not early.done()
            site.configure(configuration_document(3, ROUTES))
            assert (await early)[0] == 200

    asyncio.run(scenario())


def test_entry_without_a_configuration_refuses_once_it_is_no_longer_new():
    async def scenario():
        async with asyncio.timeout(TEST_LIMIT_S), OperatorsSite() as site:
            entry = await site.add_entry(awaits_ready=False)
            status, headers, _ = await site.call(entry, "GET", "/look/1")
            assert status == 503
            assert "Retry-After" in headers
            assert entry.clock.monotonic() >= entry.started_at + FIRST_READ_S

    asyncio.run(scenario())


def test_change_of_key_route_and_endpoint_is_in_force_without_a_restart():
    async def scenario(site, entry):
        site.configure(configuration_document(9, ROUTES[:1], keys=["key-2"]))
        site.register("plain-1", "plain", "127.0.0.1:9", state="draining")
        async with asyncio.timeout(5):
            while entry.knowledge.version != 9 or entry.places.places_of("plain"):
                await asyncio.sleep(0.01)
        assert (await site.call(entry, "GET", "/look/1"))[0] == 401
        assert (await site.call(entry, "GET", "/order/1", key="key-2"))[0] == 404
        assert (await site.call(entry, "GET", "/look/1", key="key-2"))[0] == 503

    _run(scenario)


def test_history_that_is_lost_is_read_anew():
    async def scenario(site, entry):
        site.store.outage = "busy"
        await asyncio.sleep(0.05)
        site.configure(configuration_document(11, ROUTES))
        site.store.delete("servers/plain-1")
        site.store.compact_history()
        site.store.outage = ""
        async with asyncio.timeout(10):
            while entry.knowledge.version != 11 or entry.places.places_of("plain"):
                await asyncio.sleep(0.01)

    _run(scenario)


def test_entry_that_stops_finishes_streams_and_then_takes_no_requests():
    async def scenario(site, entry):
        endpoint = site.endpoint_by_id["model-1"]
        endpoint.behaviour.delay_s = 0.3
        endpoint.behaviour.events = 11
        stream = asyncio.create_task(
            site.call(entry, "POST", "/stream/1", data="p", deadline_ms=9000)
        )
        await asyncio.sleep(0.2)
        stopping = asyncio.create_task(entry.stop())
        async with asyncio.timeout(5):
            while not entry.refuses_requests:
                await asyncio.sleep(0.01)
        assert entry.reasons_not_ready()
        status, _, text = await stream
        assert status == 200
        assert text.count("data:") == 11
        await stopping

    _run(scenario)


def _run(scenario, *, plain=1, model=1, only="", **settings):
    async def whole():
        async with asyncio.timeout(TEST_LIMIT_S), OperatorsSite() as site:
            site.configure(configuration_document(3, ROUTES))
            for service, count in (("plain", plain), ("model", model)):
                for number in range(1, count + 1):
                    await site.add_endpoint(f"{service}-{number}", service)
            entry = await site.add_entry(**settings)
            if only:
                _leave_out_others(entry, only)
            await scenario(site, entry)

    asyncio.run(whole())


def _leave_out_others(entry, only):
    service = entry.places.by_id[only].endpoint.service
    for place in entry.places.places_of(service):
        if place.endpoint.id != only:
            place.out_until = float("inf")
