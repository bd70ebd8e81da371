"""Calls to the store at rest, with a change and when an outage ends."""

import asyncio

from magnoliagrade.clock import ManualClock
from magnoliagrade_standins.platform import StoreFaults
from magnoliagrade_standins.slopes.watch_simulation import WatchSimulation


def test_calls_stay_few_and_come_back_without_a_rush():
    asyncio.run(_calls())


async def _calls():
    clock = ManualClock()
    fleet = WatchSimulation(clock=clock, data_centres=3, entries=3, seed=5)
    await fleet.start()
    rest = await fleet.store_calls_during(60)
    # Three data centres of two watchers, one call in five seconds each, and reads.
    assert rest / 60 < 3 * 2 * (1 / 5 + 1 / 24) + 3 * 3 / 15
    await fleet.change("1")
    await fleet.store_calls_during(5)
    assert fleet.revisions() == {2}
    fleet.store.set_faults(StoreFaults(is_down=True))
    down = await fleet.store_calls_during(600)
    # Two of each data centre probe every three seconds; all poll now and then.
    assert down / 600 < 3 * 2 / 3 + 3 * 3 / 15
    fleet.store.set_faults(StoreFaults())
    per_second = [await fleet.store_calls_during(1) for _ in range(20)]
    # No more than one call of each entry in any second.
    assert max(per_second) <= 9, per_second
    await fleet.change("2")
    await fleet.store_calls_during(5)
    assert fleet.revisions() == {3}
    await fleet.stop()
