"""A key that was taken away, at a machine that starts while the store is a copy."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))
import aiohttp
import site_2
from aiohttp import web

SOUND_KEY, REVOKED_KEY = "key-1", "key-2"
# The store returns from a copy of some seconds before, and what the operator wrote
# since is written again a second later.
COPY_AGE_S = 7.0
AWAY_S = 0.3
REWRITE_S = 1.0
SENDING_S = 5.0
INTERVAL_S = 0.05
REVOKE_S = site_2.REVOKE_MS / 1000


class Test:
    """Servers, callers and operator of the case, and what they saw."""

    def __init__(self, site, record):
        self.site = site
        self.record = record
        self.runs = {}
        self.sent = {}
        self.entry_by_key = {}
        self.restarted = None

    def configure(self, version, tenants):
        """Write a configuration; return the time of its acknowledgement."""
        routes = [site_2.route("order", "desk", "unsafe")]
        services = [site_2.service("desk")]
        document = site_2.configuration(version, routes, services, tenants)
        self.site.store.put("op/config", document)
        self.record.add(f"version {version} is acknowledged, keys {list(tenants)}")
        return time.monotonic()

    async def start(self):
        """Start the servers and the entries."""
        self.configure(3, {SOUND_KEY: "tenant-1", REVOKED_KEY: "tenant-2"})
        for number in range(3):
            runner = web.ServerRunner(web.Server(self._handle))
            address = await self.site.listen(runner)
            key = f"servers/i-{number}"
            self.entry_by_key[key] = site_2.registration("desk", address)
            self.site.store.put(key, self.entry_by_key[key])
        names = ("front-1", "front-2", "front-3")
        entries = [await self.site.add_program("entry", name) for name in names]
        await self.site.await_ready(entries)
        self.restarted = entries[1]
        await asyncio.sleep(site_2.STABLE_WINDOW_S)

    async def _handle(self, request):
        await request.read()
        request_id = request.headers[site_2.REQUEST_ID]
        self.runs[request_id] = time.monotonic()
        self.record.add(f"run {request_id}")
        headers = {site_2.REQUEST_ID: request_id, site_2.STAMP: "stamp"}
        await asyncio.sleep(0.045)
        return web.Response(headers=headers, text="done")

    async def send(self, number, key):
        """Send an order to the machine that has been restarted."""
        request_id = f"{key}-{number}"
        self.sent[request_id] = time.monotonic()
        headers = {
            "Host": site_2.HOST_NAME,
            "Authorization": f"Bearer {key}",
            site_2.REQUEST_ID: request_id,
            site_2.DEADLINE: "1520",
        }
        url = f"http://{self.restarted.front}/order/1"
        try:
            async with (
                asyncio.timeout(1.5),
                self.site.session.post(url, headers=headers, data="x") as answer,
            ):
                status = answer.status
                await answer.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            status = type(exc).__name__
        self.record.add(f"answer {request_id} {status}")

    async def stop_machine(self):
        """Begin a planned restart and wait for the end of the process."""
        self.record.add("planned restart: SIGTERM")
        self.restarted.send(signal.SIGTERM)
        await asyncio.wait_for(self.restarted.process.wait(), site_2.GRACE_S + 1)

    async def drill(self, copy):
        """Let the store be away for a moment and return from a copy."""
        store = self.site.store
        self.record.add("the store is away")
        store.is_away = True
        await asyncio.sleep(AWAY_S)
        store.return_from(copy)
        store.is_away = False
        self.record.add("the store returns from a copy")

    async def write_again(self):
        """Write again what operator and servers had written."""
        await asyncio.sleep(REWRITE_S)
        for key, value in self.entry_by_key.items():
            self.site.store.put(key, value)
        self.configure(5, {SOUND_KEY: "tenant-1"})


async def test(site, record, trouble):
    """Return whether a request with the key runs too late."""
    case = Test(site, record)
    await case.start()
    copy = site.store.make_copy()
    acknowledged_at = case.configure(5, {SOUND_KEY: "tenant-1"})
    await asyncio.sleep(COPY_AGE_S - 3.0)
    await case.stop_machine()
    if time.monotonic() - acknowledged_at < REVOKE_S:
        raise site_2.CannotRun("the machine stopped too soon")
    if trouble:
        await case.drill(copy)
    await case.restarted.start()
    site.start_task(case.write_again())
    for number in range(int(SENDING_S / INTERVAL_S)):
        site.start_task(case.send(number, REVOKED_KEY))
        site.start_task(case.send(number, SOUND_KEY))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.sleep(2.0)
    late = [
        request_id
        for request_id in case.runs
        if request_id.startswith(REVOKED_KEY)
        and case.sent[request_id] > acknowledged_at + REVOKE_S
    ]
    sound = sum(request_id.startswith(SOUND_KEY) for request_id in case.runs)
    record.add(f"late runs with the key that was taken away: {len(late)}")
    record.add(f"runs with the other key: {sound}")
    for line in record.lines[-2:]:
        print(line)
    if not sound:
        raise site_2.CannotRun("no request with the other key ran")
    return bool(late)


if __name__ == "__main__":
    site_2.run_case(pathlib.Path(__file__).parent, test)
