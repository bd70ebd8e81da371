"""Callers get complete responses of their own request when back ends misbehave.

The back ends truncate, drop, swap or repeat responses, or send data after their end.
"""

import asyncio
import json

import aiohttp
from magnoliagrade_standins.engine import expected_text
from magnoliagrade_standins.harness import Site, SitePlan, call_service
from magnoliagrade_standins.harness.configurations import CONFIGURATION

# Retries without a budget, so that it does not limit these tests.
CONFIGURATION_WITH_RETRIES = CONFIGURATION.replace(
    "_limit = 16", "_limit = 16\noption.retry.policy = naive"
)
CONFIGURATION_WITH_RETRIES = CONFIGURATION_WITH_RETRIES.replace(
    "_limit = 600\n", "_limit = 600\noption.retry.policy = naive\n"
)
PLAN = SitePlan(
    entries_by_data_centre={"kamloops": 1, "kelowna": 1},
    engines_by_data_centre={"kamloops": 3, "kelowna": 1},
    services_by_data_centre={"kamloops": 2},
    configuration=CONFIGURATION_WITH_RETRIES,
    has_proxy=True,
)
ENTRY = "kamloops-entry-0"
MODELS = ("kamloops-model-0", "kamloops-model-1")
SERVICES = ("kamloops-service-0", "kamloops-service-1")
HEADERS = {"Authorization": "Bearer key-0"}
TOKENS = 12
FAULTS = ("truncate", "drop", "cross", "repeat", "trail")
# Pause before the next request while the engines with a fault get none: 30 of them are
# longer than the 5 s for which an engine is ejected after failures.
PAUSE_WITHOUT_FAULT_S = 0.2


def test_each_response_is_complete_and_belongs_to_its_request():
    asyncio.run(_check_all_faults())


async def _check_all_faults():
    async with Site(plan=PLAN) as site:
        for fault in FAULTS:
            await _check_models(site, fault)
            for number in range(4):
                await _check_services(site, fault, number)
        await _check_cut(site)


async def _check_models(site, fault):
    """Streams are resumed, other responses requested again."""
    for kind, check in (("stream", _check_stream), ("text", _check_text)):
        # Trailing events are sent only after a stream.
        if (fault, kind) != ("trail", "text"):
            await _check_until_injected(site, fault, kind, check)


async def _check_until_injected(site, fault, kind, check):
    before = seen = await _injected_count(site, MODELS)
    for number in range(30):
        await _set(site, MODELS, fault, 1)
        await check(site, f"{fault}-{kind}-{number}")
        last_seen, seen = seen, await _injected_count(site, MODELS)
        if seen >= before + 4:
            await _set(site, MODELS, fault, 0)
            return
        if seen == last_seen:
            await asyncio.sleep(PAUSE_WITHOUT_FAULT_S)
    raise AssertionError(f"{fault} was injected fewer than 4 times in 30 requests")


async def _check_services(site, fault, number):
    """Lookups are sent again, orders never run twice."""
    await _set(site, SERVICES[:1], fault, 1)
    found = await call_service(site, ENTRY, method="GET", path="/orders/stock")
    assert found.status == 200 and found.body["id"] == found.request_id, found
    injected = await _injected_count(site, SERVICES)
    await _set(site, SERVICES, fault, 1)
    name = f"{fault}-order-{number}"
    order = await call_service(site, ENTRY, headers={"X-Request-Id": name})
    if fault != "trail":
        assert await _injected_count(site, SERVICES) == injected + 1
    if order.status == 200:
        assert order.body["id"] == name
    else:
        assert order.ran in ("yes", "unknown"), order
    assert await _count(site, name) == 1
    await _set(site, SERVICES, fault, 0)


async def _check_cut(site):
    """The connection to an agent is cut at several positions in the stream."""
    for limit in (150, 400, 700, 1000):
        target = "kamloops-model-0/data"
        await site.set_rules({"target": target, "cut_after_bytes": limit})
        for number in range(4):
            await _check_stream(site, f"cut-{limit}-{number}")
    await site.set_rules()


async def _set(site, back_ends, fault, count):
    for name in back_ends:
        await site.control_back_end(name, {"faults": {fault: count}})


async def _injected_count(site, back_ends):
    return sum([(await site.record(name))["faults"] for name in back_ends])


async def _count(site, name):
    records = [await site.record(service) for service in SERVICES]
    ids = [e["id"] for record in records for e in record["executions"]]
    return ids.count(name)


async def _check_stream(site, name):
    body = await _complete(site, name, is_stream=True)
    lines = [line for line in body.splitlines() if line.startswith(b"data: ")]
    assert lines.pop() == b"data: [DONE]"
    events = [json.loads(line[6:]) for line in lines]
    assert {e["id"] for e in events} == {name}
    texts = [e["choices"][0]["delta"]["content"] for e in events]
    assert texts == [expected_text(name, i) for i in range(TOKENS)], name


async def _check_text(site, name):
    response = json.loads(await _complete(site, name, is_stream=False))
    assert response["id"] == name
    expected = "".join(expected_text(name, i) for i in range(TOKENS))
    assert response["choices"][0]["message"]["content"] == expected


async def _complete(site, name, *, is_stream):
    url = site.caller_url(ENTRY) + "/v1/completions"
    body = {
        "model": "swatch",
        "stream": is_stream,
        "max_tokens": TOKENS,
        "prompt": name,
    }
    headers = {**HEADERS, "X-Request-Id": name}
    async with site.session.post(url, json=body, headers=headers) as response:
        text = await response.read()
        assert response.status == 200, text
        assert response.headers["X-Request-Id"] == name
        return text


def test_stream_that_cannot_be_resumed_does_not_end_cleanly():
    asyncio.run(_exhaust_attempts())


async def _exhaust_attempts():
    plan = SitePlan(
        entries_by_data_centre={"kamloops": 1},
        engines_by_data_centre={"kamloops": 1},
    )
    async with Site(plan=plan) as site:
        for fault in ("truncate", "drop"):
            await _set(site, ["kamloops-model-0"], fault, 100)
            try:
                body = await _complete(site, fault, is_stream=True)
            except aiohttp.ClientError:
                continue
            raise AssertionError(f"{fault}: stream ended cleanly after {body}")


def test_engine_cancels_a_request_whose_caller_disconnects():
    asyncio.run(_disconnect_callers())


async def _disconnect_callers():
    async with Site(plan=PLAN) as site:
        url = site.caller_url(ENTRY) + "/v1/completions"
        for name in site.back_end_by_name:
            if "model" in name:
                await site.control_back_end(name, {"step_scale": 50})
        for is_stream in (True, False):
            body = {"model": "swatch", "max_tokens": 500, "prompt": "p"}
            body["stream"] = is_stream
            call = site.session.post(url, json=body, headers=HEADERS)
            task = asyncio.create_task(_read(call))
            await _wait_until_running(site, 1, task)
            task.cancel()
            await _wait_until_running(site, 0, task)


async def _read(call):
    async with call as response:
        return response.status, await response.read()


async def _wait_until_running(site, count, call):
    names = [n for n in site.back_end_by_name if "model" in n]
    for _ in range(100):
        if await _running(site, names) == count:
            return
        await asyncio.sleep(0.02)
    raise AssertionError(
        f"{await _running(site, names)} requests are running, not {count}: {call}"
    )


async def _running(site, names):
    return sum([(await site.record(name))["running"] for name in names])
