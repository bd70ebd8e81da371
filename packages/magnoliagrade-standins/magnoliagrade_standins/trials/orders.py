"""Callers that send orders, some with keys, copies and retries."""

import asyncio
from dataclasses import dataclass, field

from magnoliagrade_standins.harness import call_service

__all__ = ["Order", "OrderCaller"]

MAX_SENDS = 5
RETRY_PAUSE_S = 0.3
DEADLINE_S = 6
KEYED_SHARE = 0.6
COPIED_SHARE = 0.3


@dataclass(slots=True, kw_only=True)
class Order:
    """One order and what its caller saw.

    Parameters
    ----------
    name : str
        Its body, which the back end records.
    key : str
        Idempotency key, or empty.
    is_copied : bool
        Whether a copy is sent through another entry at the same time.
    answer_by_id : dict of str to CallOutcome
        Answers by the request id that was sent.
    """

    name: str
    key: str
    is_copied: bool
    answer_by_id: dict = field(default_factory=dict)

    @property
    def is_served(self):
        """Whether the caller got the back end's answer."""
        return any(a.status == 200 for a in self.answer_by_id.values())


class OrderCaller:
    """Sends orders through the entries of a site.

    Parameters
    ----------
    site : Site
        The site.
    entries : sequence of str
        Entries.
    rng : random.Random
        Source of randomness.
    """

    __slots__ = ("_entries", "_rng", "_site", "orders")

    def __init__(self, *, site, entries, rng):
        self._site = site
        self._entries = entries
        self._rng = rng
        self.orders = []

    async def send_many(self, label, count, *, rate_per_s):
        """Send orders at a rate and wait for the last answer."""
        tasks = []
        for number in range(count):
            is_keyed = self._rng.random() < KEYED_SHARE
            name = f"{label}-{number}"
            order = Order(
                name=name,
                key=name if is_keyed else "",
                is_copied=is_keyed and self._rng.random() < COPIED_SHARE,
            )
            self.orders.append(order)
            tasks.append(asyncio.create_task(self._send(order)))
            await asyncio.sleep(self._rng.expovariate(rate_per_s))
        await asyncio.gather(*tasks)

    async def _send(self, order):
        lines = [self._send_line(order, 0)]
        if order.is_copied:
            lines.append(self._send_line(order, 1))
        await asyncio.gather(*lines)

    async def _send_line(self, order, line):
        """Send an order until it is answered; each time through another entry."""
        start = self._rng.randrange(len(self._entries)) + line
        for turn in range(MAX_SENDS):
            entry = self._entries[(start + turn) % len(self._entries)]
            answer = await self._send_once(order, entry, f"{order.name}-{line}-{turn}")
            if answer.status == 200 or not _may_send_again(order, answer):
                return
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _send_once(self, order, entry, request_id):
        headers = {"X-Request-Id": request_id, "X-Deadline-Seconds": str(DEADLINE_S)}
        if order.key:
            headers["Idempotency-Key"] = order.key
        answer = await call_service(
            self._site, entry, body=order.name.encode(), headers=headers
        )
        order.answer_by_id[request_id] = answer
        return answer


def _may_send_again(order, answer):
    return bool(order.key) or answer.ran == "no"
