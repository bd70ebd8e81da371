"""Calls to the store that entries make to watch the configuration, by their number."""

from dataclasses import dataclass

from magnoliagrade.clock import ManualClock

from magnoliagrade_standins.platform import StoreFaults
from magnoliagrade_standins.slopes.watch_simulation import WatchSimulation

__all__ = ["STORE_SIZES", "StoreCalls", "measure_store_calls"]

REST_DURATION_S = 120
OUTAGE_DURATION_S = 600
# Time after the outage in which calls are counted for each second.
RECOVERY_WINDOW_S = 30
IN_FORCE_TIMEOUT_S = 60

# Number of data centres, and of entries in each.
STORE_SIZES = ((3, 2), (3, 4), (10, 4), (10, 13), (10, 39))


@dataclass(slots=True, kw_only=True)
class StoreCalls:
    """Calls to the store at one size.

    Parameters
    ----------
    entries : int
        Number of entries over all data centres.
    rest_per_s : float
        Calls per second at rest.
    change_calls : float
        Additional calls that one configuration change causes, including those of
        the operator who makes it.
    outage_per_s : float
        Calls per second during an outage of the store of ten minutes.
    peak_per_s : int
        Maximum number of calls in one second of the 30 s after the outage.
    in_force_s : float
        Seconds until a change made right after the outage is in force at all
        entries.
    """

    entries: int
    rest_per_s: float
    change_calls: float
    outage_per_s: float
    peak_per_s: int
    in_force_s: float


async def measure_store_calls(*, data_centres, entries, seed=5):
    """Simulate the watches of entries in manual time and count their store calls.

    Parameters
    ----------
    data_centres : int
        Number of data centres.
    entries : int
        Entries in each data centre.
    seed : int
        Seed of the random number generators that jitter is drawn from.

    Returns
    -------
    calls : StoreCalls
        Number of calls at rest, for a change, and during and after an outage.
    """
    clock = ManualClock()
    simulation = WatchSimulation(
        clock=clock, data_centres=data_centres, entries=entries, seed=seed
    )
    await simulation.start()
    rest_calls = await simulation.store_calls_during(REST_DURATION_S)
    calls_before = sum(simulation.store.calls_by_purpose.values())
    await simulation.change("1")
    await simulation.store_calls_during(REST_DURATION_S)
    with_change = sum(simulation.store.calls_by_purpose.values()) - calls_before
    simulation.store.set_faults(StoreFaults(is_down=True))
    outage_calls = await simulation.store_calls_during(OUTAGE_DURATION_S)
    simulation.store.set_faults(StoreFaults())
    start = clock.monotonic()
    await simulation.change("2")
    per_second = []
    in_force_s = 0.0
    while len(per_second) < RECOVERY_WINDOW_S:
        per_second.append(await simulation.store_calls_during(1))
        if simulation.revisions() != {3}:
            in_force_s = clock.monotonic() - start
    await simulation.stop()
    return StoreCalls(
        entries=data_centres * entries,
        rest_per_s=rest_calls / REST_DURATION_S,
        change_calls=with_change - rest_calls,
        outage_per_s=outage_calls / OUTAGE_DURATION_S,
        peak_per_s=max(per_second),
        in_force_s=in_force_s,
    )
