"""Orders to a rank that may fail before or after the rank has obeyed."""

from magnoliagrade.errors import ErrorKind, MagnoliagradeError

__all__ = ["UnreliableOrders"]


class UnreliableOrders:
    """A rank's orders, some of which get no answer.

    Parameters
    ----------
    rank : Rank
        The rank.
    rng : random.Random
        Source of chance.
    fails : callable
        Returns the part of orders that fail now.
    """

    __slots__ = ("_fails", "_rank", "_rng")

    def __init__(self, *, rank, rng, fails):
        self._rank = rank
        self._rng = rng
        self._fails = fails

    def __getattr__(self, name):
        """Return the rank's order of a name, which may then fail."""
        order = getattr(self._rank, name)

        async def obey(*arguments, **options):
            self._maybe_fail("before")
            answer = await order(*arguments, **options)
            self._maybe_fail("after")
            return answer

        return obey

    def _maybe_fail(self, moment):
        if self._rng.random() < self._fails() / 2:
            detail = f"no answer, {moment} the rank obeyed"
            raise MagnoliagradeError(ErrorKind.UPSTREAM_FAILED, detail)
