"""One part of a prompt crashes servers: sound requests with the same first part."""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))
import aiohttp
import site_2
from group_2 import Group

FIRST_PART = "5c1e07a2"
CRASHING_PART = "91bd3f06"
OTHER_PARTS = ("a0000001", "a0000002", "a0000003", "a0000004")
TENANT_BY_KEY = {f"key-{n}": f"tenant-{n}" for n in range(1, 5)}
# The caller of the requests that crash servers; most requests with its key are sound.
CRASHING_KEY = "key-1"
SOUND_PER_S = 16.0
CRASHING_PER_S = 1.0
CALM_S = 12.0
CRASHING_S = 40.0
WINDOW_S = 2 * site_2.STABLE_WINDOW_S
LIMIT_MS = 8000


class Callers:
    """Callers of the streams; each repeats once after a promise, as it is told."""

    def __init__(self, site, record, entries):
        self.site = site
        self.record = record
        self.entries = entries
        self.rng = random.Random(1)
        self.sent = {}
        self.count = 0

    async def send_for(self, seconds, per_s, make_parts, kind):
        """Send requests at a mean rate; remember the sound first attempts."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            await asyncio.sleep(self.rng.uniform(0.5, 1.5) / per_s)
            self.count += 1
            self.site.start_task(self._request(self.count, make_parts(), kind))

    async def _request(self, number, parts, kind):
        key = self.rng.choice(list(TENANT_BY_KEY)) if kind == "sound" else CRASHING_KEY
        left_s = LIMIT_MS / 1000
        prefix = ",".join(f"{part}:100" for part in (*parts, f"{number:08x}"))
        for attempt in (1, 2):
            entry = self.rng.choice(self.entries)
            request_id = f"{kind}-{number}-{attempt}"
            began = time.monotonic()
            if kind == "sound" and attempt == 1 and key == CRASHING_KEY:
                self.sent[request_id] = began
            headers = {
                "Host": site_2.HOST_NAME,
                "Authorization": f"Bearer {key}",
                site_2.REQUEST_ID: request_id,
                site_2.DEADLINE: str(int(left_s * 1000)),
                site_2.PROMPT_PREFIX: prefix,
                "X-Magnoliagrade-Model": "m",
                "X-Magnoliagrade-Token-Counts": "674,140",
            }
            status, wait_s = 0, 0.0
            try:
                async with (
                    asyncio.timeout(left_s),
                    self.site.session.post(
                        f"http://{entry.front}/describe/{number}",
                        headers=headers,
                        data=f"prompt {number}",
                    ) as answer,
                ):
                    status = answer.status
                    wait_s = float(answer.headers.get("Retry-After", 0))
                    await answer.read()
            except (aiohttp.ClientError, OSError, TimeoutError) as exc:
                status = type(exc).__name__
            self.record.add(f"answer {request_id} {status}")
            left_s -= time.monotonic() - began
            if status not in (429, 503) or wait_s > left_s / 3:
                return
            await asyncio.sleep(wait_s)
            left_s -= wait_s


async def test(site, record, trouble):
    """Return whether sound requests begin less than half as often."""
    routes = [site_2.route("describe", "assistant", "streaming")]
    services = [site_2.service("assistant")]
    site.store.put(
        "op/config", site_2.configuration(3, routes, services, TENANT_BY_KEY)
    )
    group = Group(site, record, ranks=12, slots=6, events=28, event_s=0.08, down_s=2.5)
    await group.start()
    entries = [await site.add_program("entry", f"front-{n}") for n in (1, 2)]
    await site.await_ready(entries)
    await asyncio.sleep(1.0)
    callers = Callers(site, record, entries)

    def sound():
        return FIRST_PART, callers.rng.choice(OTHER_PARTS)

    def crashing():
        return FIRST_PART, CRASHING_PART

    group.crashing_part = CRASHING_PART if trouble else ""
    began = time.monotonic()
    sending = site.start_task(
        callers.send_for(CALM_S + CRASHING_S, SOUND_PER_S, sound, "sound")
    )
    await asyncio.sleep(CALM_S)
    crashing_from = time.monotonic()
    await callers.send_for(CRASHING_S, CRASHING_PER_S, crashing, "crashing")
    ends_at = time.monotonic()
    await sending
    await asyncio.sleep(1.0)
    fifth = group.crashed_at[:5][-1] if group.crashed_at else crashing_from
    calm = share_begun(callers.sent, group.begun, began + 1.0, crashing_from - 2.0)
    later = share_begun(callers.sent, group.begun, fifth + WINDOW_S, ends_at)
    record.add(
        f"crashes {len(group.crashed_at)}, the fifth or last at {fifth - began:.1f} s"
    )
    record.add(f"begun at the first attempt, calm: {calm[0]} of {calm[1]}")
    record.add(f"begun at the first attempt, later: {later[0]} of {later[1]}")
    for line in record.lines[-3:]:
        print(line)
    if min(calm[1], later[1]) < 20:
        raise site_2.CannotRun("fewer than 20 requests to compare")
    return later[0] / later[1] < 0.5 * calm[0] / calm[1]


def share_begun(sent, begun, start, end):
    """Return how many first attempts of a time began, and how many there were."""
    ids = [i for i, at in sent.items() if start <= at < end]
    return sum(i in begun for i in ids), len(ids)


if __name__ == "__main__":
    site_2.run_case(pathlib.Path(__file__).parent, test)
