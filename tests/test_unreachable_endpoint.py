"""An endpoint that refuses connections gets no work until it takes them again."""

import asyncio

from magnoliagrade_standins.harness import Site, SitePlan, call_service

PLAN = SitePlan(
    entries_by_data_centre={"kamloops": 1},
    services_by_data_centre={"kamloops": 2},
    has_proxy=True,
)
ENTRY = "kamloops-entry-0"
SERVICE = "kamloops-service-0"


def test_dead_endpoint_is_left_out_and_comes_back():
    asyncio.run(_kill_and_restart())


async def _kill_and_restart():
    async with Site(plan=PLAN) as site:
        await _until_it_runs(site)
        await site.back_end_by_name[SERVICE].kill()
        # More than the retry budget could carry: 3 and a tenth of the requests.
        answers = [await _lookup(site) for _ in range(60)]
        assert {a.status for a in answers} == {200}
        await site.restart_back_end(SERVICE)
        await _until_it_runs(site)


async def _until_it_runs(site):
    before = len(site.journal(SERVICE))
    for _ in range(200):
        await _lookup(site)
        if len(site.journal(SERVICE)) > before:
            return
        await asyncio.sleep(0.05)
    raise AssertionError(f"{SERVICE} gets no work")


async def _lookup(site):
    return await call_service(site, ENTRY, method="GET", path="/orders/stock")
