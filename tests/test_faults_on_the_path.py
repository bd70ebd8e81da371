"""An order whose local agent is unreachable behind the fault proxy."""

import asyncio

from magnoliagrade_standins.harness import Site, SitePlan

PLAN = SitePlan(
    entries_by_data_centre={"kamloops": 1, "kelowna": 1},
    services_by_data_centre={"kamloops": 1, "kelowna": 1},
    has_proxy=True,
)
HEADERS = {"Authorization": "Bearer key-0"}


def test_order_runs_in_remote_data_centre_when_local_agent_is_unreachable():
    asyncio.run(_order_with_local_agent_cut())


async def _order_with_local_agent_cut():
    async with Site(plan=PLAN) as site:
        await site.set_rules(
            {
                "source": site.source_of("kamloops-entry-0"),
                "target": "kamloops-service-0",
                "flow": "cut",
            }
        )
        url = site.caller_url("kamloops-entry-0")
        response_body = await _order(site, url)
        local = await site.record("kamloops-service-0")
        remote = await site.record("kelowna-service-0")
        assert local["executions"] == []
        assert [e["id"] for e in remote["executions"]] == [response_body["id"]]


async def _order(site, url):
    async with site.session.post(f"{url}/orders/reorder", headers=HEADERS) as response:
        assert response.status == 200, await response.text()
        return await response.json()
