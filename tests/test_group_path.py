"""A group of real processes: maps switch, ranks die, one map for each step."""

import asyncio
import json

import aiohttp
from magnoliagrade.clock import SystemClock
from magnoliagrade_standins.engine import expected_text
from magnoliagrade_standins.ranks import StepRecord, find_map_conflict
from magnoliagrade_standins.ranks.site import GroupSite, group_plan

RANKS = 4
HEADERS = {"Authorization": "Bearer key-0"}
WAIT_S = 40.0
POLL_S = 0.02
DRIFT = 1000.0
TOKENS = 300
BEGUN_S = 0.5
LAST_TOKENS_S = 2.0
# Widens the time between an arming and its outcome, in which ranks are struck.
SLOW = {"target": "kamloops-rank", "delay_s": 0.03}


def test_group_switches_maps_and_survives_restarts_in_mid_switch():
    asyncio.run(_switch_and_restart())


async def _switch_and_restart():
    plan = group_plan(ranks=RANKS, policy="greedy", interval_s=0.3)
    options = {"drift": DRIFT}
    async with GroupSite(plan=plan, ranks=RANKS, options=options) as site:
        await site.set_rules(SLOW)
        await _until(lambda: _newest_version(site), at_least=2)
        for restart in (_restart_rank, _restart_both):
            await _until(lambda: _complete(site), at_least=1)
            generation = await _generation(site)
            stream = asyncio.create_task(_stream(site))
            await _until(lambda: site.hold_step(0), at_least=1)
            assert not stream.done()
            await restart(site)
            while await _generation(site) == generation:
                await asyncio.sleep(POLL_S)
            await _check_stream(await stream)
            await _until(lambda: _complete(site), at_least=1)
        record = await site.group_record()
        assert find_map_conflict(StepRecord(**r) for r in record["records"]) is None


def test_leaving_rank_waits_for_the_requests_of_all_ranks():
    asyncio.run(_leave())


async def _leave():
    plan = group_plan(ranks=2, policy="static")
    async with GroupSite(plan=plan, ranks=2) as site:
        await _until(lambda: _complete(site), at_least=1)
        stream = asyncio.create_task(_stream(site))
        await asyncio.sleep(BEGUN_S)
        assert not stream.done()
        stops = [asyncio.create_task(a.stop()) for a in site.agent_by_name.values()]
        await asyncio.wait(stops, return_when=asyncio.FIRST_COMPLETED)
        # Also the rank that does not serve the stream has waited for its end.
        request_id, events = await asyncio.wait_for(stream, LAST_TOKENS_S)
        assert events[-1] == b"[DONE]"
        await _check_stream((request_id, events))
        assert await asyncio.gather(*stops) == [0, 0]


async def _restart_rank(site):
    await site.control_rank(1, restart=True)


async def _restart_both(site):
    await site.control_rank(3, restart=True)
    await site.restart_agent(3)


async def _until(read, *, at_least):
    clock = SystemClock()
    limit = clock.monotonic() + WAIT_S
    while await read() < at_least:
        assert clock.monotonic() < limit, "the group did not come so far"
        await clock.sleep(POLL_S)


async def _newest_version(site):
    records = (await site.group_record())["records"]
    return records[-1]["version"] if records else 0


async def _generation(site):
    return (await site.group_record())["records"][-1]["generation"]


async def _complete(site):
    """Return whether a short completion is served."""
    url = site.caller_url("kamloops-entry-0") + "/v1/completions"
    body = {"model": "swatch", "max_tokens": 3, "prompt": "linen"}
    async with site.session.post(url, json=body, headers=HEADERS) as response:
        return response.status == 200


async def _stream(site):
    """Return the request id and the events of a stream, as far as it came."""
    url = site.caller_url("kamloops-entry-0") + "/v1/completions"
    body = {"model": "swatch", "stream": True, "max_tokens": TOKENS, "prompt": "linen"}
    events = []
    async with site.session.post(url, json=body, headers=HEADERS) as response:
        try:
            async for line in response.content:
                if line.startswith(b"data: "):
                    events.append(line[6:].strip())
        except aiohttp.ClientError:
            pass
        return response.headers.get("X-Request-Id"), events


async def _check_stream(answer):
    """Check that a broken stream did not end as if it were whole."""
    request_id, events = answer
    if not events or events[-1] != b"[DONE]":
        return
    texts = [json.loads(e)["choices"][0]["delta"]["content"] for e in events[:-1]]
    assert texts == [expected_text(request_id, i) for i in range(TOKENS)]
