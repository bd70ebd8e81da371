"""Callers that send orders with idempotency keys, concurrent copies and retries."""

import asyncio
from dataclasses import dataclass, field

from magnoliagrade_standins.harness import call_service

__all__ = ["Order", "OrderCaller"]

MAX_ATTEMPTS = 5
RETRY_INTERVAL_S = 0.3
DEADLINE_S = 6
KEYED_FRACTION = 0.6
COPIED_FRACTION = 0.3


@dataclass(slots=True, kw_only=True)
class Order:
    """One order and the outcomes that its caller saw.

    Parameters
    ----------
    name : str
        Body of the order, which the back end records.
    key : str
        Idempotency key, or empty.
    is_copied : bool
        Whether a copy is sent concurrently through another entry.
    outcome_by_id : dict of str to CallOutcome
        Outcome of each call by the request id that was sent.
    """

    name: str
    key: str
    is_copied: bool
    outcome_by_id: dict = field(default_factory=dict)

    @property
    def is_served(self):
        """Whether the caller received the back end's response."""
        return any(o.status == 200 for o in self.outcome_by_id.values())


class OrderCaller:
    """Sends orders through the entries of a site.

    Parameters
    ----------
    site : Site
        Running site.
    entries : sequence of str
        Names of the entries.
    rng : random.Random
        Random number generator.
    """

    __slots__ = ("_entries", "_rng", "_site", "orders")

    def __init__(self, *, site, entries, rng):
        self._site = site
        self._entries = entries
        self._rng = rng
        self.orders = []

    async def send_many(self, label, count, *, rate_per_s):
        """Send orders as a Poisson process and wait until all of them have ended."""
        tasks = []
        for number in range(count):
            is_keyed = self._rng.random() < KEYED_FRACTION
            name = f"{label}-{number}"
            order = Order(
                name=name,
                key=name if is_keyed else "",
                is_copied=is_keyed and self._rng.random() < COPIED_FRACTION,
            )
            self.orders.append(order)
            tasks.append(asyncio.create_task(self._send(order)))
            await asyncio.sleep(self._rng.expovariate(rate_per_s))
        await asyncio.gather(*tasks)

    async def _send(self, order):
        sends = [self._send_with_retries(order, 0)]
        if order.is_copied:
            sends.append(self._send_with_retries(order, 1))
        await asyncio.gather(*sends)

    async def _send_with_retries(self, order, copy):
        """Send an order until it is served, each attempt through another entry."""
        start = self._rng.randrange(len(self._entries)) + copy
        for attempt in range(MAX_ATTEMPTS):
            entry = self._entries[(start + attempt) % len(self._entries)]
            outcome = await self._send_once(
                order, entry, f"{order.name}-{copy}-{attempt}"
            )
            if outcome.status == 200 or not _is_retry_safe(order, outcome):
                return
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _send_once(self, order, entry, request_id):
        headers = {"X-Request-Id": request_id, "X-Deadline-Seconds": str(DEADLINE_S)}
        if order.key:
            headers["Idempotency-Key"] = order.key
        outcome = await call_service(
            self._site, entry, body=order.name.encode(), headers=headers
        )
        order.outcome_by_id[request_id] = outcome
        return outcome


def _is_retry_safe(order, outcome):
    return bool(order.key) or outcome.ran == "no"
