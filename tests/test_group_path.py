"""Expert-map switches, rank restarts and shutdown of a group of real processes.

Guards against a step that runs with two expert maps, and against a stream that ends
as complete after a rank restarted.
"""

import asyncio
import json

import aiohttp
from magnoliagrade.clock import SystemClock
from magnoliagrade_standins.engine import expected_text
from magnoliagrade_standins.ranks import StepRecord, find_map_conflict
from magnoliagrade_standins.ranks.site import GroupSite, group_plan

RANKS = 4
HEADERS = {"Authorization": "Bearer key-0"}
PROGRESS_TIMEOUT_S = 40.0
POLL_S = 0.02
DRIFT = 1000.0
TOKENS = 300
STREAM_START_S = 0.5
STREAM_END_TIMEOUT_S = 2.0
# Lengthens the time between arming a switch and its outcome, so that the restarts of
# ranks fall into it.
DELAY_RULE = {"target": "kamloops-rank", "delay_s": 0.03}


def test_each_step_runs_with_one_map_when_ranks_restart_during_a_switch():
    asyncio.run(_switch_and_restart())


async def _switch_and_restart():
    plan = group_plan(ranks=RANKS, policy="greedy", interval_s=0.3)
    options = {"drift": DRIFT}
    async with GroupSite(plan=plan, ranks=RANKS, options=options) as site:
        await site.set_rules(DELAY_RULE)
        await _wait_until(lambda: _newest_version(site), at_least=2)
        for restart in (_restart_rank, _restart_rank_and_agent):
            await _wait_until(lambda: _is_completion_served(site), at_least=1)
            generation = await _generation(site)
            stream = asyncio.create_task(_stream(site))
            await _wait_until(lambda: site.hold_step(0), at_least=1)
            assert not stream.done()
            await restart(site)
            while await _generation(site) == generation:
                await asyncio.sleep(POLL_S)
            await _check_stream(await stream)
            await _wait_until(lambda: _is_completion_served(site), at_least=1)
        record = await site.group_record()
        assert find_map_conflict(StepRecord(**r) for r in record["records"]) is None


def test_rank_that_shuts_down_waits_for_requests_of_all_ranks():
    asyncio.run(_shut_down())


async def _shut_down():
    plan = group_plan(ranks=2, policy="static")
    async with GroupSite(plan=plan, ranks=2) as site:
        await _wait_until(lambda: _is_completion_served(site), at_least=1)
        stream = asyncio.create_task(_stream(site))
        await asyncio.sleep(STREAM_START_S)
        assert not stream.done()
        stops = [asyncio.create_task(a.stop()) for a in site.agent_by_name.values()]
        await asyncio.wait(stops, return_when=asyncio.FIRST_COMPLETED)
        # The rank that does not serve the stream also waits until the stream ends.
        request_id, events = await asyncio.wait_for(stream, STREAM_END_TIMEOUT_S)
        assert events[-1] == b"[DONE]"
        await _check_stream((request_id, events))
        assert await asyncio.gather(*stops) == [0, 0]


async def _restart_rank(site):
    await site.control_rank(1, restart=True)


async def _restart_rank_and_agent(site):
    await site.control_rank(3, restart=True)
    await site.restart_agent(3)


async def _wait_until(read_value, *, at_least):
    clock = SystemClock()
    deadline = clock.monotonic() + PROGRESS_TIMEOUT_S
    while await read_value() < at_least:
        assert clock.monotonic() < deadline, (
            f"still below {at_least} after {PROGRESS_TIMEOUT_S} s"
        )
        await clock.sleep(POLL_S)


async def _newest_version(site):
    records = (await site.group_record())["records"]
    return records[-1]["version"] if records else 0


async def _generation(site):
    return (await site.group_record())["records"][-1]["generation"]


async def _is_completion_served(site):
    """Return whether a short completion is served."""
    url = site.caller_url("kamloops-entry-0") + "/v1/completions"
    body = {"model": "swatch", "max_tokens": 3, "prompt": "linen"}
    async with site.session.post(url, json=body, headers=HEADERS) as response:
        return response.status == 200


async def _stream(site):
    """Return the request id and the events that a stream delivered before its end."""
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


async def _check_stream(result):
    """Check that a stream that ends with [DONE] has all its tokens.

    A stream that was cut off must not end with [DONE].
    """
    request_id, events = result
    if not events or events[-1] != b"[DONE]":
        return
    texts = [json.loads(e)["choices"][0]["delta"]["content"] for e in events[:-1]]
    assert texts == [expected_text(request_id, i) for i in range(TOKENS)]
