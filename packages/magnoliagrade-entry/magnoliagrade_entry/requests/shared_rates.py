"""Ceilings on organisations' rates, shared by entries without coordination."""

from dataclasses import dataclass, field

from magnoliagrade.algorithms import TokenBucket

__all__ = ["ReportedUsage", "SharedRates"]

BURST_S = 2.0
STALE_S = 8.0
FLOOR_FRACTION = 0.05
DEMAND_WEIGHT = 0.5
NEGLIGIBLE_COST_PER_S = 0.5


@dataclass(slots=True, kw_only=True)
class ReportedUsage:
    """Demand that another entry, or all of another data centre, reported.

    Parameters
    ----------
    entries : int
        Entries that it sums up.
    at : float
        Monotonic time of its arrival.
    demand_by_organisation : dict of str to float
        Cost a second.
    """

    entries: int = 1
    at: float = 0.0
    demand_by_organisation: dict = field(default_factory=dict)


class SharedRates:
    """Parts of organisations' ceilings that fall to one entry.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Notes
    -----
    Entries that were heard of lately share their parts by demand. A part of the
    ceiling is left to those that are silent, one n-th for each of n entries, since
    they may serve callers on the far side of a cut; an entry that hears nobody keeps
    to its own n-th. So the parts add up to the ceiling at most while demand is known
    equally on all sides, in each side of a cut by itself, and overshoot only for as
    long as reports are under way. Only organisations with a ceiling are tracked:
    O(1) for each request, O(entries heard) once a second and organisation in use.

    Examples
    --------
    >>> from magnoliagrade.clock import ManualClock
    >>> rates = SharedRates(clock=ManualClock())
    >>> rates.entries = 4
    >>> rates.part("o", 100.0)
    25.0
    >>> usage = ReportedUsage(entries=3, demand_by_organisation={"o": 0.0})
    >>> rates.note_report("peer", usage)
    >>> rates.note_demand("o", 50.0)
    >>> rates.end_interval(1.0)
    >>> rates.part("o", 100.0) > 75
    True
    """

    __slots__ = (
        "_bucket_by_organisation",
        "_clock",
        "_heard_by_source",
        "_offered_by_organisation",
        "demand_by_organisation",
        "entries",
    )

    def __init__(self, *, clock):
        self._clock = clock
        self._bucket_by_organisation = {}
        self._heard_by_source = {}
        self._offered_by_organisation = {}
        self.demand_by_organisation = {}
        self.entries = 1

    def note_report(self, source, usage):
        """Take the demand of another entry or data centre."""
        usage.at = self._clock.monotonic()
        self._heard_by_source[source] = usage

    def note_demand(self, organisation, cost):
        """Count the cost of a request that arrived, admitted or not."""
        before = self._offered_by_organisation.get(organisation, 0.0)
        self._offered_by_organisation[organisation] = before + cost

    def end_interval(self, seconds):
        """Update the demand of each organisation in use after an interval."""
        offered = self._offered_by_organisation
        self._offered_by_organisation = {}
        for name in {*offered, *self.demand_by_organisation}:
            before = self.demand_by_organisation.get(name, 0.0)
            rate = offered.get(name, 0.0) / seconds
            demand = before + DEMAND_WEIGHT * (rate - before)
            if demand < NEGLIGIBLE_COST_PER_S:
                self.demand_by_organisation.pop(name, None)
                self._bucket_by_organisation.pop(name, None)
                continue
            self.demand_by_organisation[name] = demand

    def summed(self, sources):
        """Return the demand of this entry and of some others together.

        Parameters
        ----------
        sources : iterable of str
            Whose reported demand is added.

        Returns
        -------
        usage : ReportedUsage
            The sums over all that were heard lately.
        """
        total = ReportedUsage(demand_by_organisation=dict(self.demand_by_organisation))
        for source in sources:
            heard = self._heard_by_source.get(source)
            if heard is None or not self._is_fresh(heard):
                continue
            total.entries += heard.entries
            for name, demand in heard.demand_by_organisation.items():
                before = total.demand_by_organisation.get(name, 0.0)
                total.demand_by_organisation[name] = before + demand
        return total

    def part(self, organisation, ceiling):
        """Return this entry's part of a ceiling.

        Parameters
        ----------
        organisation : str
            Whose ceiling it is.
        ceiling : float
            Cost a second over the fleet.
        """
        fresh = [h for h in self._heard_by_source.values() if self._is_fresh(h)]
        heard = min(self.entries - 1, sum(h.entries for h in fresh))
        shared = ceiling * (heard + 1) / self.entries
        floor = FLOOR_FRACTION * ceiling / self.entries
        others = sum(h.demand_by_organisation.get(organisation, 0.0) for h in fresh)
        own = self.demand_by_organisation.get(organisation, 0.0)
        return shared * (own + floor) / (own + others + floor * (heard + 1))

    def wait_s(self, organisation, ceiling, cost):
        """Spend a cost, or return the seconds until it may be spent.

        Parameters
        ----------
        organisation : str
            Whose request it is.
        ceiling : float
            Cost a second over the fleet.
        cost : float
            What the request weighs.
        """
        now = self._clock.monotonic()
        rate = self.part(organisation, ceiling)
        bucket = self._bucket_by_organisation.get(organisation)
        if bucket is None:
            bucket = TokenBucket(rate=rate, burst_s=BURST_S, at=now)
            self._bucket_by_organisation[organisation] = bucket
        bucket.set_rate(rate, at=now)
        return bucket.take(cost, at=now)

    def _is_fresh(self, heard):
        return self._clock.monotonic() - heard.at <= STALE_S
