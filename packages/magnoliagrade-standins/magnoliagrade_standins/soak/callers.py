"""Callers of a soak: what they sent and what came of it."""

import asyncio
import random
from dataclasses import dataclass

import aiohttp
from yarl import URL

__all__ = ["SoakCaller", "SoakCall"]

REQUEST_ID = "X-Magnoliagrade-Request-Id"
STAMP = "X-Magnoliagrade-Response-Stamp"
DEADLINE_MS = 3000
# Beyond its deadline a caller gives up.
GIVE_UP_S = 5.0
PAUSE_S = 0.05


@dataclass(slots=True, kw_only=True)
class SoakCall:
    """One request and its answer; a status of 0 means that there was no whole one."""

    id: str
    kind: str
    key: str
    body: str
    sent_at: float
    status: int = 0
    answer_id: str = ""
    stamp: str = ""
    text: str = ""


class SoakCaller:
    """One caller, who keeps connections open and sends one request after the other.

    Parameters
    ----------
    site : SoakSite
        Where requests go.
    number : int
        Number of the caller.
    """

    __slots__ = ("_number", "_rng", "_site", "calls")

    def __init__(self, *, site, number):
        self._site = site
        self._number = number
        self._rng = random.Random(site.plan.seed * 1000 + number)
        self.calls = []

    async def run(self, ends_at):
        """Send requests until a time."""
        timeout = aiohttp.ClientTimeout(total=GIVE_UP_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while self._site.clock.monotonic() < ends_at:
                await self._call(session)
                await asyncio.sleep(self._rng.uniform(0, 2 * PAUSE_S))

    async def _call(self, session):
        site, rng = self._site, self._rng
        kind = rng.choice(("look", "order", "stream"))
        number = len(self.calls)
        call = SoakCall(
            id=f"c{self._number}-{number}",
            kind=kind,
            key=rng.choice([*site.keys, *list(site.removed_at_by_key)[-1:]]),
            body=f"{self._number}.{number}",
            sent_at=site.clock.monotonic(),
        )
        self.calls.append(call)
        entry = rng.choice(site.entries)
        headers = {
            "Host": "a.example",
            "Authorization": f"Bearer {call.key}",
            "X-Magnoliagrade-Deadline-Ms": str(DEADLINE_MS),
            REQUEST_ID: call.id,
        }
        url = URL(f"http://{entry.caller_address}/{kind}/{number}", encoded=True)
        method = "GET" if kind == "look" else "POST"
        data = None if kind == "look" else call.body
        try:
            async with session.request(
                method, url, headers=headers, data=data
            ) as response:
                text = await response.text()
        except (aiohttp.ClientError, OSError, TimeoutError):
            # No whole answer: the product promises nothing about such a call.
            return
        call.status = response.status
        call.answer_id = response.headers.get(REQUEST_ID, "")
        call.stamp = response.headers.get(STAMP, "")
        call.text = text
