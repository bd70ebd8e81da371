"""Trial: faults at random times while a group keeps switching expert maps."""

import asyncio
import random

from magnoliagrade.clock import SystemClock
from magnoliagrade.store import HttpStore

from magnoliagrade_standins.ranks import StepRecord, find_map_conflict
from magnoliagrade_standins.ranks.site import GROUP, GroupSite, group_plan
from magnoliagrade_standins.trials.registry import TrialResult, trials

__all__ = ["run_group_faults"]

RANKS = 4
# Time runs 1,000 times as fast for the drift of the load: a day of it passes in
# about 90 s, so that each plan moves experts.
DRIFT = 1000.0
FAULT_FREE_DURATION_S = 8.0
FREEZE_DURATION_S = 13.0
FAULT_DURATION_S = 3.0
STEP_S = 0.02
# Delays traffic to ranks, which widens the interval between the arming of a switch
# and its outcome, in which faults are injected.
SLOW_LINK_RULE = {"target": "kamloops-rank", "delay_s": 0.03}
MAX_FAULT_DELAY_S = 0.15
HOLD_TIMEOUT_S = 12.0
HOLD_POLL_INTERVAL_S = 0.01
RECOVERY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05


@trials.register("group-faults")
async def run_group_faults(*, seed, only=""):
    """Inject each fault while maps switch and check the ranks' record of steps.

    Parameters
    ----------
    seed : int
        Seed of the times of faults and of the ranks that they affect.
    only : str
        Name of a single fault; empty means all in random order.

    Returns
    -------
    result : TrialResult
        Whether all ranks used one map in every step, and the time of each recovery.
    """
    rng = random.Random(seed)
    result = TrialResult(trial="group-faults", seed=seed)
    plan = group_plan(ranks=RANKS, policy="greedy", interval_s=0.3)
    options = {"drift": DRIFT, "seed": seed, "step_s": STEP_S}
    async with GroupSite(plan=plan, ranks=RANKS, options=options) as site:
        await _run(site, rng, result, only)
    return result


async def _run(site, rng, result, only):
    clock = SystemClock()
    await _wait_for_progress(site, clock)
    before = await site.group_record()
    await clock.sleep(FAULT_FREE_DURATION_S)
    after = await site.group_record()
    stalled_s = after["stall_s"] - before["stall_s"]
    switches = len(_map_versions(after)) - len(_map_versions(before))
    result.figures["fault_free_switches"] = switches
    result.figures["fault_free_stall_s"] = stalled_s
    result.check("maps switch without faults", switches >= 3, switches)
    is_within_step = stalled_s <= STEP_S
    result.check("no stall over one step without faults", is_within_step, stalled_s)
    await site.set_rules(SLOW_LINK_RULE)
    names = [only] if only else rng.sample(sorted(_FAULT_BY_NAME), len(_FAULT_BY_NAME))
    for name in names:
        result.figures[f"held.{name}"] = await _hold_armed_step(site, clock)
        await clock.sleep(rng.uniform(0, MAX_FAULT_DELAY_S))
        await _FAULT_BY_NAME[name](site, clock, rng)
        ended_at = clock.monotonic()
        is_running = await _wait_for_progress(site, clock)
        result.check(f"runs again after {name}", is_running)
        recovery_s = clock.monotonic() - ended_at
        result.figures[f"recovery_s.{name}"] = recovery_s
    record = await site.group_record()
    pair = find_map_conflict(StepRecord(**r) for r in record["records"])
    result.check("one map in each step", pair is None, pair or "")
    result.figures["maps_used"] = len(_map_versions(record))
    result.figures["steps"] = len(record["records"]) / RANKS
    result.figures["generations"] = len({r["generation"] for r in record["records"]})


async def _hold_armed_step(site, clock):
    """Wait until a rank holds an armed switch; return False after the timeout."""
    deadline = clock.monotonic() + HOLD_TIMEOUT_S
    while clock.monotonic() < deadline:
        if any([await site.hold_step(rank) for rank in range(RANKS)]):
            return True
        await clock.sleep(HOLD_POLL_INTERVAL_S)
    return False


async def _wait_for_progress(site, clock):
    """Wait until the group completes ten steps; return False after the timeout."""
    deadline = clock.monotonic() + RECOVERY_TIMEOUT_S
    first = len((await site.group_record())["records"])
    while clock.monotonic() < deadline:
        if len((await site.group_record())["records"]) >= first + 10 * RANKS:
            return True
        await clock.sleep(POLL_INTERVAL_S)
    return False


def _map_versions(record):
    return {r["version"] for r in record["records"]}


async def _restart_rank(site, clock, rng):
    await site.control_rank(rng.randrange(RANKS), restart=True)


async def _restart_agent(site, clock, rng):
    await site.restart_agent(rng.randrange(RANKS))


async def _restart_rank_and_agent(site, clock, rng):
    rank = rng.randrange(RANKS)
    await site.control_rank(rank, restart=True)
    await site.restart_agent(rank)


async def _restart_two_ranks_and_agents(site, clock, rng):
    ranks = rng.sample(range(RANKS), 2)
    for rank in ranks:
        await site.control_rank(rank, restart=True)
    await asyncio.gather(*(site.restart_agent(rank) for rank in ranks))


async def _restart_all_while_store_is_down(site, clock, rng):
    await site.control_platform("faults", {"is_down": True})
    for rank in range(RANKS):
        await site.control_rank(rank, restart=True)
    await asyncio.gather(*(site.restart_agent(rank) for rank in range(RANKS)))
    await clock.sleep(FAULT_DURATION_S)
    await site.control_platform("faults", {})


async def _stall_rank(site, clock, rng):
    rank = rng.randrange(RANKS)
    await site.control_rank(rank, stall=True)
    await clock.sleep(FAULT_DURATION_S)
    await site.control_rank(rank, stall=False)


async def _cut_between_ranks(site, clock, rng):
    one, other = rng.sample(range(RANKS), 2)
    cut = {"flow": "cut"}
    await site.set_rules(
        SLOW_LINK_RULE,
        {
            "source": _source_of_rank(site, one),
            "target": f"{site.name_of(other)}/",
            **cut,
        },
        {
            "source": _source_of_rank(site, other),
            "target": f"{site.name_of(one)}/",
            **cut,
        },
    )
    await clock.sleep(FAULT_DURATION_S)
    await site.set_rules(SLOW_LINK_RULE)


def _source_of_rank(site, rank):
    return site.source_of(site.name_of(rank))


async def _stop_store(site, clock, rng):
    await site.control_platform("faults", {"is_down": True})
    await clock.sleep(FAULT_DURATION_S)
    await site.control_platform("faults", {})


async def _freeze_coordinator(site, clock, rng):
    """Freeze the coordinator for longer than its lease, then let it continue."""
    store = HttpStore(url=site.platform_url, session=site.session)
    item = await store.get(f"groups/{GROUP}/coordinator", purpose="trial")
    name = item.value.decode() if item else site.name_of(0)
    site.agent_by_name[name].freeze()
    await clock.sleep(FREEZE_DURATION_S)
    site.agent_by_name[name].thaw()


_FAULT_BY_NAME = {
    "agent-restart": _restart_agent,
    "all-restart-store-down": _restart_all_while_store_is_down,
    "both-restart": _restart_rank_and_agent,
    "coordinator-frozen": _freeze_coordinator,
    "cut": _cut_between_ranks,
    "rank-restart": _restart_rank,
    "stall": _stall_rank,
    "store-down": _stop_store,
    "two-restart": _restart_two_ranks_and_agents,
}
