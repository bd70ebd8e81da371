"""Measuring one size with real processes, at rest and under changes."""

import asyncio
import multiprocessing
import statistics
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field

import aiohttp
from magnoliagrade.clock import SystemClock
from magnoliagrade.configuration import ConfigurationRepository, SetLabels
from magnoliagrade.store import HttpStore

from magnoliagrade_standins.harness import (
    Site,
    SitePlan,
    SpawnedProcess,
    standin_command,
)
from magnoliagrade_standins.slopes.processes import read_process, usage_between

__all__ = [
    "SizeResult",
    "SlopeSite",
    "mean_usage",
    "measure_idle",
    "measure_size",
    "usage_by_instance",
    "usage_by_role",
]

SETTLE_S = 6.0
REST_S = 10.0
CHANGES = 8
CHANGE_PAUSE_S = 0.75
POLL_S = 0.01
IN_FORCE_LIMIT_S = 30.0
IDLE_PROGRAM = (
    "import json, sys, time; import {module}; "
    "print(json.dumps({{'addresses': {{}}}}), flush=True); time.sleep(600)"
)


@dataclass(slots=True, kw_only=True)
class SizeResult:
    """What one size gave.

    Parameters
    ----------
    family : str
        What was varied.
    value : int
        Its value.
    rest_by_role : dict of str to dict
        Means over the instances of each role, at rest.
    change_by_role : dict of str to dict
        Means under changes, in the same terms.
    changes_per_s : float
        Rate of the changes.
    in_force_s : list of float
        Time of each change until all instances had it in force.
    stall_s : float
        Longest answer of an entry's health check while changes were made.
    """

    family: str
    value: int
    rest_by_role: dict = field(default_factory=dict)
    change_by_role: dict = field(default_factory=dict)
    changes_per_s: float = 0.0
    in_force_s: list = field(default_factory=list)
    stall_s: float = 0.0


class SlopeSite(Site):
    """A site whose agents all stand before one back end."""

    __slots__ = ("_back_end_lock",)

    def __init__(self, *, plan):
        super().__init__(plan=plan)
        self._back_end_lock = asyncio.Lock()

    def _process(self, name, command):
        is_engine = name.endswith("-back-end") and "-model-" in name
        if not is_engine:
            return super()._process(name, command)
        command = standin_command("engine", name="shared")
        return _SharedBackEnd(site=self, own=super()._process("shared", command))

    async def shared_back_end(self, own):
        """Start the one back end if need be and return its addresses."""
        async with self._back_end_lock:
            process = self.back_end_by_name.get("shared")
            if process is None:
                await own.start()
                process = self.back_end_by_name["shared"] = own
        return process.addresses


class _SharedBackEnd:
    """Stands for the shared back end of one agent."""

    def __init__(self, *, site, own):
        self._site = site
        self._own = own
        self.process = None
        self.addresses = {}

    async def start(self):
        self.addresses = await self._site.shared_back_end(self._own)

    async def kill(self):
        pass


async def measure_idle():
    """Return resident memory of idle interpreters with the libraries, by role.

    Returns
    -------
    usage_by_role : dict of str to dict
        `rss_mb`, `pss_mb` and `cpu_percent` of each role.
    """
    usage_by_role = {}
    modules = {
        "entry": "magnoliagrade_entry.instance",
        "agent": "magnoliagrade_agent.instance",
    }
    for role, module in modules.items():
        program = IDLE_PROGRAM.format(module=module)
        process = SpawnedProcess(
            name="idle", command=[sys.executable, "-c", program], log_path="/dev/null"
        )
        await process.start()
        first = await read_process(process.process.pid, None, "")
        await asyncio.sleep(2)
        last = await read_process(process.process.pid, None, "")
        await process.kill()
        usage_by_role[role] = usage_between(first, last, 2)
    return usage_by_role


async def measure_size(size, *, rest_s=REST_S, changes=CHANGES):
    """Run one size and return what it gave.

    Parameters
    ----------
    size : Size
        The size.
    rest_s : float
        How long to measure at rest.
    changes : int
        Number of changes to make.
    """
    names = [f"dc{i}" for i in range(size.data_centres)]
    plan = SitePlan(
        entries_by_data_centre=dict.fromkeys(names, size.entries),
        engines_by_data_centre={names[0]: size.agents},
        configuration=size.configuration(),
        entry_settings={
            "platform": {"instances_interval_s": "2.0"},
            "logs": {"log_level": "WARNING"},
        },
        agent_settings={"logs": {"log_level": "WARNING"}},
    )
    result = SizeResult(family=size.family, value=size.value)
    async with SlopeSite(plan=plan) as site:
        await asyncio.sleep(SETTLE_S)
        result.rest_by_role = await usage_by_role(site, asyncio.sleep(rest_s))
        clock = SystemClock()
        start = clock.monotonic()
        result.change_by_role = await usage_by_role(
            site, _change(site, result, changes)
        )
        result.changes_per_s = changes / (clock.monotonic() - start)
    return result


async def usage_by_role(site, work):
    """Do some work and return the mean usage of each role meanwhile.

    Parameters
    ----------
    site : Site
        A running site.
    work : awaitable
        What to wait for.

    Returns
    -------
    mean_by_role : dict of str to dict
        Means by name of reading, for `entry` and `agent`.
    """
    rows_by_role = {}
    for (role, _), row in (await usage_by_instance(site, work)).items():
        rows_by_role.setdefault(role, []).append(row)
    return {role: mean_usage(rows) for role, rows in rows_by_role.items()}


async def usage_by_instance(site, work):
    """Do some work and return the usage of each instance meanwhile.

    Returns
    -------
    row_by_instance : dict of tuple to dict
        By role and name.
    """
    clock = SystemClock()
    start = clock.monotonic()
    first = await _read_all(site)
    await work
    last = await _read_all(site)
    seconds = clock.monotonic() - start
    return {key: usage_between(first[key], last[key], seconds) for key in last}


def mean_usage(rows):
    """Return the mean of each reading over rows."""
    return {name: statistics.fmean(row[name] for row in rows) for name in rows[0]}


async def _read_all(site):
    processes = {("entry", n): p for n, p in site.entry_by_name.items()}
    processes.update({("agent", n): p for n, p in site.agent_by_name.items()})
    readings = await asyncio.gather(
        *(
            read_process(p.process.pid, site.session, p.addresses["admin"])
            for p in processes.values()
        )
    )
    return dict(zip(processes, readings, strict=True))


async def _change(site, result, changes):
    probe = asyncio.create_task(_probe(site, result))
    clock = SystemClock()
    loop = asyncio.get_running_loop()
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(1, mp_context=context) as operator:
        for i in range(changes):
            revision, accepted_at = await loop.run_in_executor(
                operator, _change_one, site.platform_url, str(i)
            )
            await _wait_in_force(site, revision, accepted_at + IN_FORCE_LIMIT_S)
            result.in_force_s.append(clock.monotonic() - accepted_at)
            await asyncio.sleep(CHANGE_PAUSE_S)
    probe.cancel()


def _change_one(store_url, value):
    # In a process of its own, so that its work does not hold up the probe.
    async def change():
        async with aiohttp.ClientSession() as session:
            store = HttpStore(url=store_url, session=session)
            stored = await ConfigurationRepository(store=store).change(
                SetLabels(
                    kind="organisation",
                    name="organisation-0",
                    value_by_label={"trial": value},
                ),
                author="slopes",
            )
            return stored.revision, SystemClock().monotonic()

    return asyncio.run(change())


async def _wait_in_force(site, revision, limit):
    clock = SystemClock()
    behind = [*site.entry_by_name.values(), *site.agent_by_name.values()]
    # The instance that is asked last is the one that was behind the longest.
    while behind and clock.monotonic() < limit:
        process = behind[-1]
        url = f"http://{process.addresses['admin']}/metrics"
        async with site.session.get(url) as response:
            text = await response.text()
        if f"\nmagnoliagrade_configuration_revision {revision}.0" in text:
            behind.pop()
        else:
            await asyncio.sleep(POLL_S)


async def _probe(site, result):
    process = next(iter(site.entry_by_name.values()))
    url = f"http://{process.addresses['admin']}/healthz"
    clock = SystemClock()
    while True:
        start = clock.monotonic()
        async with site.session.get(url) as response:
            await response.read()
        result.stall_s = max(result.stall_s, clock.monotonic() - start)
        await asyncio.sleep(POLL_S)
