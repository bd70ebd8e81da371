"""Orders run at most once when a connection on their path is lost.

A connection is cut before the request reaches the agent, or after, while the response
is on its way. The entry then cannot see whether the order ran and must revoke it.
"""

import asyncio
import time

from magnoliagrade.http import headers as header_names
from magnoliagrade_standins.harness import Site, SitePlan
from magnoliagrade_standins.harness.configurations import CONFIGURATION

# A retry budget of one retry per request, so that it does not limit these tests.
CONFIGURATION_WITH_RETRIES = CONFIGURATION.replace(
    "[pool order-desk]", "[pool order-desk]\nretry_budget = 1"
)
PLAN = SitePlan(
    entries_by_data_centre={"kamloops": 1},
    services_by_data_centre={"kamloops": 2},
    configuration=CONFIGURATION_WITH_RETRIES,
    has_proxy=True,
)
REMOTE_PLAN = SitePlan(
    entries_by_data_centre={"kamloops": 1, "kelowna": 1},
    services_by_data_centre={"kelowna": 2},
    configuration=CONFIGURATION_WITH_RETRIES,
    has_proxy=True,
)
HEADERS = {"Authorization": "Bearer key-0"}
ORDERS = 8
SERVICES = ("kamloops-service-0", "kamloops-service-1")
ORDER_NAMES = [f"order-{i}" for i in range(ORDERS)]


def test_order_with_a_cut_agent_connection_runs_once_and_gets_a_response():
    asyncio.run(
        _cut_each(PLAN, before="kamloops-service-0/data", after="kamloops-service-0")
    )


def test_forwarded_order_with_a_cut_connection_runs_once_and_gets_a_response():
    asyncio.run(
        _cut_each(REMOTE_PLAN, before="kelowna-service-0/data", after="kelowna-entry-0")
    )


async def _cut_each(plan, *, before, after):
    """Cut one path before requests arrive, and one while responses are in transit."""
    async with Site(plan=plan) as site:
        await _cut(site, before, "stall-to-target", "before")
        await _cut(site, f"{after}/data", "stall-from-target", "after")


async def _cut(site, target, flow, label):
    url = site.caller_url("kamloops-entry-0")
    await _wait_until_orders_run(site, url)
    await site.set_rules({"target": target, "flow": flow})
    names = [f"{label}-{i}" for i in range(ORDERS)]
    orders = [asyncio.create_task(_order(site, url, name)) for name in names]
    await asyncio.sleep(0.5)
    # Orders on the faulty connection are still waiting; the others are done.
    assert not all(o.done() for o in orders), (label, await _runs(site))
    await site.set_rules({"target": target, "flow": "cut"})
    responses = await asyncio.gather(*orders)
    await site.set_rules()
    runs = await _runs(site)
    assert {status for status, _ in responses} == {200}, responses
    assert all(runs.count(name) == 1 for name in names)


def test_order_that_reaches_its_agent_after_the_deadline_does_not_run():
    asyncio.run(_send_stalled_orders())


async def _send_stalled_orders():
    async with Site(plan=PLAN) as site:
        url = site.caller_url("kamloops-entry-0")
        await _wait_until_orders_run(site, url)
        before = await _runs(site)
        await site.set_rules(
            *({"target": f"{n}/data", "flow": "stall-to-target"} for n in SERVICES)
        )
        headers = {"X-Deadline-Seconds": "0.5"}
        status, ran = await _order(site, url, "late", **headers)
        assert (status, ran) == (504, "unknown")
        # The stalled requests reach the agents now.
        await site.set_rules()
        await _wait_until_orders_run(site, url)
        assert "late" not in await _runs(site)
        assert len(await _runs(site)) > len(before)


def test_order_at_a_killed_agent_has_unknown_outcome_and_is_not_retried():
    asyncio.run(_kill_agent())


async def _kill_agent():
    async with Site(plan=PLAN) as site:
        url = site.caller_url("kamloops-entry-0")
        await _wait_until_orders_run(site, url)
        for name in site.back_end_by_name:
            await site.control_back_end(name, {"service_s": 1.0})
        orders = [asyncio.create_task(_order(site, url, name)) for name in ORDER_NAMES]
        await _wait_until_all_run(site)
        await site.agent_by_name["kamloops-service-0"].kill()
        responses = await asyncio.gather(*orders)
        runs = await _runs(site)
    assert set(responses) == {(200, None), (504, "unknown")}, responses
    assert all(runs.count(name) == 1 for name in ORDER_NAMES)


async def _wait_until_all_run(site):
    for _ in range(200):
        runs = await _runs(site)
        if all(name in runs for name in ORDER_NAMES):
            return
        await asyncio.sleep(0.02)
    raise AssertionError(f"not all orders run, only {runs}")


async def _wait_until_orders_run(site, url):
    """Wait until the agents have the configuration and run concurrent orders."""
    for _ in range(100):
        orders = (
            _order(site, url, f"first-{time.monotonic()}-{i}") for i in range(ORDERS)
        )
        responses = await asyncio.gather(*orders)
        if {status for status, _ in responses} == {200}:
            return
        await asyncio.sleep(0.1)
    raise AssertionError("orders are still rejected after 100 tries")


async def _order(site, url, name, **added):
    headers = {**HEADERS, "X-Request-Id": name, **added}
    async with site.session.post(f"{url}/orders/reorder", headers=headers) as response:
        body = await response.json(content_type=None)
        return response.status, body.get("ran")


async def _runs(site):
    records = [await site.record(name) for name in site.back_end_by_name]
    return [e["id"] for record in records for e in record["executions"]]


def test_request_for_another_incarnation_is_not_run():
    asyncio.run(_send_to_other_incarnation())


async def _send_to_other_incarnation():
    async with Site(plan=PLAN) as site:
        agent = site.agent_by_name["kamloops-service-0"].addresses["data"]
        headers = {header_names.INCARNATION: f"{1:016x}", header_names.ATTEMPT: "e.1.1"}
        url = f"http://{agent}/reorder"
        async with site.session.post(url, headers=headers) as response:
            assert response.status == 503
            assert response.headers[header_names.RAN] == "no"
        assert await _runs(site) == []
