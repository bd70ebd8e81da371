"""A site of several data centres, run as processes on loopback."""

import asyncio
import configparser
import json
import os
import tempfile
from dataclasses import dataclass, field

import aiohttp
from magnoliagrade.clock import SystemClock
from magnoliagrade.configuration import ConfigurationRepository
from magnoliagrade.store import HttpStore

from magnoliagrade_standins.harness.configurations import CONFIGURATION
from magnoliagrade_standins.harness.processes import (
    SpawnedProcess,
    binary_command,
    standin_command,
)

__all__ = ["Site", "SitePlan"]

READY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05


@dataclass(slots=True, kw_only=True)
class SitePlan:
    """Processes of a site and their settings.

    Parameters
    ----------
    entries_by_data_centre : dict of str to int
        Number of entry instances in each data centre.
    engines_by_data_centre : dict of str to int
        Number of model endpoints in each data centre.
    services_by_data_centre : dict of str to int
        Number of plain-service endpoints in each data centre.
    configuration : str
        INI text of the operators' configuration.
    engine_options : dict
        Flags of the engine stand-ins: fields of their profile.
    service_options : dict
        Flags of the plain-service stand-ins.
    entry_settings : dict of str to dict
        Additions to the entries' settings, by section.
    agent_settings : dict of str to dict
        Additions to the agents' settings, by section.
    agent_settings_by_name : dict of str to dict
        Additions to the settings of an agent, by agent and section. They replace
        `agent_settings` section by section.
    has_proxy : bool
        Whether every connection goes through the fault proxy. Each process then
        connects from its own source address (`Site.source_of`), and the proxy's
        targets are `platform`, `NAME/data`, `NAME/control` and `NAME/back-end`.
    """

    entries_by_data_centre: dict
    engines_by_data_centre: dict = field(default_factory=dict)
    services_by_data_centre: dict = field(default_factory=dict)
    configuration: str = CONFIGURATION
    engine_options: dict = field(default_factory=dict)
    service_options: dict = field(default_factory=dict)
    entry_settings: dict = field(default_factory=dict)
    agent_settings: dict = field(default_factory=dict)
    agent_settings_by_name: dict = field(default_factory=dict)
    has_proxy: bool = False


class Site:
    """Running processes of a site; use as an asynchronous context manager.

    Parameters
    ----------
    plan : SitePlan
        Processes to start.
    """

    __slots__ = (
        "_folder",
        "_source_by_name",
        "agent_by_name",
        "back_end_by_name",
        "entry_by_name",
        "plan",
        "platform",
        "proxy",
        "repository",
        "session",
    )

    def __init__(self, *, plan):
        self.plan = plan
        self.agent_by_name = {}
        self.back_end_by_name = {}
        self.entry_by_name = {}
        self.platform = None
        self.proxy = None
        self._source_by_name = {}

    async def __aenter__(self):
        """Start all processes and wait until each entry is ready."""
        self._folder = tempfile.TemporaryDirectory(prefix="magnoliagrade-")
        self.session = aiohttp.ClientSession()
        try:
            await self._start()
        except BaseException:
            await self.__aexit__(None, None, None)
            raise
        return self

    async def __aexit__(self, *_exc):
        """Kill the processes and delete their folder."""
        await self.session.close()
        processes = [
            *self.entry_by_name.values(),
            *self.agent_by_name.values(),
            *self.back_end_by_name.values(),
            self.platform,
            self.proxy,
        ]
        started = [p for p in processes if p is not None and p.process]
        await asyncio.gather(*(p.kill() for p in started))
        self._folder.cleanup()

    @property
    def folder(self):
        """Return the path of the folder with settings files and logs."""
        return self._folder.name

    @property
    def platform_url(self):
        """Return the URL of the platform's stand-in, without the proxy."""
        return f"http://{self.platform.addresses['http']}"

    @property
    def platform_url_via_proxy(self):
        """Return the URL of the platform for the site's processes.

        It leads through the fault proxy if there is one.
        """
        if self.proxy is None:
            return self.platform_url
        return f"http://{self.proxy.addresses['platform']}"

    def source_of(self, name):
        """Return the source address of a process's connections.

        Parameters
        ----------
        name : str
            Name of an entry or agent. The name of a data centre gives the prefix
            of all its addresses, which ends with a dot.
        """
        data_centre, dash, _ = name.partition("-")
        names = list(self.plan.entries_by_data_centre)
        prefix = f"127.{10 + names.index(data_centre)}."
        if not dash:
            return prefix
        number = self._source_by_name.setdefault(name, len(self._source_by_name))
        return f"{prefix}{number}.1"

    def caller_url(self, entry):
        """Return the URL at which callers reach an entry."""
        return f"http://{self.entry_by_name[entry].addresses['caller']}"

    async def record(self, back_end):
        """Return the record of the requests that a back end received."""
        address = self.back_end_by_name[back_end].addresses["http"]
        async with self.session.get(f"http://{address}/record") as response:
            return await response.json()

    def journal(self, service):
        """Return all executions of a plain service, also those by killed processes.

        Parameters
        ----------
        service : str
            Name of the plain-service endpoint.

        Returns
        -------
        executions : list of dict
            Entries in the form of the service's record.
        """
        with open(self.back_end_by_name[service].log_path, encoding="utf-8") as file:
            return [json.loads(line) for line in file if line.startswith('{"id"')]

    async def restart_back_end(self, name):
        """Start a killed back end again and forward its proxy address to it."""
        back_end = self.back_end_by_name[name]
        await back_end.start()
        await self._set_proxy_address(f"{name}/back-end", back_end.addresses["http"])

    async def control_back_end(self, back_end, order):
        """Send an order, as JSON, to the control path of a back end."""
        address = self.back_end_by_name[back_end].addresses["http"]
        url = f"http://{address}/control"
        async with self.session.post(url, json=order) as response:
            response.raise_for_status()

    async def control_platform(self, path, body):
        """Set faults, lag or instance rows of the platform's stand-in.

        Parameters
        ----------
        path : str
            Path below `/control/`.
        body : dict
            JSON body of the request.
        """
        url = f"{self.platform_url}/control/{path}"
        async with self.session.post(url, json=body) as response:
            response.raise_for_status()

    async def set_rules(self, *rules):
        """Replace the rules of the fault proxy.

        Parameters
        ----------
        *rules : dict
            Fields of a `magnoliagrade_standins.proxy.Rule`.
        """
        await self._control_proxy("rules", list(rules))

    async def list_instance(self, name, process, role, data_centre, state="live"):
        """Add an instance to the platform's list of instances."""
        row = {
            "role": role,
            "data_centre": data_centre,
            "control_address": self._control_address(name, process),
            "state": state,
        }
        await self.control_platform(f"instances/{name}", row)

    async def _start(self):
        self.platform = self._process("platform", standin_command("platform"))
        await self.platform.start()
        if self.plan.has_proxy:
            await self._start_proxy()
        store = HttpStore(url=self.platform_url, session=self.session)
        self.repository = ConfigurationRepository(store=store)
        await self.repository.apply(self.plan.configuration, author="harness")
        await asyncio.gather(*self._back_end_starts())
        await asyncio.gather(*self._entry_starts())
        await self.wait_ready()

    def _back_end_starts(self):
        for data_centre, count in self.plan.engines_by_data_centre.items():
            for i in range(count):
                name = f"{data_centre}-model-{i}"
                command = standin_command(
                    "engine", name=name, **self.plan.engine_options
                )
                yield self._start_endpoint(name, data_centre, "model", command)
        for data_centre, count in self.plan.services_by_data_centre.items():
            for i in range(count):
                name = f"{data_centre}-service-{i}"
                command = standin_command("service", **self.plan.service_options)
                yield self._start_endpoint(name, data_centre, "service", command)

    async def _start_endpoint(self, name, data_centre, work, command):
        back_end = self._process(f"{name}-back-end", command)
        self.back_end_by_name[name] = back_end
        await back_end.start()
        url = await self._proxied(f"{name}/back-end", back_end.addresses["http"])
        sections = {
            "instance": {"name": name, "data_centre": data_centre},
            "listen": await self._listen_settings(name),
            "endpoint": {
                "url": f"http://{url}",
                "work": work,
                "labels": f"work={work}",
            },
        }
        additions = self.plan.agent_settings_by_name.get(name, {})
        additions = {**self.plan.agent_settings, **additions}
        path = self._write_settings(name, sections, additions)
        command = binary_command("magnoliagrade-agent", "serve", path)
        agent = self._process(name, command)
        self.agent_by_name[name] = agent
        await self.start_listed(agent, "agent")

    def _entry_starts(self):
        for data_centre, count in self.plan.entries_by_data_centre.items():
            for i in range(count):
                yield self._start_entry(f"{data_centre}-entry-{i}", data_centre)

    async def _start_entry(self, name, data_centre):
        sections = {
            "instance": {"name": name, "data_centre": data_centre},
            "listen": await self._listen_settings(name),
            "platform": {
                "store_url": self.platform_url_via_proxy,
                "instances_url": f"{self.platform_url_via_proxy}/v1/instances",
                "instances_interval_s": "0.2",
            },
        }
        path = self._write_settings(name, sections, self.plan.entry_settings)
        command = binary_command("magnoliagrade", "serve", path)
        entry = self._process(name, command)
        self.entry_by_name[name] = entry
        await self.start_listed(entry, "entry")

    async def start_listed(self, process, role):
        """Start or restart an entry or agent and add it to the list of instances.

        Parameters
        ----------
        process : SpawnedProcess
            Process to start.
        role : str
            `entry` or `agent`.
        """
        await process.start()
        name = process.name
        if self.proxy is not None:
            for listener in ("data", "control"):
                target = f"{name}/{listener}"
                await self._set_proxy_address(target, process.addresses[listener])
        await self.list_instance(name, process, role, name.partition("-")[0])

    async def wait_ready(self):
        """Wait until every entry is ready and has its links and peer summaries.

        Raises
        ------
        TimeoutError
            If an entry is not ready within 30 s.
        """
        clock = SystemClock()
        deadline = clock.monotonic() + READY_TIMEOUT_S
        for name in self.entry_by_name:
            while not await self._is_ready(name):
                if clock.monotonic() > deadline:
                    raise TimeoutError(
                        f"{name} was not ready in time; logs in {self.folder}"
                    )
                await clock.sleep(POLL_INTERVAL_S)

    async def _is_ready(self, name):
        address = self.entry_by_name[name].addresses["admin"]
        async with self.session.get(f"http://{address}/readyz") as response:
            if response.status != 200:
                return False
        async with self.session.get(f"http://{address}/status") as response:
            status = await response.json()
        return self._is_linked(name, status)

    def _is_linked(self, name, status):
        local_data_centre = status["data_centre"]
        needed_links = [*self.agent_by_name, *self.entry_by_name]
        needed_links = {
            n for n in needed_links if n.startswith(f"{local_data_centre}-")
        } - {name}
        if not needed_links <= set(status["links"]):
            return False
        remote = set(self.plan.entries_by_data_centre) - {local_data_centre}
        reporting = {p["data_centre"] for p in status["peers"] if p["has_summary"]}
        return remote <= reporting and all(e["limit"] for e in status["endpoints"])

    async def _start_proxy(self):
        self.proxy = self._process("proxy", standin_command("proxy"))
        await self.proxy.start()
        await self._proxied("platform", self.platform.addresses["http"])

    async def _proxied(self, target, address):
        if self.proxy is None:
            return address
        proxied = await self._open_proxy_target(target)
        await self._set_proxy_address(target, address)
        return proxied

    async def _open_proxy_target(self, target):
        if target not in self.proxy.addresses:
            opened = await self._control_proxy("open", {"target": target})
            self.proxy.addresses[target] = opened["address"]
        return self.proxy.addresses[target]

    async def _set_proxy_address(self, target, address):
        await self._control_proxy("point", {"target": target, "address": address})

    async def _control_proxy(self, path, body):
        url = f"http://{self.proxy.addresses['http']}/control/{path}"
        async with self.session.post(url, json=body) as response:
            response.raise_for_status()
            return await response.json() if path == "open" else None

    async def _listen_settings(self, name):
        if self.proxy is None:
            return {}
        return {
            "advertised_data_address": await self._open_proxy_target(f"{name}/data"),
            "advertised_control_address": await self._open_proxy_target(
                f"{name}/control"
            ),
            "source_address": self.source_of(name),
        }

    def _control_address(self, name, process):
        if self.proxy is None:
            return process.addresses["control"]
        return self.proxy.addresses[f"{name}/control"]

    def _process(self, name, command):
        log_path = os.path.join(self.folder, f"{name}.log")
        return SpawnedProcess(name=name, command=command, log_path=log_path)

    def _write_settings(self, name, sections, additions):
        parser = configparser.ConfigParser(interpolation=None)
        parser.read_dict(sections)
        for section, values in additions.items():
            if not parser.has_section(section):
                parser.add_section(section)
            for key, value in values.items():
                parser.set(section, key, str(value))
        path = os.path.join(self.folder, f"{name}.ini")
        with open(path, "w", encoding="utf-8") as file:
            parser.write(file)
        return path
