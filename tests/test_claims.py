"""At-most-once execution of orders with an idempotency key, with store failures."""

import asyncio

from magnoliagrade_standins.harness import Site, SitePlan, call_service

PLAN = SitePlan(
    entries_by_data_centre={"kamloops": 2},
    services_by_data_centre={"kamloops": 1},
)
ENTRIES = ("kamloops-entry-0", "kamloops-entry-1")
SERVICE = "kamloops-service-0"


def test_copies_sent_through_two_entries_run_once():
    asyncio.run(_send_copies())


async def _send_copies():
    async with Site(plan=PLAN) as site:
        copies = [_order(site, ENTRIES[i % 2], "key-1") for i in range(6)]
        responses = await asyncio.gather(*copies)
        assert len(await _runs(site)) == 1
        codes = {r.code for r in responses if r.status != 200}
        assert codes <= {"ALREADY_CLAIMED"}, responses
        assert [r.status for r in responses].count(200) >= 1
        later = await _send_until_replayed(site, "key-1")
        assert later.body["number"] == 1
        reused = await _order(site, ENTRIES[1], "key-1", body=b"other")
        assert (reused.status, reused.code) == (422, "KEY_REUSED")
        assert len(await _runs(site)) == 1


def test_store_outage_rejects_keyed_orders_and_runs_others():
    asyncio.run(_store_down())


async def _store_down():
    async with Site(plan=PLAN) as site:
        await site.control_platform("faults", {"is_down": True})
        keyed = await _order(site, ENTRIES[0], "key-1")
        assert (keyed.code, keyed.ran) == ("STORE_UNAVAILABLE", "no")
        assert await _runs(site) == []
        plain = await call_service(site, ENTRIES[0])
        assert plain.status == 200
        await site.control_platform("faults", {})
        await _send_until_replayed(site, "key-1")
        assert len(await _runs(site)) == 2


def test_order_runs_once_when_store_responses_are_lost():
    asyncio.run(_lose_responses())


async def _lose_responses():
    async with Site(plan=PLAN) as site:
        for number in range(4):
            await site.control_platform("faults", {"lose_write_answers": 2})
            response = await _order(site, ENTRIES[0], f"key-{number}")
            assert response.status == 200, response
        assert len(await _runs(site)) == 4


async def _send_until_replayed(site, key):
    """Send copies until one gets the recorded response, and return that."""
    for number in range(200):
        response = await _order(site, ENTRIES[number % 2], key)
        if response.status == 200:
            return response
        assert response.code in ("ALREADY_CLAIMED", "STORE_UNAVAILABLE"), response
        await asyncio.sleep(0.05)
    raise AssertionError(f"{key} got no recorded response: {response}")


async def _order(site, entry, key, body=b"3 books"):
    headers = {"Idempotency-Key": key}
    return await call_service(site, entry, body=body, headers=headers)


async def _runs(site):
    return [e["id"] for e in (await site.record(SERVICE))["executions"]]
