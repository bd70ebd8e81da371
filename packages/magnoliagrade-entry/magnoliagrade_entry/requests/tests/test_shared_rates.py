"""Tests of the division of rate limits among entries."""

import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st
from magnoliagrade.clock import ManualClock

from magnoliagrade_entry.requests.shared_rates import (
    MAX_REPORT_AGE_S,
    MIN_DEMAND_FRACTION,
    ReportedUsage,
    SharedRates,
)

DEMANDS = st.lists(st.floats(0, 1000), min_size=2, max_size=7)


def _entries(demands, clock):
    entries = []
    for demand in demands:
        rates = SharedRates(clock=clock)
        rates.entries = len(demands)
        for _ in range(30):
            rates.record_demand("o", demand)
            rates.end_interval(1.0)
        entries.append(rates)
    return entries


def _exchange_reports(entries, sides):
    for i, sender in enumerate(entries):
        for j, receiver in enumerate(entries):
            if i != j and sides[i] == sides[j]:
                demand = dict(sender.demand_by_organisation)
                receiver.record_report(
                    str(i), ReportedUsage(demand_by_organisation=demand)
                )


@settings(max_examples=100, deadline=None, derandomize=True)
@given(DEMANDS, st.lists(st.booleans(), min_size=7, max_size=7))
def test_parts_add_up_to_the_ceiling_on_every_side_of_a_cut(demands, sides):
    entries = _entries(demands, ManualClock())
    _exchange_reports(entries, sides)
    shares = [e.share("o", 100.0) for e in entries]
    assert sum(shares) <= 100.0 + 1e-6
    for side in (False, True):
        of_side = [p for p, s in zip(shares, sides, strict=False) if s is side]
        assert sum(of_side) <= 100.0 * len(of_side) / len(entries) + 1e-6


def test_entry_without_recent_reports_uses_one_nth_of_the_ceiling():
    async def main():
        clock = ManualClock()
        entries = _entries([100.0, 0.0, 0.0, 0.0], clock)
        _exchange_reports(entries, [True] * 4)
        assert entries[0].share("o", 100.0) > 100 * (1 - 4 * MIN_DEMAND_FRACTION)
        await clock.advance(MAX_REPORT_AGE_S + 1)
        assert entries[0].share("o", 100.0) == 25.0

    asyncio.run(main())


def test_wait_is_the_time_until_the_cost_can_be_spent():
    rates = SharedRates(clock=ManualClock())
    assert rates.wait_s("o", 100.0, 200) == 0.0
    assert rates.wait_s("o", 100.0, 50) == 0.5
