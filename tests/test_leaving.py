"""An endpoint or data centre that is taken out of service gets no new work.

Guards against work that is still sent because the instance list lags, the store is
unreachable or an entry is cut off.
"""

import asyncio

from magnoliagrade.clock import SystemClock
from magnoliagrade_standins.harness import (
    CONFIGURATION,
    Site,
    SitePlan,
    call_until,
)

NO_NEW_WORK_AFTER_S = 3.0
EVACUATED = "\n[data_centre {name}]\nlabels = state=out\n"


def _plan():
    return SitePlan(
        entries_by_data_centre={"kamloops": 2, "kelowna": 1},
        services_by_data_centre={"kamloops": 2, "kelowna": 1},
        has_proxy=True,
    )


async def _executions_after(site, name, at):
    record = await site.record(name)
    return [e for e in record["executions"] if e["at"] > at]


def test_agent_that_shuts_down_gets_no_new_work_while_the_instance_list_lags():
    async def main():
        clock = SystemClock()
        async with Site(plan=_plan()) as site:
            await site.control_platform("lag", {"lag_s": 30.0})
            calls = asyncio.create_task(
                call_until(
                    site, clock, clock.monotonic() + 3, entries=list(site.entry_by_name)
                )
            )
            await clock.sleep(1)
            leaving_at = clock.monotonic()
            assert await site.agent_by_name["kamloops-service-0"].stop() == 0
            outcomes = await calls
            assert [o for o in outcomes if not o.is_served] == []
            last_allowed_at = leaving_at + NO_NEW_WORK_AFTER_S
            assert (
                await _executions_after(site, "kamloops-service-0", last_allowed_at)
                == []
            )
            assert await _executions_after(site, "kamloops-service-1", leaving_at)

    asyncio.run(main())


def test_agent_listed_as_leaving_only_by_the_platform_gets_no_new_work():
    async def main():
        clock = SystemClock()
        async with Site(plan=_plan()) as site:
            agent = site.agent_by_name["kamloops-service-0"]
            await site.list_instance(
                "kamloops-service-0", agent, "agent", "kamloops", state="leaving"
            )
            leaving_at = clock.monotonic()
            until = leaving_at + NO_NEW_WORK_AFTER_S + 1
            outcomes = await call_until(
                site, clock, until, entries=list(site.entry_by_name)
            )
            assert [o for o in outcomes if not o.is_served] == []
            last_allowed_at = leaving_at + NO_NEW_WORK_AFTER_S
            assert (
                await _executions_after(site, "kamloops-service-0", last_allowed_at)
                == []
            )

    asyncio.run(main())


def test_evacuated_data_centre_gets_no_work_when_one_entry_reaches_the_store():
    async def main():
        clock = SystemClock()
        async with Site(plan=_plan()) as site:
            await site.set_rules(
                {"target": "platform", "flow": "cut"},
                {
                    "source": site.source_of("kelowna-entry-0"),
                    "target": "platform",
                    "flow": "pass",
                },
            )
            # Waits until the cut has ended the watches, so that their end does not
            # propagate the change.
            await clock.sleep(0.5)
            text = CONFIGURATION + EVACUATED.format(name="kamloops")
            await site.repository.apply(text, author="operator")
            evacuated_at = clock.monotonic()
            # kelowna's entry has the change by now; the store then goes down for all.
            await clock.sleep(0.5)
            await site.control_platform("faults", {"is_down": True})
            until = evacuated_at + NO_NEW_WORK_AFTER_S + 1
            outcomes = await call_until(
                site, clock, until, entries=list(site.entry_by_name)
            )
            assert [o for o in outcomes if not o.is_served] == []
            last_allowed_at = evacuated_at + NO_NEW_WORK_AFTER_S
            for name in ("kamloops-service-0", "kamloops-service-1"):
                assert await _executions_after(site, name, last_allowed_at) == []
            assert await _executions_after(site, "kelowna-service-0", last_allowed_at)

    asyncio.run(main())


def test_agents_of_evacuated_data_centre_reject_work_of_an_isolated_entry():
    async def main():
        clock = SystemClock()
        async with Site(plan=_plan()) as site:
            isolated_entry = site.source_of("kamloops-entry-0")
            await site.set_rules(
                {"source": isolated_entry, "target": "platform", "flow": "cut"},
                {"source": isolated_entry, "target": "kamloops-entry", "flow": "cut"},
                {"source": isolated_entry, "target": "kelowna-entry", "flow": "cut"},
                {"target": "kamloops-entry-0/control", "flow": "cut"},
            )
            text = CONFIGURATION + EVACUATED.format(name="kamloops")
            await site.repository.apply(text, author="operator")
            evacuated_at = clock.monotonic()
            until = evacuated_at + NO_NEW_WORK_AFTER_S + 1
            outcomes = await call_until(
                site, clock, until, entries=["kamloops-entry-0"], rate_per_s=20
            )
            last_allowed_at = evacuated_at + NO_NEW_WORK_AFTER_S
            ran = 0
            for name in ("kamloops-service-0", "kamloops-service-1"):
                assert await _executions_after(site, name, last_allowed_at) == []
                ran += len((await site.record(name))["executions"])
            assert ran == len([o for o in outcomes if o.is_served])
            assert {o.ran for o in outcomes if not o.is_served} <= {"no"}

    asyncio.run(main())
