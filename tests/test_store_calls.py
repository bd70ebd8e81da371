"""Rate of calls to the store when idle, during an outage and after it.

Guards against a rush of calls when the store comes back from an outage.
"""

import asyncio

from magnoliagrade.clock import ManualClock
from magnoliagrade_standins.platform import StoreFaults
from magnoliagrade_standins.slopes.watch_simulation import WatchSimulation


def test_call_rate_stays_bounded_when_idle_during_an_outage_and_after_it():
    asyncio.run(_check_call_rate())


async def _check_call_rate():
    clock = ManualClock()
    fleet = WatchSimulation(clock=clock, data_centres=3, entries=3, seed=5)
    await fleet.start()
    idle_calls = await fleet.store_calls_during(60)
    # Each of the 3 data centres has 2 watchers that call every 5 s; reads come on top.
    assert idle_calls / 60 < 3 * 2 * (1 / 5 + 1 / 24) + 3 * 3 / 15
    await fleet.change("1")
    await fleet.store_calls_during(5)
    assert fleet.revisions() == {2}
    fleet.store.set_faults(StoreFaults(is_down=True))
    outage_calls = await fleet.store_calls_during(600)
    # 2 entries of each data centre probe every 3 s; all 3 poll every 15 s.
    assert outage_calls / 600 < 3 * 2 / 3 + 3 * 3 / 15
    fleet.store.set_faults(StoreFaults())
    per_second = [await fleet.store_calls_during(1) for _ in range(20)]
    # At most one call per entry in each second after the outage.
    assert max(per_second) <= 9, per_second
    await fleet.change("2")
    await fleet.store_calls_during(5)
    assert fleet.revisions() == {3}
    await fleet.stop()
