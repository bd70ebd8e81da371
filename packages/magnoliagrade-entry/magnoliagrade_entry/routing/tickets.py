"""Tickets: requests that wait in a queue for their placement."""

import asyncio
from dataclasses import dataclass, field

from magnoliagrade.algorithms import QueueItem
from magnoliagrade.world import Request

__all__ = ["Ticket"]


@dataclass(slots=True, kw_only=True, eq=False)
class Ticket:
    """A request that waits for credit, and the future of its placement.

    Parameters
    ----------
    request : Request
        The request.
    pool : str
        Name of the request's pool.
    excluded : frozenset of str
        Names of endpoints and peers that the request must not be sent to.
    arrived_at : float
        Monotonic time of arrival in the queue.
    is_surplus : bool
        Whether the request's flow is above its share.
    item : QueueItem
        Item in the fair queue.
    requested_from : EndpointHandle, optional
        Endpoint at which a credit request for this ticket is pending.
    requested_at : float
        Monotonic time of the last credit request.
    future : asyncio.Future
        Receives the placement or the error of a rejection.
    """

    request: Request
    pool: str
    excluded: frozenset = frozenset()
    arrived_at: float = 0.0
    is_surplus: bool = False
    item: QueueItem = None
    requested_from: object = None
    requested_at: float = 0.0
    future: asyncio.Future = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )

    @property
    def is_waiting(self):
        """Return whether the request is neither placed nor rejected."""
        return not self.future.done()

    def settle(self, placement):
        """Complete the future with a placement, unless it is done."""
        if not self.future.done():
            self.future.set_result(placement)

    def reject(self, error):
        """Fail the future with the error of a rejection, unless it is done."""
        if not self.future.done():
            self.future.set_exception(error)
