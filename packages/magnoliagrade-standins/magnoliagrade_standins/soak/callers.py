"""Callers of a soak, which record their requests and the responses."""

import asyncio
import random
from dataclasses import dataclass

import aiohttp
from yarl import URL

__all__ = ["SoakCaller", "SoakCall"]

REQUEST_ID_HEADER = "X-Magnoliagrade-Request-Id"
STAMP_HEADER = "X-Magnoliagrade-Response-Stamp"
DEADLINE_MS = 3000
# Longer than the deadline that callers send, so that the entry ends a request first.
CALL_TIMEOUT_S = 5.0
MEAN_PAUSE_S = 0.05


@dataclass(slots=True, kw_only=True)
class SoakCall:
    """One request and its response.

    Parameters
    ----------
    id : str
        Request id.
    kind : str
        `look` (safe), `order` (unsafe) or `stream`.
    key : str
        API key of the organisation.
    body : str
        Body of the request; not sent with `look`.
    sent_at : float
        Monotonic time at which it was sent, in seconds.
    status : int
        HTTP status; 0 if no complete response arrived.
    response_id : str
        Request id in the response's headers.
    stamp : str
        Stamp in the response's headers, which names the endpoint.
    text : str
        Body of the response.
    """

    id: str
    kind: str
    key: str
    body: str
    sent_at: float
    status: int = 0
    response_id: str = ""
    stamp: str = ""
    text: str = ""


class SoakCaller:
    """Caller that keeps connections open and sends one request at a time.

    Parameters
    ----------
    site : SoakSite
        Site whose entries receive the requests.
    number : int
        Number of the caller; part of its request ids and of its random seed.
    """

    __slots__ = ("_number", "_rng", "_site", "calls")

    def __init__(self, *, site, number):
        self._site = site
        self._number = number
        self._rng = random.Random(site.plan.seed * 1000 + number)
        self.calls = []

    async def run(self, *, is_over):
        """Send requests with random pauses until `is_over` returns true."""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while not is_over():
                await self._send_request(session)
                await asyncio.sleep(self._rng.uniform(0, 2 * MEAN_PAUSE_S))

    async def _send_request(self, session):
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
            REQUEST_ID_HEADER: call.id,
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
            # Without a complete response no promise about the response can be checked.
            return
        call.status = response.status
        call.response_id = response.headers.get(REQUEST_ID_HEADER, "")
        call.stamp = response.headers.get(STAMP_HEADER, "")
        call.text = text
