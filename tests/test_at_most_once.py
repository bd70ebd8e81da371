"""Orders whose connection to the agent is lost before and during the hand-over."""

import asyncio
import time

from magnoliagrade.http import headers as names
from magnoliagrade_standins.harness import Site, SitePlan
from magnoliagrade_standins.harness.configurations import CONFIGURATION

# What is tested is the outcome of each order, not the budget.
GENEROUS = CONFIGURATION.replace(
    "[pool order-desk]", "[pool order-desk]\nretry_budget = 1"
)
PLAN = SitePlan(
    entries_by_data_centre={"kamloops": 1},
    services_by_data_centre={"kamloops": 2},
    configuration=GENEROUS,
    has_proxy=True,
)
FAR_PLAN = SitePlan(
    entries_by_data_centre={"kamloops": 1, "kelowna": 1},
    services_by_data_centre={"kelowna": 2},
    configuration=GENEROUS,
    has_proxy=True,
)
HEADERS = {"Authorization": "Bearer key-0"}
ORDERS = 8
SERVICES = ("kamloops-service-0", "kamloops-service-1")
NAMES = [f"order-{i}" for i in range(ORDERS)]


def test_order_cut_from_its_agent_runs_once_and_is_answered():
    asyncio.run(
        _cut_each(PLAN, before="kamloops-service-0/data", after="kamloops-service-0")
    )


def test_forwarded_order_cut_from_its_agent_or_peer_runs_once_and_is_answered():
    asyncio.run(
        _cut_each(FAR_PLAN, before="kelowna-service-0/data", after="kelowna-entry-0")
    )


async def _cut_each(plan, *, before, after):
    """Cut a path before the hand-over, and one with answers on their way."""
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
    # Some orders went over the faulty connection and wait; the others are done.
    assert not all(o.done() for o in orders)
    await site.set_rules({"target": target, "flow": "cut"})
    answers = await asyncio.gather(*orders)
    await site.set_rules()
    runs = await _runs(site)
    assert {status for status, _ in answers} == {200}, answers
    assert all(runs.count(name) == 1 for name in names)


def test_order_that_arrives_after_its_deadline_does_not_run():
    asyncio.run(_arrive_late())


async def _arrive_late():
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
        # What was stalled arrives now.
        await site.set_rules()
        await _wait_until_orders_run(site, url)
        assert "late" not in await _runs(site)
        assert len(await _runs(site)) > len(before)


def test_order_of_a_killed_agent_is_unknown_and_not_run_again():
    asyncio.run(_kill_agent())


async def _kill_agent():
    async with Site(plan=PLAN) as site:
        url = site.caller_url("kamloops-entry-0")
        await _wait_until_orders_run(site, url)
        for name in site.back_end_by_name:
            await site.control_back_end(name, {"service_s": 1.0})
        orders = [asyncio.create_task(_order(site, url, name)) for name in NAMES]
        await _until_all_run(site)
        await site.agent_by_name["kamloops-service-0"].kill()
        answers = await asyncio.gather(*orders)
        runs = await _runs(site)
    assert set(answers) == {(200, None), (504, "unknown")}, answers
    assert all(runs.count(name) == 1 for name in NAMES)


async def _until_all_run(site):
    for _ in range(200):
        runs = await _runs(site)
        if all(name in runs for name in NAMES):
            return
        await asyncio.sleep(0.02)
    raise AssertionError(f"only {runs} run")


async def _wait_until_orders_run(site, url):
    """Wait until the agents know the configuration and take orders side by side."""
    for _ in range(100):
        orders = (
            _order(site, url, f"first-{time.monotonic()}-{i}") for i in range(ORDERS)
        )
        answers = await asyncio.gather(*orders)
        if {status for status, _ in answers} == {200}:
            return
        await asyncio.sleep(0.1)
    raise AssertionError("orders are refused")


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
        headers = {names.INCARNATION: f"{1:016x}", names.ATTEMPT: "e.1.1"}
        url = f"http://{agent}/reorder"
        async with site.session.post(url, headers=headers) as response:
            assert response.status == 503
            assert response.headers[names.RAN] == "no"
        assert await _runs(site) == []
