"""A group of real processes: maps switch, ranks die, one map for each step."""

import asyncio

from magnoliagrade.clock import SystemClock
from magnoliagrade_standins.ranks import StepRecord, find_two_maps
from magnoliagrade_standins.ranks.site import GroupSite, group_plan

RANKS = 4
HEADERS = {"Authorization": "Bearer key-0"}
WAIT_S = 40.0
POLL_S = 0.1


def test_group_switches_maps_and_survives_restarts():
    asyncio.run(_switch_and_restart())


async def _switch_and_restart():
    async with GroupSite(plan=group_plan(ranks=RANKS), ranks=RANKS) as site:
        await _wait(site, lambda r: _newest(r, "version") > 1)
        await _complete(site)
        for restart in (_restart_rank, _restart_agent, _restart_both):
            before = await site.group_record()
            generation = _newest(before, "generation")
            await restart(site)
            await _wait(
                site,
                lambda r, old=generation: (
                    _newest(r, "generation") != old and min(r["completed"]) > 5
                ),
            )
            await _complete(site)
        record = await site.group_record()
        assert find_two_maps(StepRecord(**r) for r in record["records"]) is None


async def _restart_rank(site):
    await site.control_rank(1, restart=True)


async def _restart_agent(site):
    await site.restart_agent(2)


async def _restart_both(site):
    await site.control_rank(3, restart=True)
    await site.restart_agent(3)


async def _wait(site, is_reached):
    clock = SystemClock()
    limit = clock.monotonic() + WAIT_S
    while not is_reached(await site.group_record()):
        assert clock.monotonic() < limit, "the group did not come so far"
        await clock.sleep(POLL_S)


async def _complete(site):
    """Have a completion served; refusals while the group forms are retried."""
    clock = SystemClock()
    limit = clock.monotonic() + WAIT_S
    url = site.caller_url("kamloops-entry-0") + "/v1/completions"
    body = {"model": "swatch", "max_tokens": 3, "prompt": "linen"}
    while True:
        async with site.session.post(url, json=body, headers=HEADERS) as response:
            if response.status == 200:
                return
            assert clock.monotonic() < limit, await response.text()
        await clock.sleep(POLL_S)


def _newest(record, field):
    return record["records"][-1][field] if record["records"] else 0
