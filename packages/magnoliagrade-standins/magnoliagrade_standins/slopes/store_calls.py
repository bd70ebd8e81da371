"""Calls that the entries' watches make to the store, by number of entries."""

from dataclasses import dataclass

from magnoliagrade.clock import ManualClock

from magnoliagrade_standins.platform import StoreFaults
from magnoliagrade_standins.slopes.watch_simulation import WatchSimulation

__all__ = ["STORE_SIZES", "StoreCalls", "measure_store_calls"]

REST_S = 120
OUTAGE_S = 600
AFTER_S = 30
IN_FORCE_LIMIT_S = 60

# Data centres, and entries in each.
STORE_SIZES = ((3, 2), (3, 4), (10, 4), (10, 13), (10, 39))


@dataclass(slots=True, kw_only=True)
class StoreCalls:
    """What one size gave.

    Parameters
    ----------
    entries : int
        Number of entries.
    rest_per_s : float
        Calls a second at rest.
    change_calls : float
        Calls that one change causes, the operator's own among them.
    outage_per_s : float
        Calls a second over an outage of ten minutes.
    peak_per_s : int
        Most calls in one second of the half minute after it.
    in_force_s : float
        Time until a change made right after the outage is in force everywhere.
    """

    entries: int
    rest_per_s: float
    change_calls: float
    outage_per_s: float
    peak_per_s: int
    in_force_s: float


async def measure_store_calls(*, data_centres, entries, seed=5):
    """Run the watches of some entries in manual time and count their calls.

    Parameters
    ----------
    data_centres : int
        Number of data centres.
    entries : int
        Entries in each.
    seed : int
        Seed of all jitter.

    Returns
    -------
    calls : StoreCalls
        What was counted.
    """
    clock = ManualClock()
    fleet = WatchSimulation(
        clock=clock, data_centres=data_centres, entries=entries, seed=seed
    )
    await fleet.start()
    rest = await fleet.store_calls_during(REST_S)
    before = sum(fleet.store.calls_by_purpose.values())
    await fleet.change("1")
    await fleet.store_calls_during(REST_S)
    with_change = sum(fleet.store.calls_by_purpose.values()) - before
    fleet.store.set_faults(StoreFaults(is_down=True))
    outage = await fleet.store_calls_during(OUTAGE_S)
    fleet.store.set_faults(StoreFaults())
    start = clock.monotonic()
    await fleet.change("2")
    per_second = []
    in_force_s = 0.0
    while len(per_second) < AFTER_S:
        per_second.append(await fleet.store_calls_during(1))
        if fleet.revisions() != {3}:
            in_force_s = clock.monotonic() - start
    await fleet.stop()
    return StoreCalls(
        entries=data_centres * entries,
        rest_per_s=rest / REST_S,
        change_calls=with_change - rest,
        outage_per_s=outage / OUTAGE_S,
        peak_per_s=max(per_second),
        in_force_s=in_force_s,
    )
