"""Cost of the restart of an entry, to itself and to the other instances."""

import asyncio
from dataclasses import dataclass

from magnoliagrade.clock import SystemClock

from magnoliagrade_standins.harness import SitePlan
from magnoliagrade_standins.slopes.measuring import (
    SETTLE_S,
    SlopeSite,
    usage_by_instance,
)
from magnoliagrade_standins.slopes.processes import read_process
from magnoliagrade_standins.slopes.sizes import Size

__all__ = ["RESTART_ENTRIES", "RestartCost", "measure_restart"]

# Numbers of entries in the data centre that a restart is measured at.
RESTART_ENTRIES = (3, 7, 20)
AGENTS = 5
ORGANISATIONS = 6800
# Time over which usage is measured at rest, and again after the entry is ready.
OBSERVATION_S = 5.0
# Interval between polls of the readiness check.
POLL_INTERVAL_S = 0.05
# Time after which readiness is no longer waited for.
READY_TIMEOUT_S = 30.0


@dataclass(slots=True, kw_only=True)
class RestartCost:
    """Cost of one restart.

    Parameters
    ----------
    links : float
        Links of the restarted entry.
    ready_s : float
        Seconds from the start of the process until it was ready.
    messages : float
        Control messages that the entry sent and received from its start until the
        end of the measurement, `OBSERVATION_S` after it was ready.
    kilobytes_in, kilobytes_out : float
        Size of these messages in kB, received and sent.
    store_calls : float
        Calls of the entry to the store in the same time.
    cpu_s : float
        Processor time of the entry in seconds, including the start of the
        interpreter.
    peer_messages : float
        Messages that another instance sent and received beyond its rate at rest,
        as a mean over the other instances.
    """

    links: float
    ready_s: float
    messages: float
    kilobytes_in: float
    kilobytes_out: float
    store_calls: float
    cpu_s: float
    peer_messages: float


async def measure_restart(*, entries):
    """Kill one entry, start it again and return the cost of the restart.

    Parameters
    ----------
    entries : int
        Number of entries in the only data centre.

    Returns
    -------
    cost : RestartCost
        Cost to the restarted entry and to the other instances.
    """
    size = Size(family="restart", value=entries, organisations=ORGANISATIONS)
    plan = SitePlan(
        entries_by_data_centre={"dc0": entries},
        engines_by_data_centre={"dc0": AGENTS},
        configuration=size.configuration(),
    )
    async with SlopeSite(plan=plan) as site:
        await asyncio.sleep(SETTLE_S)
        at_rest = await usage_by_instance(site, asyncio.sleep(OBSERVATION_S))
        # Excludes the restarted entry, because its counters start again at zero.
        name, process = site.entry_by_name.popitem()
        ready = {}
        during_restart = await usage_by_instance(
            site, _restart(site, name, process, ready)
        )
        address = process.addresses["admin"]
        reading = await read_process(process.process.pid, site.session, address)
        site.entry_by_name[name] = process
    return _restart_cost(
        reading, ready["s"], ready["window_s"], at_rest, during_restart
    )


async def _restart(site, name, process, ready):
    clock = SystemClock()
    kill_started_at = clock.monotonic()
    await process.kill()
    start = clock.monotonic()
    await site.start_listed(process, "entry")
    url = f"http://{process.addresses['admin']}/readyz"
    while clock.monotonic() - start < READY_TIMEOUT_S:
        async with site.session.get(url) as response:
            if response.status == 200:
                break
        await asyncio.sleep(POLL_INTERVAL_S)
    ready["s"] = clock.monotonic() - start
    await asyncio.sleep(OBSERVATION_S)
    ready["window_s"] = clock.monotonic() - kill_started_at


def _restart_cost(reading, ready_s, window_s, at_rest, during_restart):
    value = reading.value_by_metric
    extra_messages = [
        (_messages(during_restart[key]) - _messages(at_rest[key])) * window_s
        for key in during_restart
    ]
    return RestartCost(
        links=value["magnoliagrade_links"],
        ready_s=ready_s,
        messages=value["magnoliagrade_link_messages_in"]
        + value["magnoliagrade_link_messages_out"],
        kilobytes_in=value["magnoliagrade_link_bytes_in"] / 1000,
        kilobytes_out=value["magnoliagrade_link_bytes_out"] / 1000,
        store_calls=value["magnoliagrade_store_calls_total"],
        cpu_s=reading.cpu_s,
        peer_messages=sum(extra_messages) / len(extra_messages),
    )


def _messages(usage):
    return usage["messages_in_per_s"] + usage["messages_out_per_s"]
