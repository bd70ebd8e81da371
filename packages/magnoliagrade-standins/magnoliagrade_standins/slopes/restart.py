"""What the restart of an entry costs it and the instances around it."""

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

RESTART_ENTRIES = (3, 7, 20)
AGENTS = 5
ORGANISATIONS = 6800
AFTER_S = 5.0
POLL_S = 0.05
READY_LIMIT_S = 30.0


@dataclass(slots=True, kw_only=True)
class RestartCost:
    """What one restart cost.

    Parameters
    ----------
    links : float
        Links of the restarted entry.
    ready_s : float
        Time from the start of the process until it was ready.
    messages : float
        Control messages that it sent and received in the first seconds.
    kilobytes_in, kilobytes_out : float
        Their bytes.
    store_calls : float
        Its calls to the store.
    cpu_s : float
        Its processor time, the start of the interpreter included.
    peer_messages : float
        Messages that each other instance sent and received above its rate at rest.
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
    """Kill one entry, start it again and return what that cost.

    Parameters
    ----------
    entries : int
        Entries of the one data centre.
    """
    size = Size(family="restart", value=entries, organisations=ORGANISATIONS)
    plan = SitePlan(
        entries_by_data_centre={"dc0": entries},
        engines_by_data_centre={"dc0": AGENTS},
        configuration=size.configuration(),
    )
    async with SlopeSite(plan=plan) as site:
        await asyncio.sleep(SETTLE_S)
        rest = await usage_by_instance(site, asyncio.sleep(AFTER_S))
        # The restarted entry is left out: its counters begin anew.
        name, process = site.entry_by_name.popitem()
        ready = {}
        busy = await usage_by_instance(site, _restart(site, name, process, ready))
        address = process.addresses["admin"]
        reading = await read_process(process.process.pid, site.session, address)
        site.entry_by_name[name] = process
    return _cost(reading, ready["s"], ready["window_s"], rest, busy)


async def _restart(site, name, process, ready):
    clock = SystemClock()
    begun = clock.monotonic()
    await process.kill()
    start = clock.monotonic()
    await site.start_listed(process, "entry")
    url = f"http://{process.addresses['admin']}/readyz"
    while clock.monotonic() - start < READY_LIMIT_S:
        async with site.session.get(url) as response:
            if response.status == 200:
                break
        await asyncio.sleep(POLL_S)
    ready["s"] = clock.monotonic() - start
    await asyncio.sleep(AFTER_S)
    ready["window_s"] = clock.monotonic() - begun


def _cost(reading, ready_s, window_s, rest, busy):
    value = reading.value_by_metric
    more = [(_messages(busy[key]) - _messages(rest[key])) * window_s for key in busy]
    return RestartCost(
        links=value["magnoliagrade_links"],
        ready_s=ready_s,
        messages=value["magnoliagrade_link_messages_in"]
        + value["magnoliagrade_link_messages_out"],
        kilobytes_in=value["magnoliagrade_link_bytes_in"] / 1000,
        kilobytes_out=value["magnoliagrade_link_bytes_out"] / 1000,
        store_calls=value["magnoliagrade_store_calls_total"],
        cpu_s=reading.cpu_s,
        peer_messages=sum(more) / len(more),
    )


def _messages(usage):
    return usage["messages_in_per_s"] + usage["messages_out_per_s"]
