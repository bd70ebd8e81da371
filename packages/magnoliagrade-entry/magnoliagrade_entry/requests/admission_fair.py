"""Admission that limits the token rate of each organisation."""

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from prometheus_client import Counter

from magnoliagrade_entry.requests.admission import (
    CappedAdmission,
    admission_policies,
)
from magnoliagrade_entry.requests.shared_rates import SharedRates

__all__ = ["FairAdmission"]

MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0
LIMITED_REQUESTS = Counter(
    "magnoliagrade_limited_total", "Requests refused on account of a ceiling"
)


@admission_policies.register("fair")
class FairAdmission:
    """Limits each organisation's token rate and the entry's concurrent requests.

    Parameters
    ----------
    node : EntryInstance
        The entry.

    Notes
    -----
    The order of admitted requests is decided by their pool's wait queue when credit
    is granted.
    """

    __slots__ = ("_capped", "_configuration", "rates")

    def __init__(self, *, node):
        self._capped = CappedAdmission(node=node)
        self._configuration = node.configuration
        self.rates = SharedRates(clock=node.clock)

    async def admit(self, request):
        """Raise `LIMITED` above the organisation's ceiling, `OVERLOADED` at the cap."""
        organisation = self._configuration.in_force.organisation_by_name.get(
            request.organisation
        )
        if organisation is not None and organisation.rate_tokens_per_s:
            self._check_ceiling(request, organisation.rate_tokens_per_s)
        await self._capped.admit(request)

    def release(self, request):
        """Decrement the count of concurrent requests."""
        self._capped.release(request)

    def _check_ceiling(self, request, ceiling):
        self.rates.record_demand(request.organisation, request.cost)
        wait_s = self.rates.wait_s(request.organisation, ceiling, request.cost)
        if not wait_s:
            return
        LIMITED_REQUESTS.inc()
        detail = (
            f"organisation {request.organisation!r} exceeds its limit of {ceiling} "
            "tokens per second"
        )
        raise MagnoliagradeError(
            ErrorKind.LIMITED,
            detail,
            retry_after=min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s)),
        )
