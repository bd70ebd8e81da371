"""Rate limits of organisations, divided among entries without coordination."""

from dataclasses import dataclass, field

from magnoliagrade.algorithms import TokenBucket

__all__ = ["ReportedUsage", "SharedRates"]

# Capacity of the token buckets, as a time at their rate.
BURST_S = 2.0
MAX_REPORT_AGE_S = 8.0
# Least demand assumed of an entry, as a fraction of an equal share of the ceiling.
MIN_DEMAND_FRACTION = 0.05
# Weight of the last interval in the exponentially smoothed demand.
DEMAND_WEIGHT = 0.5
# Organisations with less demand are no longer tracked.
NEGLIGIBLE_COST_PER_S = 0.5


@dataclass(slots=True, kw_only=True)
class ReportedUsage:
    """Demand reported by another entry or by all entries of a data centre.

    Parameters
    ----------
    entries : int
        Number of entries that the report covers.
    at : float
        Monotonic time in seconds at which it was received.
    demand_by_organisation : dict of str to float
        Cost per second by organisation.
    """

    entries: int = 1
    at: float = 0.0
    demand_by_organisation: dict = field(default_factory=dict)


class SharedRates:
    """Computes and enforces this entry's share of each organisation's ceiling.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Notes
    -----
    This entry and those whose report is at most `MAX_REPORT_AGE_S` seconds old divide
    the ceiling in proportion to demand. For each entry without one, 1/n of the ceiling
    is reserved first, n being the number of entries, because it may serve callers on
    the other side of a network partition; an entry that receives no reports uses 1/n
    itself. The shares therefore sum to at most the ceiling, and those of the k entries
    on one side of a partition to at most k/n of it, as long as all entries of a side
    know the same demand; they exceed it only while reports are in transit. Only
    organisations with a ceiling are tracked: O(1) per request, O(reporting entries)
    per second and organisation in use.

    Examples
    --------
    >>> from magnoliagrade.clock import ManualClock
    >>> rates = SharedRates(clock=ManualClock())
    >>> rates.entries = 4
    >>> rates.share("o", 100.0)
    25.0
    >>> usage = ReportedUsage(entries=3, demand_by_organisation={"o": 0.0})
    >>> rates.record_report("peer", usage)
    >>> rates.record_demand("o", 50.0)
    >>> rates.end_interval(1.0)
    >>> rates.share("o", 100.0) > 75
    True
    """

    __slots__ = (
        "_arrived_cost_by_organisation",
        "_bucket_by_organisation",
        "_clock",
        "_report_by_source",
        "demand_by_organisation",
        "entries",
    )

    def __init__(self, *, clock):
        self._clock = clock
        self._bucket_by_organisation = {}
        self._report_by_source = {}
        self._arrived_cost_by_organisation = {}
        self.demand_by_organisation = {}
        self.entries = 1

    def record_report(self, source, usage):
        """Store the demand that another entry or data centre reported."""
        usage.at = self._clock.monotonic()
        self._report_by_source[source] = usage

    def record_demand(self, organisation, cost):
        """Add the cost of a request that arrived, whether admitted or not."""
        before = self._arrived_cost_by_organisation.get(organisation, 0.0)
        self._arrived_cost_by_organisation[organisation] = before + cost

    def end_interval(self, seconds):
        """Update each organisation's smoothed demand after an interval in seconds."""
        arrived_cost = self._arrived_cost_by_organisation
        self._arrived_cost_by_organisation = {}
        for name in {*arrived_cost, *self.demand_by_organisation}:
            before = self.demand_by_organisation.get(name, 0.0)
            rate = arrived_cost.get(name, 0.0) / seconds
            demand = before + DEMAND_WEIGHT * (rate - before)
            if demand < NEGLIGIBLE_COST_PER_S:
                self.demand_by_organisation.pop(name, None)
                self._bucket_by_organisation.pop(name, None)
                continue
            self.demand_by_organisation[name] = demand

    def total_demand(self, sources):
        """Return the summed demand of this entry and of the given sources.

        Parameters
        ----------
        sources : iterable of str
            Entries or data centres whose reported demand is added.

        Returns
        -------
        usage : ReportedUsage
            Sums over this entry and the sources whose reports have not expired.
        """
        total = ReportedUsage(demand_by_organisation=dict(self.demand_by_organisation))
        for source in sources:
            report = self._report_by_source.get(source)
            if report is None or not self._is_fresh(report):
                continue
            total.entries += report.entries
            for name, demand in report.demand_by_organisation.items():
                before = total.demand_by_organisation.get(name, 0.0)
                total.demand_by_organisation[name] = before + demand
        return total

    def share(self, organisation, ceiling):
        """Return this entry's share of a ceiling, in cost per second.

        Parameters
        ----------
        organisation : str
            Organisation that the ceiling applies to.
        ceiling : float
            Cost per second over all entries.
        """
        fresh = [r for r in self._report_by_source.values() if self._is_fresh(r)]
        peers = min(self.entries - 1, sum(r.entries for r in fresh))
        shared = ceiling * (peers + 1) / self.entries
        # An idle entry keeps a share, because its demand is taken as at least this.
        floor = MIN_DEMAND_FRACTION * ceiling / self.entries
        remote = sum(r.demand_by_organisation.get(organisation, 0.0) for r in fresh)
        local = self.demand_by_organisation.get(organisation, 0.0)
        return shared * (local + floor) / (local + remote + floor * (peers + 1))

    def wait_s(self, organisation, ceiling, cost):
        """Spend a cost and return 0, or return the seconds until it may be spent.

        Parameters
        ----------
        organisation : str
            Organisation that sent the request.
        ceiling : float
            Cost per second over all entries.
        cost : float
            Cost of the request: its tokens, or 1 for a service call.
        """
        now = self._clock.monotonic()
        rate = self.share(organisation, ceiling)
        bucket = self._bucket_by_organisation.get(organisation)
        if bucket is None:
            bucket = TokenBucket(rate=rate, burst_s=BURST_S, at=now)
            self._bucket_by_organisation[organisation] = bucket
        bucket.set_rate(rate, at=now)
        return bucket.take(cost, at=now)

    def _is_fresh(self, report):
        return self._clock.monotonic() - report.at <= MAX_REPORT_AGE_S
