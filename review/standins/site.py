"""A small site on loopback: store, servers, and the project's programs as processes."""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

from review.standins.http import Consumer
from review.standins.server import Server
from review.standins.store import Store

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
# Bounds, limits and platform of the settings of the deployment haldane-swatch.
FIELDS = {
    "Zone": "kamloops",
    "InternalPorts": [7340, 7355],
    "Limits": {"MemoryMb": 300, "MaxFds": 4200, "LinkMbps": 1000.0},
    "Bounds": {
        "RevokeMs": 5000,
        "GraceS": 8,
        "RetryBudgetRatio": 0.2,
        "RetryBudgetExtra": 90,
        "BudgetWindowS": 10,
    },
}
LIMITS = {
    "MaxHeaderBytes": 16384,
    "MaxBodyBytes": 4194304,
    "HeaderTimeoutMs": 3000,
    "IdleTimeoutMs": 15000,
}
READY_TIMEOUT_S = 20.0
# Pause before a process that has ended is started again.
RESTART_S = 0.5


class Site:
    """The platform's part of a case.

    Parameters
    ----------
    folder : path
        Folder of the case, in which `record.txt` is written.
    """

    def __init__(self, folder):
        self._began_at = time.monotonic()
        self._lines = open(pathlib.Path(folder) / "record.txt", "w")
        self._network = f"127.{random.randrange(64, 250)}.{random.randrange(250)}"
        self._next_host = 1
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.servers = []
        self.entries = []
        self.consumers = []
        self._tasks = []

    def record(self, line):
        """Append a line with its time in seconds to the record."""
        self._lines.write(f"{time.monotonic() - self._began_at:9.3f} {line}\n")

    def new_ip(self):
        """Return the next loopback address."""
        self._next_host += 1
        return f"{self._network}.{self._next_host}"

    def new_address(self, ip=None):
        """Return an address with a free port."""
        ip = ip or self.new_ip()
        with socket.socket() as probe:
            probe.bind((ip, 0))
            return f"{ip}:{probe.getsockname()[1]}"

    async def start_store(self):
        """Start the store."""
        self.store_address = self.new_address()
        host, _, port = self.store_address.rpartition(":")
        await self.store.start(host, int(port))

    async def add_server(self, id, service, *, zone="kamloops", work=None, slots=6):
        """Start a server and register it."""
        server = Server(
            id=id,
            service=service,
            address=self.new_address(),
            zone=zone,
            record=self.record,
            work=work,
            slots=slots,
        )
        await server.start()
        self.servers.append(server)
        self.register(server)
        return server

    def register(self, server):
        """Write a server's registration."""
        self.store.put(f"servers/{server.id}", server.registration())

    def configure(self, document):
        """Write a configuration; return the time of its ack."""
        self.store.put("op/config", document)
        self.record(f"acked configuration {document['Version']}")
        return time.monotonic()

    async def add_entry(self, name, *, zone="kamloops"):
        """Start an entry with the command of the deploy file; return it once ready."""
        entry = Process("entry", name, self, zone=zone)
        self.entries.append(entry)
        entry.start()
        await entry.wait_until_ready()
        return entry

    def consumer(self, entry):
        """Return a new consumer of an entry."""
        consumer = Consumer(entry.caller_address, self.record)
        self.consumers.append(consumer)
        return consumer

    def start_task(self, coroutine):
        """Run a coroutine beside the case."""
        task = asyncio.create_task(coroutine)
        self._tasks.append(task)
        return task

    async def close(self):
        """End all processes that were started, and stop the stand-ins."""
        for task in self._tasks:
            task.cancel()
        for consumer in self.consumers:
            await consumer.close()
        for entry in self.entries:
            entry.kill()
        for entry in self.entries:
            await entry.wait()
        for server in self.servers:
            await server.stop()
        await self.store.stop()
        shutil.rmtree(self.temporary, ignore_errors=True)
        self._lines.close()


class Process:
    """One process of a role of `deploy/system.toml`."""

    def __init__(self, role, name, site, *, zone):
        self._site = site
        self.name = name
        ip = site.new_ip()
        self.caller_address = site.new_address(ip)
        self.ready_address = site.new_address(ip)
        fields = FIELDS | {
            "NodeName": name,
            "Zone": zone,
            "Ip": ip,
            "Listen": {"Front": self.caller_address, "Ready": self.ready_address},
            "Platform": {"Address": site.store_address},
        }
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        row = deploy["roles"][role]
        template = (REPOSITORY / row["template"]).read_text()
        self._settings = site.temporary / f"{name}.ini"
        self._settings.write_text(_render(template, fields))
        self._command = [
            str(self._settings) if word == "/etc/magnoliagrade/settings.toml" else word
            for word in row["run"].split()
        ]
        self._log = open(site.temporary / f"{name}.log", "ab")
        self._process = None
        self.starts = 0

    @property
    def pid(self):
        """Id of the process."""
        return self._process.pid

    def start(self):
        """Start the process."""
        import subprocess

        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self._site.temporary),
            "PYTHONPATH": str(REPOSITORY / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "MAGNOLIAGRADE_BOOT": str(self._settings),
        }
        self.starts += 1
        self._site.record(f"starts {self.name}")
        self._process = subprocess.Popen(
            self._command,
            cwd=REPOSITORY,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )

    async def is_ready(self):
        """Return whether the process answers `GET /ready` with 200."""
        host, _, port = self.ready_address.rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    async def wait_until_ready(self):
        """Wait until the process is ready."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self.is_ready():
                await asyncio.sleep(0.02)

    def send(self, signal_number):
        """Send a signal to the process."""
        self._site.record(f"{signal.Signals(signal_number).name} to {self.name}")
        self._process.send_signal(signal_number)

    def kill(self):
        """Kill the process, if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()

    def is_running(self):
        """Return whether the process runs."""
        return self._process.poll() is None

    async def wait(self):
        """Wait until the process has ended."""
        while self._process is not None and self._process.poll() is None:
            await asyncio.sleep(0.01)

    def resident_mb(self):
        """Return the memory in use, in MB."""
        try:
            pages = int(pathlib.Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        except (OSError, IndexError, ValueError):
            return 0.0
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    async def enforce_memory(self, limit_mb):
        """Kill the process when its memory exceeds a limit, and start it again."""
        while True:
            await asyncio.sleep(0.05)
            used_mb = self.resident_mb()
            if self.is_running() and used_mb > limit_mb:
                self._site.record(
                    f"{self.name} uses {used_mb:.0f} MB, over {limit_mb} MB: killed"
                )
                self.kill()
                await self.wait()
                await asyncio.sleep(RESTART_S)
                self.start()


def _render(template, fields):
    def value(match):
        found = fields
        for part in match[1].split("."):
            found = found[int(part)] if isinstance(found, list) else found.get(part, "")
        return str(found)

    return re.sub(r"\{\{([\w.]+)\}\}", value, template)


def route(prefix, service, *, kind, **fields):
    """Return a route of the host `a.example`."""
    document = {
        "Name": f"route{prefix.replace('/', '-')}",
        "Host": "a.example",
        "Prefix": prefix,
        "Kind": kind,
        "TimeoutMs": 8000,
        "TargetLatencyMs": 402,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 1 if kind == "unsafe" else 2,
        "Public": False,
    }
    return document | fields


def configuration(version, routes, *, tenants):
    """Return a configuration; `tenants` is a dict of names to lists of keys."""
    names = sorted({row["Service"] for row in routes})
    return {
        "Version": version,
        "Routes": routes,
        "Services": [
            {
                "Name": name,
                "HealthPath": "/health",
                "MaxConns": 408,
                "ColdStartS": 0.0,
                "ColdPerS": 0.0,
            }
            for name in names
        ],
        "Limits": LIMITS,
        "Tenants": [
            {"Name": name, "ApiKeys": keys, "Priority": 1}
            for name, keys in tenants.items()
        ],
    }


def run_case(case, folder):
    """Run a case; exit with 1 if it returns broken rules, 0 if none, 2 on an error.

    Parameters
    ----------
    case : coroutine function
        Called with the `Site` and with whether the disruption takes place; returns a
        list of lines, one for each way in which the rule was broken.
    folder : path
        Folder of the case.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        site = Site(folder)
        try:
            async with asyncio.timeout(110):
                await site.start_store()
                broken = await case(site, has_trouble)
            for line in broken:
                site.record(f"BROKEN {line}")
            site.record(f"result {json.dumps({'broken': len(broken)})}")
            return broken
        finally:
            await site.close()

    try:
        broken = asyncio.run(run())
    except Exception as exc:  # The case could not run.
        print(f"could not run: {type(exc).__name__}: {exc}")
        sys.exit(2)
    for line in broken[:10]:
        print(line)
    print(f"{len(broken)} times broken" if broken else "held")
    sys.exit(1 if broken else 0)
