"""Stand-ins and helpers for the cases of this review: store, processes, callers.

The programs under test run as separate processes with the commands of the deploy file.
Store, servers and callers run in the test's own process, on loopback addresses.
"""

import asyncio
import base64
import contextlib
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

import aiohttp
from aiohttp import web

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
REQUEST_ID = "X-Magnoliagrade-Request-Id"
DEADLINE = "X-Magnoliagrade-Deadline-Ms"
STAMP = "X-Magnoliagrade-Response-Stamp"
NOT_EXECUTED = "X-Magnoliagrade-Not-Executed"
EXPECT_INSTANCE = "X-Magnoliagrade-Expect-Instance"
INSTANCE_ID = "X-Magnoliagrade-Instance-Id"
PROMPT_PREFIX = "X-Magnoliagrade-Prompt-Prefix"
HOST_NAME = "desk.example"
# Figures of the sheet of haldane-swatch.
REVOKE_MS = 5000
GRACE_S = 8
STABLE_WINDOW_S = 3.0
HEARTBEAT_S = 1.2

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be run, whatever the system does."""


class Record:
    """What was sent, answered and run, as lines of `record.txt`."""

    def __init__(self, folder):
        self._path = pathlib.Path(folder) / "record.txt"
        self._began = time.monotonic()
        self.lines = []

    def add(self, text):
        """Append a line with the time since the start of the test."""
        self.lines.append(f"{time.monotonic() - self._began:8.3f} {text}")

    def write(self):
        """Write all lines."""
        self._path.write_text("\n".join(self.lines) + "\n")


class Store:
    """The platform's store as PROTOCOL.md describes it, in memory."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.events = []
        self.leases = {}
        self._next_lease = 77000
        self._changed = asyncio.Event()
        self.address = ""
        self.calls = 0
        self.era = 1
        self.is_away = False

    def make_copy(self):
        """Return a copy from which the store may return."""
        return dict(self.items), dict(self.leases), self.revision

    def return_from(self, state):
        """Go on from a copy: what was written since is lost, leases too."""
        self.items, leases, self.revision = state
        now = time.monotonic()
        self.leases = {i: (now + ttl / 1000, ttl) for i, (_, ttl) in leases.items()}
        self.events = [e for e in self.events if e["Revision"] <= self.revision]
        self.era += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def routes(self):
        """Return the routes of the store's protocol."""
        return [
            web.get("/kv-key", self._get),
            web.get("/kv-range", self._range),
            web.get("/kv-watch", self._watch),
            web.post("/kv-txn", self._txn),
            web.post("/kv-lease", self._lease),
            web.post("/kv-keep/{id}", self._keep),
            web.delete("/kv-lease-end/{id}", self._end),
        ]

    def put(self, key, value, lease=0):
        """Write a value: bytes, or a document that is encoded as JSON."""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        known = self.items.get(key)
        item = {
            "Key": key,
            "Value": base64.b64encode(value).decode(),
            "Revision": self.revision,
            "CreateRevision": known["CreateRevision"] if known else self.revision,
            "Lease": lease,
        }
        self.items[key] = item
        self._tell(item)

    def delete(self, key):
        """Delete a key."""
        if key in self.items:
            del self.items[key]
            self.revision += 1
            self._tell({"Key": key, "Revision": self.revision, "Tombstone": True})

    def _tell(self, event):
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self):
        now = time.monotonic()
        for lease, (ends_at, _) in list(self.leases.items()):
            if ends_at <= now:
                self._drop(lease)

    def _drop(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["Lease"] == lease]:
            self.delete(key)

    def _answer(self, document, status=200):
        self.calls += 1
        headers = {"Store-Era": str(self.era)}
        if self.is_away:
            return web.Response(status=503, headers=headers)
        return web.json_response(document, status=status, headers=headers)

    async def _get(self, request):
        self._expire()
        item = self.items.get(request.query["Key"])
        if item is None:
            return self._answer({}, 404)
        return self._answer({**item, "AsOf": self.revision})

    async def _range(self, request):
        self._expire()
        prefix, after = request.query["Prefix"], request.query.get("After", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        items = [self.items[k] for k in keys[:500]]
        more = len(keys) > 500
        return self._answer({"Items": items, "MorePages": more, "AsOf": self.revision})

    async def _watch(self, request):
        prefix, after = request.query["Prefix"], int(request.query["After"])
        ends_at = time.monotonic() + int(request.query["WaitMs"]) / 1000
        while True:
            self._expire()
            if self.is_away or after > self.revision:
                return self._answer({}, 410)
            events = [
                e
                for e in self.events
                if e["Revision"] > after and e["Key"].startswith(prefix)
            ]
            left = ends_at - time.monotonic()
            if events or left <= 0:
                return self._answer({"events": events, "AsOf": self.revision})
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), min(left, 0.2))

    async def _txn(self, request):
        if self.is_away:
            return self._answer({}, 503)
        self._expire()
        body = await request.json()
        for row in body.get("Precondition") or ():
            known = self.items.get(row["Key"], {}).get("Revision", 0)
            if known != row["Revision"]:
                return self._answer({"Items": [self.items.get(row["Key"])]}, 412)
        for row in body.get("Writes") or ():
            lease = row.get("Lease") or 0
            if lease and lease not in self.leases:
                return self._answer({}, 404)
        for row in body.get("Writes") or ():
            value = base64.b64decode(row["Value"])
            self.put(row["Key"], value, row.get("Lease") or 0)
        for key in body.get("Deletes") or ():
            self.delete(key)
        return self._answer({"Revision": self.revision})

    async def _lease(self, request):
        ttl_ms = (await request.json())["TtlMs"]
        if self.is_away:
            return self._answer({}, 503)
        self._next_lease += 1
        self.leases[self._next_lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
        return self._answer({"Lease": self._next_lease, "TtlMs": ttl_ms})

    async def _keep(self, request):
        self._expire()
        lease = int(request.match_info["id"])
        if lease not in self.leases:
            return self._answer({}, 404)
        ttl_ms = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
        return self._answer({"TtlMs": ttl_ms})

    async def _end(self, request):
        self._drop(int(request.match_info["id"]))
        return self._answer({})


class Program:
    """One process of the system, started with the command of the deploy file."""

    def __init__(self, *, name, words, env, log):
        self.name = name
        self._words = words
        self._env = env
        self._log = log
        self.process = None
        self.ends = []

    async def start(self):
        """Start the process."""
        self.process = await asyncio.create_subprocess_exec(
            *self._words,
            cwd=REPOSITORY,
            env=self._env,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
            start_new_session=True,
        )

    @property
    def is_running(self):
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def send(self, number):
        """Send a signal, if the process runs."""
        if self.is_running:
            self.process.send_signal(number)

    def memory_mb(self):
        """Return the resident memory of the process in MB; 0 if it has ended."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+) kB", status)
        return int(found[1]) / 1024 if found else 0.0

    async def stop(self):
        """Kill the process and wait for its end."""
        if self.is_running:
            self.send(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            await self.process.wait()


class Site:
    """A small deployment on loopback addresses; use as asynchronous context manager."""

    def __init__(self, record):
        self.record = record
        self.store = Store()
        self.programs = []
        self._runners = []
        self._folder = None
        self._network = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self._hosts = 0
        self._tasks = []
        self.session = None

    async def __aenter__(self):
        if not (REPOSITORY / "target/deps/built").exists():
            raise CannotRun("the build of the deploy file has not been run")
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-2-"))
        app = web.Application()
        app.add_routes(self.store.routes())
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        self.store.address = await self.listen(runner)
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=None),
            auto_decompress=False,
        )
        return self

    async def __aexit__(self, *_exc):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*(p.stop() for p in self.programs))
        await self.session.close()
        for runner in self._runners:
            with contextlib.suppress(Exception):
                await runner.cleanup()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self._folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self._folder, ignore_errors=True)

    def start_task(self, coroutine):
        """Run a coroutine until the site ends."""
        task = asyncio.create_task(coroutine)
        self._tasks.append(task)
        return task

    def new_host(self):
        """Return a loopback address of its own for one machine."""
        self._hosts += 1
        return f"{self._network}.{self._hosts}"

    async def listen(self, runner, host=None, port=0):
        """Serve on a loopback address and return it."""
        await runner.setup()
        self._runners.append(runner)
        await web.TCPSite(runner, host or self.new_host(), port).start()
        host, port = runner.addresses[-1][:2]
        return f"{host}:{port}"

    async def add_program(self, role, name, *, app="", host="", link_mbps=10.0):
        """Start a process of a role of the deploy file on a machine of its own."""
        host = host or self.new_host()
        ports = free_ports(host, 4)
        fields = {
            "NodeName": name,
            "Zone": "kamloops",
            "Ip": host,
            "Listen": {"Front": f"{host}:{ports[0]}", "Ready": f"{host}:{ports[1]}"},
            "InternalPorts": [self.link_port(), self.link_port() + 15],
            "Platform": {"Address": self.store.address},
            "Limits": {"LinkMbps": 1000.0 if role == "entry" else link_mbps},
            "Bounds": {
                "RevokeMs": REVOKE_MS,
                "GraceS": GRACE_S,
                "RetryBudgetRatio": 0.2,
                "RetryBudgetExtra": 90,
                "BudgetWindowS": 10,
            },
            "app": app,
        }
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        described = deploy["roles"][role]
        text = (REPOSITORY / described["template"]).read_text()
        settings = self._folder / f"{name}.ini"
        settings.write_text(fill(text, fields))
        words = [
            str(settings) if word == "/etc/magnoliagrade/settings.toml" else word
            for word in described["run"].split()
        ]
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["PYTHONPATH"] = str(REPOSITORY / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["MAGNOLIAGRADE_BOOT"] = str(settings)
        log = (self._folder / f"{name}.log").open("wb")
        program = Program(name=name, words=words, env=env, log=log)
        program.log_path = self._folder / f"{name}.log"
        program.front, program.ready = fields["Listen"].values()
        program.host = host
        self.programs.append(program)
        await program.start()
        return program

    async def add_flood(self, what, rate=0, host=""):
        """Start a server that sends bytes without end; return its address."""
        host = host or self.new_host()
        port = free_ports(host, 1)[0]
        script = str(REPOSITORY / "review/common-2/flood_2.py")
        program = Program(
            name="flood",
            words=[sys.executable, script, host, str(port), what, str(rate)],
            env=dict(os.environ),
            log=(self._folder / f"flood-{port}.log").open("wb"),
        )
        self.programs.append(program)
        await program.start()
        for _ in range(100):
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(host, port)
                writer.close()
                return f"{host}:{port}"
            await asyncio.sleep(0.05)
        raise CannotRun("the server in trouble does not listen")

    def link_port(self):
        """Return the first internal port, the same on all machines."""
        if not hasattr(self, "_link_port"):
            self._link_port = random.randrange(20000, 28000)
        return self._link_port

    async def await_ready(self, programs, *, limit_s=15):
        """Wait until processes say that they are ready."""
        ends_at = time.monotonic() + limit_s
        for program in programs:
            while not await self.is_ready(program):
                if time.monotonic() > ends_at or not program.is_running:
                    raise CannotRun(f"{program.name} is not ready in {limit_s} s")
                await asyncio.sleep(0.05)

    async def is_ready(self, program):
        """Ask a process whether it is ready."""
        try:
            async with asyncio.timeout(1.0):
                async with self.session.get(f"http://{program.ready}/ready") as answer:
                    return answer.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False


def fill(text, fields):
    """Fill in the placeholders of a template, as DEPLOY.md describes them."""

    def value_of(match):
        value = fields
        for part in match[1].split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return str(value)

    return re.sub(r"\{\{([A-Za-z0-9_.]+)\}\}", value_of, text)


def free_ports(host, count):
    """Return ports that are free on a loopback address now."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind((host, 0))
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


def registration(service, address, *, zone="kamloops", slots=6, **fields):
    """Return the entry with which a server registers itself."""
    return {
        "Service": service,
        "Address": address,
        "Zone": zone,
        "Version": "v1",
        "Slots": slots,
        "State": "ready",
        "ColdRemainingMs": 0,
        "Sequence": 1,
        "born": int(time.time() * 1000),
    } | fields


def route(name, service, kind, **fields):
    """Return a route of the sheet of haldane-swatch."""
    is_stream = kind == "streaming"
    document = {
        "Name": name,
        "Host": HOST_NAME,
        "Prefix": f"/{name}/",
        "Kind": kind,
        "TimeoutMs": 8000 if is_stream else 800,
        "TargetLatencyMs": 402 if is_stream else 202,
        "Priority": 1 if is_stream else 2,
        "Service": service,
        "MaxAttempts": 1 if kind == "unsafe" else 2,
        "Public": False,
    }
    if is_stream:
        document |= {"Sticky": True, "Resumable": True, "GapAimMs": 120}
    return document | fields


def configuration(version, routes, services, tenants):
    """Return a complete configuration; tenants are names by key."""
    names = sorted(set(tenants.values()))
    return {
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [
            {
                "Name": name,
                "ApiKeys": [k for k, n in tenants.items() if n == name],
                "Priority": 1,
            }
            for name in names
        ],
    }


def service(name, **fields):
    """Return the description of a plain service."""
    return {
        "Name": name,
        "HealthPath": "/health",
        "MaxConns": 400,
        "Protocol": "h1",
        "Tls": False,
        "ColdStartS": 0.0,
        "ColdPerS": 0.0,
    } | fields


def run_case(folder, test):
    """Run a test, write its record and exit with the result that the issue asks for.

    `test(site, record, trouble)` returns whether the rule was broken.
    """
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    result = NOT_RUN

    async def limited():
        async with asyncio.timeout(115), Site(record) as site:
            return await test(site, record, trouble)

    try:
        result = BROKEN if asyncio.run(limited()) else HELD
    except (CannotRun, TimeoutError, OSError) as exc:
        record.add(f"could not run: {type(exc).__name__}: {exc}")
    names = {HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}
    record.add(f"result: the rule {names[result]}, trouble={int(trouble)}")
    record.write()
    print(record.lines[-1])
    sys.exit(result)
