"""Faults that the trial of outcomes injects while orders arrive."""

import asyncio

from magnoliagrade.registry import Registry

__all__ = ["faults"]

FAULT_DURATION_S = 0.7
SERVICE = "kamloops-service-0"

faults = Registry(family="fault")


@faults.register("none")
async def inject_no_fault(site, rng):
    """Inject no fault: the baseline."""


@faults.register("link-cut-before")
async def cut_before_delivery(site, rng):
    """Cut the data connections to an agent before it receives their requests."""
    await _stall_and_cut(site, f"{SERVICE}/data", "stall-to-target")


@faults.register("link-cut-during")
async def cut_during_delivery(site, rng):
    """Cut the data connections to an agent six times at random intervals."""
    for _ in range(6):
        await site.set_rules({"target": f"{SERVICE}/data", "flow": "cut"})
        await asyncio.sleep(rng.uniform(0.01, 0.05))
        await site.set_rules()
        await asyncio.sleep(rng.uniform(0.05, 0.15))


@faults.register("link-cut-after")
async def cut_after_delivery(site, rng):
    """Cut the data connections to an agent before its responses reach the entry."""
    await _stall_and_cut(site, f"{SERVICE}/data", "stall-from-target")


@faults.register("both-links-cut")
async def cut_data_and_control_links(site, rng):
    """Cut an agent's data and control connections while responses are in transit."""
    await site.set_rules({"target": f"{SERVICE}/data", "flow": "stall-from-target"})
    await asyncio.sleep(0.2)
    await site.set_rules({"target": SERVICE, "flow": "cut"})
    await asyncio.sleep(FAULT_DURATION_S)
    await site.set_rules()


@faults.register("peer-link-cut")
async def cut_peer_link(site, rng):
    """Cut forwarding between data centres while responses are in transit."""
    await _stall_and_cut(site, "kamloops-entry", "stall-from-target")


@faults.register("entry-killed")
async def kill_entry(site, rng):
    """Kill an entry and start it again."""
    entry = site.entry_by_name["kamloops-entry-1"]
    await entry.kill()
    await asyncio.sleep(FAULT_DURATION_S)
    await site.start_listed(entry, "entry")


@faults.register("agent-killed")
async def kill_agent(site, rng):
    """Kill an agent and start it again."""
    agent = site.agent_by_name[SERVICE]
    await agent.kill()
    await asyncio.sleep(FAULT_DURATION_S)
    await site.start_listed(agent, "agent")


@faults.register("agent-frozen")
async def freeze_agent(site, rng):
    """Freeze an agent for `FAULT_DURATION_S`, then let it continue."""
    agent = site.agent_by_name[SERVICE]
    agent.freeze()
    await asyncio.sleep(FAULT_DURATION_S)
    agent.thaw()


@faults.register("service-killed")
async def kill_service(site, rng):
    """Kill a plain service and start it again."""
    await site.back_end_by_name[SERVICE].kill()
    await asyncio.sleep(FAULT_DURATION_S)
    await site.restart_back_end(SERVICE)


@faults.register("store-answers-lost")
async def lose_store_responses(site, rng):
    """Let writes to the store take effect while their responses are lost."""
    for _ in range(8):
        await site.control_platform("faults", {"lose_write_answers": 2})
        await asyncio.sleep(0.1)
    await site.control_platform("faults", {})


@faults.register("store-slow")
async def slow_store(site, rng):
    """Add a latency of 0.5 s to each call to the store."""
    await site.control_platform("faults", {"latency_s": 0.5})
    await asyncio.sleep(1.5)
    await site.control_platform("faults", {})


@faults.register("store-down")
async def stop_store(site, rng):
    """Make the store unavailable for 2 s."""
    await site.control_platform("faults", {"is_down": True})
    await asyncio.sleep(2.0)
    await site.control_platform("faults", {})


@faults.register("agent-killed-and-store-answers-lost")
async def kill_agent_and_lose_store_responses(site, rng):
    """Kill an agent while responses to writes to the store are lost."""
    await asyncio.gather(kill_agent(site, rng), lose_store_responses(site, rng))


@faults.register("entry-killed-and-link-cut-after")
async def kill_entry_and_cut_after_delivery(site, rng):
    """Kill an entry while the data connections to an agent are cut."""
    await asyncio.gather(kill_entry(site, rng), cut_after_delivery(site, rng))


async def _stall_and_cut(site, target, flow):
    await site.set_rules({"target": target, "flow": flow})
    await asyncio.sleep(FAULT_DURATION_S)
    await site.set_rules({"target": target, "flow": "cut"})
    await asyncio.sleep(0.05)
    await site.set_rules()
