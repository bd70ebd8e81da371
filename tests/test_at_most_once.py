"""Orders whose connection to the agent is lost before and during the hand-over."""

import asyncio

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


def test_order_cut_before_the_hand_over_runs_once_elsewhere():
    asyncio.run(_cut("kamloops-service-0/data", "stall-to-target", PLAN))


def test_order_cut_after_the_hand_over_gets_the_answer_of_its_one_run():
    asyncio.run(_cut("kamloops-service-0/data", "stall-from-target", PLAN))


def test_forwarded_order_cut_before_its_agent_runs_once_elsewhere():
    asyncio.run(_cut("kelowna-service-0/data", "stall-to-target", FAR_PLAN))


def test_forwarded_order_cut_after_its_peer_gets_the_answer_of_its_one_run():
    asyncio.run(_cut("kelowna-entry-0/data", "stall-from-target", FAR_PLAN))


async def _cut(target, flow, plan):
    async with Site(plan=plan) as site:
        url = site.caller_url("kamloops-entry-0")
        await _wait_until_orders_run(site, url)
        await site.set_rules({"target": target, "flow": flow})
        orders = [asyncio.create_task(_order(site, url, i)) for i in range(ORDERS)]
        await asyncio.sleep(0.5)
        # Some orders went over the faulty connection and wait; the others are done.
        assert not all(o.done() for o in orders)
        await site.set_rules({"target": target, "flow": "cut"})
        answers = await asyncio.gather(*orders)
        runs = await _runs(site)
    assert {status for status, _ in answers} == {200}, answers
    assert all(runs.count(f"order-{i}") == 1 for i in range(ORDERS))


def test_order_of_a_killed_agent_is_unknown_and_not_run_again():
    asyncio.run(_kill_agent())


async def _kill_agent():
    async with Site(plan=PLAN) as site:
        url = site.caller_url("kamloops-entry-0")
        await _wait_until_orders_run(site, url)
        for name in site.back_end_by_name:
            await site.control_back_end(name, {"service_s": 1.0})
        orders = [asyncio.create_task(_order(site, url, i)) for i in range(ORDERS)]
        await _until_all_run(site)
        await site.agent_by_name["kamloops-service-0"].kill()
        answers = await asyncio.gather(*orders)
        runs = await _runs(site)
    assert set(answers) == {(200, None), (504, "unknown")}, answers
    assert all(runs.count(f"order-{i}") == 1 for i in range(ORDERS))


async def _until_all_run(site):
    for _ in range(200):
        runs = await _runs(site)
        if all(f"order-{i}" in runs for i in range(ORDERS)):
            return
        await asyncio.sleep(0.02)
    raise AssertionError(f"only {runs} run")


async def _wait_until_orders_run(site, url):
    """Wait until the agents know the configuration and take orders side by side."""
    for turn in range(100):
        orders = (_order(site, url, f"first-{turn}-{i}") for i in range(ORDERS))
        answers = await asyncio.gather(*orders)
        if {status for status, _ in answers} == {200}:
            return
        await asyncio.sleep(0.1)
    raise AssertionError("orders are refused")


async def _order(site, url, number):
    headers = {**HEADERS, "X-Request-Id": f"order-{number}"}
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
