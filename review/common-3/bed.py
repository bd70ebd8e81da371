"""A small site on loopback for the cases of this review, with the standard library.

The entries are the project's own program, started as `deploy/system.toml` starts it,
with settings filled into its own template. The store, the servers and the clients are
stand-ins that do only what the users' pages say.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import re
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
HOST_NAME = "ficu95.example"
START_S = 20.0
# A server takes a body of the largest size at once.
READ_BYTES = 8 * 1024 * 1024


class Record:
    """Lines of `record.txt`, each with the time since the start."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w")
        self.began_at = time.monotonic()

    def write(self, text):
        """Write one line."""
        line = f"{time.monotonic() - self.began_at:9.3f} s  {text}"
        print(line, flush=True)
        print(line, file=self._file, flush=True)


async def read_head(reader):
    """Return the first line and the headers, with names in lower case; None at EOF."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    """Return the complete body of a message that has a length or chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


def json_reply(document, status=200):
    """Return an answer of the store, without its era."""
    return document, status


def encode_reply(document, status, era):
    """Return an answer of the store as bytes."""
    data = json.dumps(document).encode()
    head = f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
    return (
        f"{head}Store-Era: {era}\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data
    )


class Store:
    """The platform's store: items, watches and leases, with linearizable answers."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 7
        self.leases = {}
        self.last_lease = 0
        self.changed = asyncio.Event()
        self.address = ""
        self.era = 1
        self.is_away = False
        self.oldest_revision = 0

    async def start(self):
        """Start it."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"

    def put(self, key, value, lease=0):
        """Write an item, as the operator, a server or the system does."""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        created = self.items.get(key, {}).get("CreateRevision", self.revision)
        item = {
            "Key": key,
            "Value": base64.b64encode(value).decode(),
            "Revision": self.revision,
            "CreateRevision": created,
            "Lease": lease,
        }
        self.items[key] = item
        self._announce(item)

    def delete(self, key):
        """Delete an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._announce({"Key": key, "Revision": self.revision, "Tombstone": True})

    def copy(self):
        """Return a copy of the state, from which the store may return."""
        leases = {lease: set(keys) for lease, keys in self.leases.items()}
        return dict(self.items), leases, self.revision

    def go_away(self):
        """Answer 503 from now on, also the watches that wait."""
        self.is_away = True
        self.changed.set()
        self.changed = asyncio.Event()

    def return_from(self, copied):
        """Answer again, with the state of a copy and in the next era."""
        items, leases, self.revision = copied
        self.items, self.leases = dict(items), leases
        self.events = []
        self.oldest_revision = self.revision
        self.era += 1
        self.is_away = False

    def _announce(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ")
                body = await read_body(reader, head[1])
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                document = json.loads(body) if body else {}
                if self.is_away:
                    reply, status = json_reply({}, 503)
                else:
                    reply, status = await self._reply(method, url.path, query, document)
                writer.write(encode_reply(reply, status, self.era))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _reply(self, method, path, query, body):
        reply_by_path = {
            "/kv-key": lambda: self._get(query),
            "/kv-range": lambda: self._list(query),
            "/kv-txn": lambda: self._commit(body),
            "/kv-lease": lambda: self._grant(body),
        }
        if path == "/kv-watch":
            return await self._watch(query)
        if path in reply_by_path:
            return reply_by_path[path]()
        return self._keep_or_end(method, int(path.rpartition("/")[2]))

    def _get(self, query):
        item = self.items.get(query["Key"])
        if item is None:
            return json_reply({"AsOf": self.revision}, 404)
        return json_reply({**item, "AsOf": self.revision})

    def _list(self, query):
        prefix, after = query.get("Prefix", ""), query.get("After", "")
        keys = [k for k in sorted(self.items) if k.startswith(prefix) and k > after]
        return json_reply(
            {
                "Items": [self.items[k] for k in keys[:500]],
                "MorePages": len(keys) > 500,
                "AsOf": self.revision,
            }
        )

    async def _watch(self, query):
        ends_at = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        after, prefix = int(query["After"]), query.get("Prefix", "")
        while True:
            if self.is_away:
                return json_reply({}, 503)
            if not self.oldest_revision <= after <= self.revision:
                return json_reply({}, 410)
            events = [
                e
                for e in self.events
                if e["Revision"] > after and e["Key"].startswith(prefix)
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return json_reply({"events": events, "AsOf": self.revision})
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left_s)

    def _commit(self, body):
        for row in body.get("Precondition") or []:
            known = self.items.get(row["Key"], {}).get("Revision", 0)
            if known != row["Revision"]:
                return json_reply({"Items": []}, 412)
        writes = body.get("Writes") or []
        if any(w.get("Lease") and w["Lease"] not in self.leases for w in writes):
            return json_reply({}, 404)
        for write in writes:
            lease = write.get("Lease") or 0
            self.put(write["Key"], base64.b64decode(write["Value"]), lease)
            if lease:
                self.leases[lease].add(write["Key"])
        for key in body.get("Deletes") or []:
            self.delete(key)
        return json_reply({"Revision": self.revision})

    def _grant(self, body):
        self.last_lease += 1
        self.leases[self.last_lease] = set()
        return json_reply({"Lease": self.last_lease, "TtlMs": body["TtlMs"]})

    def _keep_or_end(self, method, lease):
        if lease not in self.leases:
            return json_reply({}, 404)
        if method == "DELETE":
            for key in self.leases.pop(lease):
                if self.items.get(key, {}).get("Lease") == lease:
                    self.delete(key)
        return json_reply({"TtlMs": 10000})


class Server:
    """A sound server: answers with `respond(server, request)` and records what it ran.

    `respond` is a coroutine function; its request has `id`, `path`, `headers`, `body`
    and `writer`. A request that expects another instance gets 421.
    """

    def __init__(self, *, instance, service, zone, record, respond, slots=6):
        self.instance, self.service, self.zone = instance, service, zone
        self.record, self.respond, self.slots = record, respond, slots
        self.address = ""
        self.runs = []

    async def start(self, store):
        """Listen, and register in the store."""
        server = await asyncio.start_server(self._serve, HOST, 0, limit=READ_BYTES)
        self.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
        document = {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "1",
            "Slots": self.slots,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Sequence": 1,
            "born": int(time.time() * 1000),
        }
        store.put(f"servers/{self.instance}", document)

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                method, target, _ = first.split(" ")
                body = await read_body(reader, headers)
                request_id = headers.get("x-magnoliagrade-request-id", "")
                if headers.get("x-magnoliagrade-expect-instance") != self.instance:
                    writer.write(b"HTTP/1.1 421 -\r\nContent-Length: 0\r\n\r\n")
                    continue
                self.runs.append(request_id)
                self.record.write(
                    f"{self.instance} runs {request_id} ({method} {target})"
                )
                request = Request(request_id, target, headers, body, writer)
                await self.respond(self, request)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def head(self, request, *, status=200, extra=""):
        """Return the head of a sound answer, but for its length."""
        return (
            f"HTTP/1.1 {status} -\r\nX-Magnoliagrade-Request-Id: {request.id}\r\n"
            f"X-Magnoliagrade-Response-Stamp: {self.instance}.{request.id}\r\n{extra}"
        )


class Request:
    """A request as its server received it."""

    def __init__(self, request_id, path, headers, body, writer):
        self.id, self.path, self.headers = request_id, path, headers
        self.body, self.writer = body, writer


def deployed_command(role):
    """Return the command of a role and its template, from the deploy file."""
    with open(ROOT / "deploy" / "system.toml", "rb") as file:
        document = tomllib.load(file)["roles"][role]
    return shlex.split(document["run"]), (ROOT / document["template"]).read_text()


def fill(template, fields):
    """Return a template with the plain placeholders that this project's ones use."""

    def value(match):
        found = fields
        for part in match[1].split("."):
            found = found[int(part)] if part.isdigit() else found.get(part, "")
        return str(found)

    return re.sub(r"\{\{([A-Za-z0-9_.]+)\}\}", value, template)


_taken_ports = set()


def free_ports(count):
    """Return free ports below those that the system gives to outgoing connections."""
    found = []
    while len(found) < count:
        port = random.randrange(15000, 32000)
        with socket.socket() as opened:
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                opened.bind((HOST, port))
            except OSError:
                continue
        if port not in _taken_ports:
            _taken_ports.add(port)
            found.append(port)
    return found


class Entry:
    """One process of the deployed entry."""

    def __init__(self, *, name, zone, store, record, bounds=None):
        self.name, self.record = name, record
        self.folder = tempfile.mkdtemp(prefix="review-")
        # The metrics port is fixed in the template; it gets a free one here.
        self.front, self.ready, self.link, metrics = free_ports(4)
        command, template = deployed_command("entry")
        template = template.replace(":9464", f":{metrics}")
        fields = {
            "NodeName": name,
            "Zone": zone,
            "Ip": HOST,
            "InternalPorts": [self.link, self.link + 15],
            "Listen": {
                "Front": f"{HOST}:{self.front}",
                "Ready": f"{HOST}:{self.ready}",
            },
            "Platform": {"Address": store.address},
            "Bounds": {
                "RevokeMs": 5000,
                "GraceS": 8,
                "RetryBudgetRatio": 0.2,
                "RetryBudgetExtra": 90,
                "BudgetWindowS": 10,
                **(bounds or {}),
            },
        }
        self.settings = pathlib.Path(self.folder) / "settings.toml"
        self.settings.write_text(fill(template, fields))
        path = "/etc/magnoliagrade/settings.toml"
        self._command = [str(self.settings) if w == path else w for w in command]
        self.process = None

    async def start(self):
        """Start it."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        log = open(pathlib.Path(self.folder) / "log", "wb")
        self.process = await asyncio.create_subprocess_exec(
            *self._command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        self.record.write(f"{self.name} started, process {self.process.pid}")

    async def wait_ready(self):
        """Wait until the platform would send it channels."""
        ends_at = time.monotonic() + START_S
        while time.monotonic() < ends_at:
            if self.process.returncode is not None:
                raise CannotRun(f"{self.name} ended at its start: {self.log()[-800:]}")
            if await get_status(self.ready, "/ready") == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun(
            f"{self.name} was not ready in {START_S} s: {self.log()[-800:]}"
        )

    def log(self):
        """Return what the process has logged."""
        return (pathlib.Path(self.folder) / "log").read_text(errors="replace")

    def send(self, number):
        """Send a signal to the process."""
        self.record.write(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def memory_mb(self):
        """Return the resident memory of the process, 0 once it has ended."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+) kB", status)
        return int(found[1]) / 1024 if found else 0.0

    async def stop(self):
        """End the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class CannotRun(Exception):
    """The case could not run; it says nothing about the rule."""


async def get_status(port, path):
    """Return the status of a GET, 0 without an answer."""
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
    except OSError:
        return 0
    try:
        writer.write(
            f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode()
        )
        head = await asyncio.wait_for(read_head(reader), 2)
        return int(head[0].split(" ")[1]) if head else 0
    except (OSError, TimeoutError):
        return 0
    finally:
        writer.close()


def request_head(method, path, request_id, *, deadline_ms, length=None, extra=""):
    """Return the head of a consumer's request as the pages show it."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"X-Magnoliagrade-Request-Id: {request_id}",
        f"X-Magnoliagrade-Deadline-Ms: {deadline_ms}",
        f"Authorization: Bearer {KEY}",
    ]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n" + extra + "\r\n").encode()


def route(prefix, service, kind, **fields):
    """Return a route of the configuration."""
    document = {
        "Name": f"r-{prefix.strip('/')}",
        "Host": HOST_NAME,
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


def configuration(routes, version=7):
    """Return a configuration with one tenant."""
    services = set()
    for document in routes:
        services |= {share["Service"] for share in document.get("Split", [document])}
    return {
        "Version": version,
        "Routes": routes,
        "Services": [
            {
                "Name": name,
                "HealthPath": "/health",
                "MaxConns": 408,
                "Protocol": "h1",
                "Tls": False,
                "ColdStartS": 0.0,
                "ColdPerS": 0.0,
            }
            for name in sorted(services)
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": TENANT, "ApiKeys": [KEY], "Priority": 1}],
    }


def run_case(scenario, folder, *, limit_s=110):
    """Run a scenario and exit: 1 if a rule was broken, 0 if it held, 2 if it could not.

    `scenario(record, trouble, started)` is a coroutine function that returns the broken
    rules as a list of texts; it appends the entries that it starts to `started`.
    """
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    started = []

    async def main():
        try:
            async with asyncio.timeout(limit_s):
                return await scenario(record, trouble, started)
        finally:
            for entry in started:
                await entry.stop()

    try:
        broken = asyncio.run(main())
    except Exception as exc:
        # Whatever goes wrong in the script itself says nothing about the rule.
        record.write(f"could not run: {type(exc).__name__}: {exc}")
        sys.exit(2)
    for text in broken:
        record.write(f"BROKEN {text}")
    record.write("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
