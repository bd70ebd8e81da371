"""Admission that keeps organisations to their ceilings."""

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from prometheus_client import Counter

from magnoliagrade_entry.requests.admission import (
    CappedAdmission,
    admission_policies,
)
from magnoliagrade_entry.requests.shared_rates import SharedRates

__all__ = ["FairAdmission"]

RETRY_MIN_S = 1.0
RETRY_MAX_S = 60.0
LIMITED = Counter(
    "magnoliagrade_limited_total", "Requests refused on account of a ceiling"
)


@admission_policies.register("fair")
class FairAdmission:
    """Ceilings by organisation, and a cap on requests in the entry.

    Parameters
    ----------
    node : EntryInstance
        The entry.

    Notes
    -----
    Who is next is not decided here: that falls to the queue of the request's pool
    when credit appears.
    """

    __slots__ = ("_capped", "_configuration", "rates")

    def __init__(self, *, node):
        self._capped = CappedAdmission(node=node)
        self._configuration = node.configuration
        self.rates = SharedRates(clock=node.clock)

    async def admit(self, request):
        """Refuse what exceeds the organisation's ceiling or the cap."""
        found = self._configuration.in_force.organisation_by_name.get(
            request.organisation
        )
        if found is not None and found.rate_tokens_per_s:
            self._check_ceiling(request, found.rate_tokens_per_s)
        await self._capped.admit(request)

    def release(self, request):
        """Count one request less in the entry."""
        self._capped.release(request)

    def _check_ceiling(self, request, ceiling):
        self.rates.note_demand(request.organisation, request.cost)
        wait_s = self.rates.wait_s(request.organisation, ceiling, request.cost)
        if not wait_s:
            return
        LIMITED.inc()
        detail = f"{request.organisation!r} has used up {ceiling} tokens a second"
        raise MagnoliagradeError(
            ErrorKind.LIMITED,
            detail,
            retry_after=min(RETRY_MAX_S, max(RETRY_MIN_S, wait_s)),
        )
