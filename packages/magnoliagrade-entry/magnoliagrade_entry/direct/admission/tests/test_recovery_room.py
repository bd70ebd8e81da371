"""All groups of a service are out for seconds, and rejected callers come back once."""

import asyncio
import random
from types import SimpleNamespace

from magnoliagrade.clock import ManualClock
from magnoliagrade.errors import MagnoliagradeError
from magnoliagrade.world.site import SiteEndpoint

from magnoliagrade_entry.direct.admission import waiting
from magnoliagrade_entry.direct.admission.overload import (
    retry_after_s,
    slot_deadline,
)
from magnoliagrade_entry.direct.admission.recovery_room import (
    RECOVERY_ROOM_FRACTION,
    has_room_to_wait,
    is_returning,
)
from magnoliagrade_entry.direct.admission.tests.test_overload import STREAM, Arrival
from magnoliagrade_entry.direct.admission.waiting import WaitQueue
from magnoliagrade_entry.direct.placement.endpoint_table import EndpointTable
from magnoliagrade_entry.direct.placement.fault_domains import FaultDomain

OUTAGE_S = 6.5
CALLER_LIMIT_S = 8.1
STREAM_S = 2.0
ENTRIES = 18
ENDPOINTS, SLOTS = 64, 5
RATE_PER_S = 3.6
DOMAIN = FaultDomain(service=STREAM.name)


def test_callers_with_less_than_the_time_limit_are_returning():
    assert not is_returning(Arrival(arrived_at=1.0, ends_at=9.0))
    assert is_returning(Arrival(arrived_at=1.0, ends_at=6.4))


def test_room_is_a_part_of_the_entrys_share_of_the_slots():
    returning = Arrival(arrived_at=1.0, ends_at=6.4)
    first = Arrival(arrived_at=1.0, ends_at=9.0)
    sizes = {"slots": 320, "entries": 18}
    room = int(RECOVERY_ROOM_FRACTION * 320 / 18)
    assert has_room_to_wait(returning, room - 1, **sizes)
    assert not has_room_to_wait(returning, room, **sizes)
    assert not has_room_to_wait(first, 0, **sizes)
    assert has_room_to_wait(returning, 0, slots=3, entries=18)


def test_replay_of_an_outage_serves_more_callers_and_delays_no_others():
    """Callers of one entry of 18 in an outage of 6.5 s and in the 4 s after it."""
    before = _replay(waits=False)
    after = _replay(waits=True)
    during = len(before["during"])
    assert sum(after["during"]) >= sum(before["during"]) + 0.15 * during
    # Callers that arrive after the outage are served as before.
    assert all(before["after"]) and all(after["after"])


def _replay(*, waits):
    """Return for each caller whether it was served, by the time of its arrival."""
    served_by_time = {"during": [], "after": []}

    async def scenario():
        clock = ManualClock(start=50.0)
        queue, table = _queue(clock)
        table.outages.begin(DOMAIN, now=clock.monotonic())
        rng = random.Random(4)
        callers = []
        at = 0.0
        while (at := at + rng.expovariate(RATE_PER_S)) < OUTAGE_S + 4.0:
            time = "during" if at < OUTAGE_S else "after"
            results = served_by_time[time]
            callers.append(asyncio.ensure_future(_call(queue, clock, at, results, rng)))
        for step in range(400):
            await clock.advance(0.05)
            if step == round(OUTAGE_S / 0.05):
                table.outages.end(DOMAIN)
            if not table.outages.is_unavailable(STREAM.name):
                queue.wake()
        await asyncio.gather(*callers)

    room = waiting.has_room_to_wait
    try:
        if not waits:
            waiting.has_room_to_wait = lambda *_, **__: False
        asyncio.run(scenario())
    finally:
        waiting.has_room_to_wait = room
    return served_by_time


async def _call(queue, clock, at, results, rng):
    await clock.sleep(at)
    began_at = clock.monotonic()
    for _ in range(2):
        now = clock.monotonic()
        remaining_s = CALLER_LIMIT_S - (now - began_at)
        request = Arrival(
            arrived_at=now, ends_at=now + min(remaining_s, STREAM.timeout_s)
        )
        deadline = slot_deadline(request)
        attempt = asyncio.ensure_future(
            queue.acquire_slot(request, excluded=set(), slot_deadline=deadline)
        )
        # The queue's own time limit is in real time.
        limit = asyncio.ensure_future(clock.sleep(deadline - now))
        await asyncio.wait((attempt, limit), return_when=asyncio.FIRST_COMPLETED)
        limit.cancel()
        if not attempt.done():
            attempt.cancel()
            remaining_s = request.ends_at - clock.monotonic()
            await clock.sleep(retry_after_s(remaining_s, remaining_s, rng=rng))
            continue
        try:
            load = attempt.result()
        except MagnoliagradeError as exc:
            await clock.sleep(exc.retry_after)
            continue
        await clock.sleep(STREAM_S)
        queue.release(load, work_s=STREAM_S)
        results.append(True)
        return
    results.append(False)


def _queue(clock):
    """Return a queue whose endpoints are as full with the others' requests as usual."""
    table = EndpointTable(data_centre="dc-0", rng=random.Random(1))
    table.update(
        SiteEndpoint(
            id=f"i-{number}",
            service=STREAM.name,
            address=f"10.0.0.{number}:80",
            data_centre="dc-0",
            slots=SLOTS,
        )
        for number in range(ENDPOINTS)
    )
    # The other entries take their shares of the slots.
    for load in table.by_id.values():
        load.set_peer_in_flight("others", SLOTS - 1)
    for number in range(ENDPOINTS - SLOTS * ENDPOINTS // ENTRIES):
        table.by_id[f"i-{number}"].set_peer_in_flight("others", SLOTS)
    queue = WaitQueue(
        service=STREAM.name,
        endpoint_table=table,
        limit_exchange=SimpleNamespace(
            request_permit=lambda *_, **__: None, count_entries=lambda: ENTRIES
        ),
        clock=clock,
        rng=random.Random(2),
    )
    return queue, table
