"""Network partitions between data centres, in one direction and in both."""

import asyncio

from magnoliagrade.clock import SystemClock
from magnoliagrade_standins.harness import Site, SitePlan, call_service, call_until

DATA_CENTRES = ("kamloops", "kelowna", "vernon")
RELINK_TIMEOUT_S = 20.0


def _plan():
    return SitePlan(
        entries_by_data_centre=dict.fromkeys(DATA_CENTRES, 1),
        services_by_data_centre=dict.fromkeys(DATA_CENTRES, 1),
        has_proxy=True,
    )


async def _peers_of(site, entry):
    address = site.entry_by_name[entry].addresses["admin"]
    async with site.session.get(f"http://{address}/status") as response:
        status = await response.json()
    return {p["data_centre"] for p in status["peers"]}


async def _wait_for_peers(site, clock, entry, expected):
    deadline = clock.monotonic() + RELINK_TIMEOUT_S
    while (peers := await _peers_of(site, entry)) != expected:
        assert clock.monotonic() < deadline, f"{entry} has peers {peers}"
        await clock.sleep(0.1)


def test_data_centres_serve_requests_during_a_two_way_partition():
    async def main():
        clock = SystemClock()
        async with Site(plan=_plan()) as site:
            local_source = site.source_of("kamloops")
            others = [n for n in DATA_CENTRES if n != "kamloops"]
            cuts = [
                {"source": local_source, "target": n, "flow": "cut"} for n in others
            ]
            cuts += [
                {"source": site.source_of(n), "target": "kamloops", "flow": "cut"}
                for n in others
            ]
            cuts.append({"source": local_source, "target": "platform", "flow": "cut"})
            await site.set_rules(*cuts)
            until = clock.monotonic() + 2
            entries = list(site.entry_by_name)
            outcomes = await call_until(site, clock, until, entries=entries)
            assert [o for o in outcomes if not o.is_served] == []
            await _wait_for_peers(site, clock, "kamloops-entry-0", set())
            await _wait_for_peers(site, clock, "kelowna-entry-0", {"vernon"})
            await site.set_rules()
            await _wait_for_peers(site, clock, "kamloops-entry-0", set(others))

    asyncio.run(main())


def test_one_way_partition_ends_the_link_and_work_goes_to_a_third_data_centre():
    async def main():
        clock = SystemClock()
        async with Site(plan=_plan()) as site:
            local_source = site.source_of("kamloops")
            # Drops data from kamloops to kelowna on connections opened by either side.
            await site.set_rules(
                {
                    "source": local_source,
                    "target": "kelowna",
                    "flow": "stall-to-target",
                },
                {
                    "source": site.source_of("kelowna"),
                    "target": "kamloops",
                    "flow": "stall-from-target",
                },
            )
            expected = {"vernon"}
            await _wait_for_peers(site, clock, "kamloops-entry-0", expected)
            await site.agent_by_name["kamloops-service-0"].stop()
            outcome = await call_service(site, "kamloops-entry-0")
            assert outcome.is_served
            record = await site.record("vernon-service-0")
            assert [e["id"] for e in record["executions"]] == [outcome.request_id]

    asyncio.run(main())


def test_agent_restarted_while_the_platform_is_unreachable_gets_work_again():
    async def main():
        clock = SystemClock()
        async with Site(plan=_plan()) as site:
            await site.set_rules({"target": "platform", "flow": "cut"})
            agent = site.agent_by_name["kamloops-service-0"]
            await agent.kill()
            await site.start_listed(agent, "agent")
            deadline = clock.monotonic() + RELINK_TIMEOUT_S
            while not (await site.record("kamloops-service-0"))["executions"]:
                assert clock.monotonic() < deadline
                outcome = await call_service(site, "kamloops-entry-0")
                assert outcome.is_served or outcome.ran == "no"
                await clock.sleep(0.1)

    asyncio.run(main())
