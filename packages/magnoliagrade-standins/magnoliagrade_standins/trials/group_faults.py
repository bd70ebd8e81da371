"""Trial: faults at random moments while a group switches maps all the time."""

import asyncio
import random

from magnoliagrade.clock import SystemClock
from magnoliagrade.store import HttpStore

from magnoliagrade_standins.ranks import StepRecord, find_map_conflict
from magnoliagrade_standins.ranks.site import GROUP, GroupSite, group_plan
from magnoliagrade_standins.trials.registry import TrialResult, trials

__all__ = ["run_group_faults"]

RANKS = 4
# A day of drift passes in about 90 s, so that each plan finds something to move.
DRIFT = 1000.0
FAULT_FREE_S = 8.0
FROZEN_S = 13.0
FAULT_S = 3.0
STEP_S = 0.02
# Widens the time between an arming and its outcome, in which faults are placed.
SLOW = {"target": "kamloops-rank", "delay_s": 0.03}
HOLD_S = 0.15
HOLD_WAIT_S = 12.0
HOLD_POLL_S = 0.01
RECOVERY_LIMIT_S = 30.0
POLL_S = 0.05


@trials.register("group-faults")
async def run_group_faults(*, seed, only=""):
    """Bring about each fault while maps switch, and check the ranks' own record.

    Parameters
    ----------
    seed : int
        Seed of the moments and of the ranks that are struck.
    only : str
        Name of a single fault; empty means all, in a random order.

    Returns
    -------
    result : TrialResult
        Whether every step had one map, and how long each recovery took.
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
    await _progress(site, clock)
    before = await site.group_record()
    await clock.sleep(FAULT_FREE_S)
    after = await site.group_record()
    stalled_s = after["stall_s"] - before["stall_s"]
    switches = len(_versions(after)) - len(_versions(before))
    result.figures["fault_free_switches"] = switches
    result.figures["fault_free_stall_s"] = stalled_s
    result.check("maps switch without faults", switches >= 3, switches)
    is_short = stalled_s <= STEP_S
    result.check("no stall over one step without faults", is_short, stalled_s)
    await site.set_rules(SLOW)
    names = [only] if only else rng.sample(sorted(_FAULT_BY_NAME), len(_FAULT_BY_NAME))
    for name in names:
        result.figures[f"held.{name}"] = await _hold(site, clock)
        await clock.sleep(rng.uniform(0, HOLD_S))
        await _FAULT_BY_NAME[name](site, clock, rng)
        ended = clock.monotonic()
        is_running = await _progress(site, clock)
        result.check(f"runs again after {name}", is_running)
        seconds = clock.monotonic() - ended
        result.figures[f"recovery_s.{name}"] = seconds
    record = await site.group_record()
    pair = find_map_conflict(StepRecord(**r) for r in record["records"])
    result.check("one map in each step", pair is None, pair or "")
    result.figures["maps_used"] = len(_versions(record))
    result.figures["steps"] = len(record["records"]) / RANKS
    result.figures["generations"] = len({r["generation"] for r in record["records"]})


async def _hold(site, clock):
    """Wait until a rank has armed a switch; return whether one has in time."""
    limit = clock.monotonic() + HOLD_WAIT_S
    while clock.monotonic() < limit:
        if any([await site.hold_step(rank) for rank in range(RANKS)]):
            return True
        await clock.sleep(HOLD_POLL_S)
    return False


async def _progress(site, clock):
    """Wait until every rank completes further steps; return whether they do."""
    limit = clock.monotonic() + RECOVERY_LIMIT_S
    first = len((await site.group_record())["records"])
    while clock.monotonic() < limit:
        if len((await site.group_record())["records"]) >= first + 10 * RANKS:
            return True
        await clock.sleep(POLL_S)
    return False


def _versions(record):
    return {r["version"] for r in record["records"]}


async def _restart_rank(site, clock, rng):
    await site.control_rank(rng.randrange(RANKS), restart=True)


async def _restart_agent(site, clock, rng):
    await site.restart_agent(rng.randrange(RANKS))


async def _restart_both(site, clock, rng):
    rank = rng.randrange(RANKS)
    await site.control_rank(rank, restart=True)
    await site.restart_agent(rank)


async def _restart_two(site, clock, rng):
    ranks = rng.sample(range(RANKS), 2)
    for rank in ranks:
        await site.control_rank(rank, restart=True)
    await asyncio.gather(*(site.restart_agent(rank) for rank in ranks))


async def _restart_all_without_store(site, clock, rng):
    await site.control_platform("faults", {"is_down": True})
    for rank in range(RANKS):
        await site.control_rank(rank, restart=True)
    await asyncio.gather(*(site.restart_agent(rank) for rank in range(RANKS)))
    await clock.sleep(FAULT_S)
    await site.control_platform("faults", {})


async def _stall(site, clock, rng):
    rank = rng.randrange(RANKS)
    await site.control_rank(rank, stall=True)
    await clock.sleep(FAULT_S)
    await site.control_rank(rank, stall=False)


async def _cut(site, clock, rng):
    one, other = rng.sample(range(RANKS), 2)
    cut = {"flow": "cut"}
    await site.set_rules(
        SLOW,
        {"source": _source(site, one), "target": f"{site.name_of(other)}/", **cut},
        {"source": _source(site, other), "target": f"{site.name_of(one)}/", **cut},
    )
    await clock.sleep(FAULT_S)
    await site.set_rules(SLOW)


def _source(site, rank):
    return site.source_of(site.name_of(rank))


async def _store_down(site, clock, rng):
    await site.control_platform("faults", {"is_down": True})
    await clock.sleep(FAULT_S)
    await site.control_platform("faults", {})


async def _freeze_coordinator(site, clock, rng):
    """Freeze the coordinator for longer than its lease and let it wake."""
    store = HttpStore(url=site.platform_url, session=site.session)
    value = await store.get(f"groups/{GROUP}/coordinator", purpose="trial")
    name = value.value.decode() if value else site.name_of(0)
    site.agent_by_name[name].freeze()
    await clock.sleep(FROZEN_S)
    site.agent_by_name[name].thaw()


_FAULT_BY_NAME = {
    "agent-restart": _restart_agent,
    "all-restart-store-down": _restart_all_without_store,
    "both-restart": _restart_both,
    "coordinator-frozen": _freeze_coordinator,
    "cut": _cut,
    "rank-restart": _restart_rank,
    "stall": _stall,
    "store-down": _store_down,
    "two-restart": _restart_two,
}
