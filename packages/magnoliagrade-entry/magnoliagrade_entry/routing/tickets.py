"""Requests that wait for a placement."""

import asyncio
from dataclasses import dataclass, field

from magnoliagrade.algorithms import QueueItem
from magnoliagrade.world import Request

__all__ = ["Ticket"]


@dataclass(slots=True, kw_only=True, eq=False)
class Ticket:
    """One request that waits for credit.

    Parameters
    ----------
    request : Request
        The request.
    pool : str
        Name of its pool.
    excluded : frozenset of str
        Endpoints and peers that it must not go to.
    arrived_at : float
        Monotonic time of its arrival in the queue.
    is_surplus : bool
        Whether its organisation is above its share.
    item : QueueItem
        Its place in the fair queue.
    contact : EndpointHandle, optional
        Endpoint that was asked for its credit.
    asked_at : float
        When that was.
    future : asyncio.Future
        Gets its placement.
    """

    request: Request
    pool: str
    excluded: frozenset = frozenset()
    arrived_at: float = 0.0
    is_surplus: bool = False
    item: QueueItem = None
    handle: object = None
    asked_at: float = 0.0
    future: asyncio.Future = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )

    @property
    def is_waiting(self):
        """Whether it has neither a placement nor a refusal."""
        return not self.future.done()

    def settle(self, placement):
        """Hand the placement over."""
        if not self.future.done():
            self.future.set_result(placement)

    def refuse(self, error):
        """Hand a refusal over."""
        if not self.future.done():
            self.future.set_exception(error)
