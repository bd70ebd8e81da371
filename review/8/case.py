"""Streams whose server is silent for a while, after the machine got SIGHUP."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))
import aiohttp
import site_2
from aiohttp import web

KEY = "key-1"
# The sheet of rbv-thumbs: kind of request `bulk-recaption`.
OBJECTIVE_MS = 1007
GAP_AIM_MS = 150
TIMEOUT_MS = 8000
LIMIT_MS = 8054
# Callers wait for two seconds, four objectives or eight pauses, whichever is longest.
PATIENCE_S = max(2.0, 4 * OBJECTIVE_MS / 1000, 8 * GAP_AIM_MS / 1000)
SILENCE_S = 2.5
EVENTS = 19
STREAMS = 8


class Caller:
    """Caller of one stream, on a connection that it has used before."""

    def __init__(self, site, record, entry):
        self.site = site
        self.record = record
        self.entry = entry

    async def stream(self, request_id, path):
        """Return the ids of the events and how the response ended."""
        headers = {
            "Host": site_2.HOST_NAME,
            "Authorization": f"Bearer {KEY}",
            site_2.REQUEST_ID: request_id,
            site_2.DEADLINE: str(LIMIT_MS),
        }
        began = time.monotonic()
        self.record.add(f"send {request_id}")
        events, data, longest, end = [], b"", 0.0, "complete"
        last = began
        try:
            async with self.site.session.post(
                f"http://{self.entry.front}{path}", headers=headers, data="x" * 600
            ) as answer:
                if answer.status != 200:
                    end = f"status {answer.status}"
                while answer.status == 200:
                    async with asyncio.timeout(PATIENCE_S):
                        part = await answer.content.readany()
                    longest = max(longest, time.monotonic() - last)
                    last = time.monotonic()
                    if not part:
                        break
                    data += part
        except TimeoutError:
            end = "given up by the caller"
        except (aiohttp.ClientError, OSError) as exc:
            end = f"broken off: {type(exc).__name__}"
        for event in data.split(b"\n\n")[:-1]:
            events.append(int(event.split(b"\n")[0].removeprefix(b"id: ")))
        took = time.monotonic() - began
        self.record.add(
            f"answer {request_id} {end}, {len(events)} of {EVENTS} events, after "
            f"{took:.2f} s, longest pause {longest:.2f} s"
        )
        return events, end


async def test(site, record, trouble):
    """Return whether a stream of a sound server ends without a complete answer."""
    routes = [
        site_2.route(
            "recaption",
            "captions",
            "streaming",
            TimeoutMs=TIMEOUT_MS,
            TargetLatencyMs=OBJECTIVE_MS,
            GapAimMs=GAP_AIM_MS,
            MaxAttempts=1,
            Resumable=False,
        )
    ]
    services = [site_2.service("captions")]
    document = site_2.configuration(3, routes, services, {KEY: "tenant-1"})
    site.store.put("op/config", document)
    cut_at_server = []

    async def handle(request):
        await request.read()
        request_id = request.headers[site_2.REQUEST_ID]
        record.add(f"run {request_id}")
        headers = {
            site_2.REQUEST_ID: request_id,
            site_2.STAMP: "stamp",
            "Content-Type": "text/event-stream",
        }
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        try:
            for number in range(1, EVENTS + 1):
                if trouble and number == 6 and not request_id.startswith("first"):
                    # It is preempted in the middle of its stream, and read again.
                    await asyncio.sleep(SILENCE_S)
                await response.write(f"id: {number}\ndata: {number}\n\n".encode())
                await asyncio.sleep(0.08)
        except (asyncio.CancelledError, ConnectionError):
            cut_at_server.append(request_id)
            record.add(f"{request_id} is closed by the caller of the server")
            raise
        return response

    for number in (1, 2):
        runner = web.ServerRunner(web.Server(handle, handler_cancellation=True))
        address = await site.listen(runner)
        entry = site_2.registration("captions", address)
        site.store.put(f"servers/i-{number}", entry)
    entry = await site.add_program("entry", "front-1")
    await site.await_ready([entry])
    await asyncio.sleep(site_2.STABLE_WINDOW_S)
    caller = Caller(site, record, entry)
    # Connections that are kept for the next requests.
    kept = [caller.stream(f"first-{n}", "/recaption/1") for n in range(STREAMS)]
    if any(end != "complete" for _, end in await asyncio.gather(*kept)):
        raise site_2.CannotRun("a stream without silence was not served")
    await asyncio.sleep(site_2.STABLE_WINDOW_S)
    record.add("SIGHUP: planned work at the machine")
    entry.send(signal.SIGHUP)
    await asyncio.sleep(0.3)
    streams = [caller.stream(f"second-{n}", "/recaption/1") for n in range(STREAMS)]
    results = await asyncio.gather(*streams)
    cut = sum(end.startswith("broken off") for _, end in results)
    record.add(f"streams cut without a complete answer: {cut} of {STREAMS}")
    print(record.lines[-1])
    return cut > 3


if __name__ == "__main__":
    site_2.run_case(pathlib.Path(__file__).parent, test)
