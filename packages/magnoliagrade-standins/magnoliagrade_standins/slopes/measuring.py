"""Measurement of one site size with real processes, at rest and under changes."""

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

# Time after the start of a site for links to be set up before measuring.
SETTLE_S = 6.0
REST_DURATION_S = 10.0
CHANGE_COUNT = 8
# Pause between a change that is in force and the next one.
CHANGE_PAUSE_S = 0.75
# Interval between polls of an admin listener.
POLL_INTERVAL_S = 0.01
# Time after which a change is no longer waited for.
IN_FORCE_TIMEOUT_S = 30.0
# Imports a binary, announces readiness as `SpawnedProcess` expects it, and idles.
IDLE_PROGRAM = (
    "import json, sys, time; import {module}; "
    "print(json.dumps({{'addresses': {{}}}}), flush=True); time.sleep(600)"
)


@dataclass(slots=True, kw_only=True)
class SizeResult:
    """Readings of one site size.

    Parameters
    ----------
    family : str
        Dimension of size that was varied.
    value : int
        Size in that dimension.
    rest_by_role : dict of str to dict
        Means over the instances of each role at rest, by role and name of reading.
    change_by_role : dict of str to dict
        The same means while configuration changes were made.
    changes_per_s : float
        Rate of the configuration changes.
    in_force_s : list of float
        For each change, seconds from its acceptance until all instances had it in
        force.
    stall_s : float
        Longest response time of an entry's health check, in seconds, while changes
        were made.
    """

    family: str
    value: int
    rest_by_role: dict = field(default_factory=dict)
    change_by_role: dict = field(default_factory=dict)
    changes_per_s: float = 0.0
    in_force_s: list = field(default_factory=list)
    stall_s: float = 0.0


class SlopeSite(Site):
    """A site whose agents all share one model engine process."""

    __slots__ = ("_shared_engine_lock",)

    def __init__(self, *, plan):
        super().__init__(plan=plan)
        self._shared_engine_lock = asyncio.Lock()

    def _process(self, name, command):
        is_engine = name.endswith("-back-end") and "-model-" in name
        if not is_engine:
            return super()._process(name, command)
        command = standin_command("engine", name="shared")
        return _SharedEngineHandle(
            site=self, engine=super()._process("shared", command)
        )

    async def start_shared_engine(self, engine):
        """Return the addresses of the shared engine, starting it if it does not run.

        Parameters
        ----------
        engine : SpawnedProcess
            Process to start and to share if no engine runs yet.

        Returns
        -------
        addresses : dict of str to str
            `host:port` by name of listener.
        """
        async with self._shared_engine_lock:
            process = self.back_end_by_name.get("shared")
            if process is None:
                await engine.start()
                process = self.back_end_by_name["shared"] = engine
        return process.addresses


class _SharedEngineHandle:
    """Handle of one agent on the shared engine, with the interface of a process."""

    def __init__(self, *, site, engine):
        self._site = site
        self._engine = engine
        self.process = None
        self.addresses = {}

    async def start(self):
        self.addresses = await self._site.start_shared_engine(self._engine)

    async def kill(self):
        pass


async def measure_idle():
    """Return the usage of idle interpreters that have imported a binary, by role.

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


async def measure_size(size, *, rest_s=REST_DURATION_S, changes=CHANGE_COUNT):
    """Start a site of one size and return its readings at rest and under changes.

    Parameters
    ----------
    size : Size
        Size of the site.
    rest_s : float
        Seconds to measure at rest.
    changes : int
        Number of configuration changes to make.

    Returns
    -------
    result : SizeResult
        Readings of the site's instances.
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
            site, _measure_changes(site, result, changes)
        )
        result.changes_per_s = changes / (clock.monotonic() - start)
    return result


async def usage_by_role(site, work):
    """Await an operation and return the mean usage of each role during it.

    Parameters
    ----------
    site : Site
        A running site.
    work : awaitable
        Operation during which usage is measured.

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
    """Await an operation and return the usage of each instance during it.

    Parameters
    ----------
    site : Site
        A running site.
    work : awaitable
        Operation during which usage is measured.

    Returns
    -------
    row_by_instance : dict of tuple to dict
        Readings by name, for each pair of role and instance name.
    """
    clock = SystemClock()
    start = clock.monotonic()
    first = await _read_all(site)
    await work
    last = await _read_all(site)
    seconds = clock.monotonic() - start
    return {key: usage_between(first[key], last[key], seconds) for key in last}


def mean_usage(rows):
    """Return the mean of each reading over instances.

    Parameters
    ----------
    rows : sequence of dict of str to float
        Readings by name, one row for each instance; at least one.
    """
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


async def _measure_changes(site, result, changes):
    probe = asyncio.create_task(_probe_health(site, result))
    clock = SystemClock()
    loop = asyncio.get_running_loop()
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(1, mp_context=context) as operator:
        for i in range(changes):
            revision, accepted_at = await loop.run_in_executor(
                operator, _make_change, site.platform_url, str(i)
            )
            await _wait_in_force(site, revision, accepted_at + IN_FORCE_TIMEOUT_S)
            result.in_force_s.append(clock.monotonic() - accepted_at)
            await asyncio.sleep(CHANGE_PAUSE_S)
    probe.cancel()


def _make_change(store_url, value):
    # Runs in a separate process, so that its work does not delay the probe.
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


async def _wait_in_force(site, revision, deadline):
    clock = SystemClock()
    pending = [*site.entry_by_name.values(), *site.agent_by_name.values()]
    # Polls one instance until it has the revision in force, then the next, so the last
    # response comes after the slowest instance has the revision in force.
    while pending and clock.monotonic() < deadline:
        process = pending[-1]
        url = f"http://{process.addresses['admin']}/metrics"
        async with site.session.get(url) as response:
            text = await response.text()
        if f"\nmagnoliagrade_configuration_revision {revision}.0" in text:
            pending.pop()
        else:
            await asyncio.sleep(POLL_INTERVAL_S)


async def _probe_health(site, result):
    process = next(iter(site.entry_by_name.values()))
    url = f"http://{process.addresses['admin']}/healthz"
    clock = SystemClock()
    while True:
        start = clock.monotonic()
        async with site.session.get(url) as response:
            await response.read()
        result.stall_s = max(result.stall_s, clock.monotonic() - start)
        await asyncio.sleep(POLL_INTERVAL_S)
