"""Orders to a rank that may fail before or after the rank carries them out."""

from magnoliagrade.errors import ErrorKind, MagnoliagradeError

__all__ = ["UnreliableOrders"]


class UnreliableOrders:
    """Orders of a rank, of which a random fraction gets no reply.

    Parameters
    ----------
    rank : Rank
        The rank that carries out the orders.
    rng : random.Random
        Random number generator.
    failure_rate : callable
        Returns the fraction of orders that currently fail, from 0 to 1.
    """

    __slots__ = ("_failure_rate", "_rank", "_rng")

    def __init__(self, *, rank, rng, failure_rate):
        self._rank = rank
        self._rng = rng
        self._failure_rate = failure_rate

    def __getattr__(self, name):
        """Return the rank's order of that name as a coroutine that may fail."""
        order = getattr(self._rank, name)

        async def execute(*arguments, **options):
            self._fail_at_random("before")
            reply = await order(*arguments, **options)
            self._fail_at_random("after")
            return reply

        return execute

    def _fail_at_random(self, moment):
        if self._rng.random() < self._failure_rate() / 2:
            detail = f"order got no reply; it failed {moment} the rank carried it out"
            raise MagnoliagradeError(ErrorKind.UPSTREAM_FAILED, detail)
