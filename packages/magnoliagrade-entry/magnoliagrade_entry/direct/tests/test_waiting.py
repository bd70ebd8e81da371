import asyncio
import random

from magnoliagrade.clock import ManualClock
from magnoliagrade.world.site import SiteEndpoint

from magnoliagrade_entry.direct.placement import PlaceBook
from magnoliagrade_entry.direct.tests.test_overload import STREAM, Arrival
from magnoliagrade_entry.direct.waiting import WaitingRoom


def test_streams_under_way_get_the_next_place_before_those_that_wait():
    # Streams leave a slow rank while all other endpoints are full.
    async def scenario():
        room, places, clock = _full_room()
        tasks = []
        for _ in range(3):
            tasks.append(_start(room, clock))
            await asyncio.sleep(0)
        moved = _start(room, clock, is_under_way=True)
        await asyncio.sleep(0)
        for _ in range(2):
            room.release(places.by_id["i-0"], work_s=1.0)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        assert moved.done()
        assert sum(task.done() for task in tasks) == 1
        for task in tasks:
            task.cancel()

    asyncio.run(scenario())


def test_a_stream_under_way_is_not_refused_because_of_those_behind_it():
    async def scenario():
        room, places, clock = _full_room()
        room.release(places.by_id["i-0"], work_s=30.0)
        room._choose(set(), clock.monotonic())
        first = _start(room, clock)
        await asyncio.sleep(0)
        second = _start(room, clock, leave_s=3.0)
        await asyncio.sleep(0)
        assert second.done() and second.exception().detail.startswith("the queue")
        moved = _start(room, clock, is_under_way=True, leave_s=3.0)
        await asyncio.sleep(0)
        assert not moved.done()
        for task in (first, moved):
            task.cancel()

    asyncio.run(scenario())


def _start(room, clock, *, is_under_way=False, leave_s=9.0):
    now = clock.monotonic()
    request = Arrival(arrived_at=now, ends_at=now + 8.0)
    return asyncio.create_task(
        room.take_place(
            request,
            excluded=set(),
            leave_at=now + leave_s,
            is_under_way=is_under_way,
        )
    )


def _full_room():
    clock = ManualClock(start=50.0)
    places = PlaceBook(data_centre="dc-0", rng=random.Random(1))
    places.update(
        [
            SiteEndpoint(
                id="i-0",
                service=STREAM.name,
                address="10.0.0.1:80",
                data_centre="dc-0",
                slots=6,
            )
        ]
    )
    room = WaitingRoom(
        service=STREAM.name, places=places, clock=clock, rng=random.Random(2)
    )
    for _ in range(6):
        assert room._choose(set(), clock.monotonic()) is not None
    return room, places, clock
