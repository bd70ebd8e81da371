"""The agent's book of work in flight and of credits granted to entries."""

from magnoliagrade.errors import ErrorKind, MagnoliagradeError

__all__ = ["CreditBook"]

CREDIT_LEASE_S = 3.0


class CreditBook:
    """Work in flight at one endpoint against its limit.

    Parameters
    ----------
    limit_policy : LimitPolicy
        What decides the limit.
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "count_in_flight", "in_flight", "limit_policy")

    def __init__(self, *, limit_policy, clock):
        self.limit_policy = limit_policy
        self._clock = clock
        self.in_flight = 0.0
        self.count_in_flight = 0

    def take(self, request, *, entry):
        """Count a request as in flight, or refuse it.

        Parameters
        ----------
        request : Request
            The request.
        entry : str
            Entry that sent it.

        Raises
        ------
        MagnoliagradeError
            `NOT_RUN` if the endpoint would bear more than its limit.

        Notes
        -----
        A request that costs more than the whole limit runs alone.
        """
        would_be = self.in_flight + request.cost
        if self.count_in_flight and would_be > self.limit_policy.limit:
            detail = (
                f"cost {request.cost} on top of {self.in_flight} exceeds the limit "
                f"{self.limit_policy.limit}"
            )
            raise MagnoliagradeError(ErrorKind.NOT_RUN, detail, retry_after=1)
        self.in_flight = would_be
        self.count_in_flight += 1

    def give_back(self, request):
        """Count a request as no longer in flight."""
        self.in_flight -= request.cost
        self.count_in_flight -= 1

    def grant_for(self, entry, entries):
        """Return the cost that an entry may have in flight.

        Parameters
        ----------
        entry : str
            The entry.
        entries : sequence of str
            All entries that are linked.
        """
        return self.limit_policy.limit / max(1, len(entries))
