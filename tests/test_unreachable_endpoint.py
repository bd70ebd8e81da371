"""An endpoint that refuses connections gets no work until it accepts them again."""

import asyncio

from magnoliagrade_standins.harness import Site, SitePlan, call_service

PLAN = SitePlan(
    entries_by_data_centre={"kamloops": 1},
    services_by_data_centre={"kamloops": 2},
    has_proxy=True,
)
ENTRY = "kamloops-entry-0"
SERVICE = "kamloops-service-0"


def test_endpoint_refusing_connections_is_ejected_and_gets_work_after_restart():
    asyncio.run(_kill_and_restart())


async def _kill_and_restart():
    async with Site(plan=PLAN) as site:
        await _wait_until_it_gets_work(site)
        await site.back_end_by_name[SERVICE].kill()
        # If the endpoint still got work, the retry budget (3 plus a tenth of the
        # requests) would not suffice.
        responses = [await _lookup(site) for _ in range(60)]
        assert {response.status for response in responses} == {200}
        await site.restart_back_end(SERVICE)
        await _wait_until_it_gets_work(site)


async def _wait_until_it_gets_work(site):
    count_before = len(site.journal(SERVICE))
    for _ in range(200):
        await _lookup(site)
        if len(site.journal(SERVICE)) > count_before:
            return
        await asyncio.sleep(0.05)
    raise AssertionError(f"{SERVICE} got no request in 200 lookups")


async def _lookup(site):
    return await call_service(site, ENTRY, method="GET", path="/orders/stock")
