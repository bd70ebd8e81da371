import asyncio
import random
from types import SimpleNamespace

from magnoliagrade.clock import ManualClock
from magnoliagrade.wire import EndpointWork
from magnoliagrade.world.site import SiteEndpoint

from magnoliagrade_entry.direct.admission.tests.test_overload import STREAM, Arrival
from magnoliagrade_entry.direct.admission.waiting import WaitQueue
from magnoliagrade_entry.direct.placement.endpoint_table import EndpointTable


class Random(random.Random):
    """Random numbers that a test may set."""

    def __init__(self):
        super().__init__(1)
        self.draws = []

    def random(self):
        return self.draws.pop(0) if self.draws else super().random()


def test_started_streams_get_free_slots_before_new_requests():
    # Streams move away from a slow rank while all other endpoints are full.
    async def scenario():
        queue, endpoint_table, clock = _full_queue()
        tasks = []
        for _ in range(3):
            tasks.append(_start(queue, clock))
            await asyncio.sleep(0)
        moved = _start(queue, clock, has_started=True)
        await asyncio.sleep(0)
        for _ in range(2):
            queue.release(endpoint_table.by_id["i-0"], work_s=1.0)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        assert moved.done()
        assert sum(task.done() for task in tasks) == 1
        for task in tasks:
            task.cancel()

    asyncio.run(scenario())


def test_started_stream_is_not_rejected_for_new_requests_in_the_queue():
    async def scenario():
        queue, endpoint_table, clock = _full_queue()
        queue.release(endpoint_table.by_id["i-0"], work_s=30.0)
        queue._acquire_free_slot(set(), clock.monotonic())
        first = _start(queue, clock)
        await asyncio.sleep(0)
        second = _start(queue, clock, deadline_s=3.0)
        await asyncio.sleep(0)
        assert second.done() and second.exception().detail.startswith("the queue")
        moved = _start(queue, clock, has_started=True, deadline_s=3.0)
        await asyncio.sleep(0)
        assert not moved.done()
        for task in (first, moved):
            task.cancel()

    asyncio.run(scenario())


def test_request_whose_caller_leaves_as_it_gets_a_slot_is_not_sent():
    async def scenario():
        queue, endpoint_table, clock = _full_queue()
        load = endpoint_table.by_id["i-0"]
        waiting = _start(queue, clock)
        await asyncio.sleep(0)
        in_flight = load.local_in_flight
        queue.release(load, work_s=1.0)
        # The slot is assigned, and the caller disconnects before the request goes on.
        waiting.cancel()
        for _ in range(3):
            await asyncio.sleep(0)
        assert waiting.cancelled()
        assert load.local_in_flight == in_flight - 1

    asyncio.run(scenario())


def test_request_that_leaves_a_free_slot_to_another_entry_is_not_rejected():
    # One request of 2 s is in flight, so that a slot becomes free in 2 s; the free one
    # is probably taken by the requests that other entries place.
    async def scenario():
        queue, endpoint_table, clock = _full_queue()
        load = endpoint_table.by_id["i-0"]
        for _ in range(5):
            queue.release(load, work_s=2.0)
        endpoint_table.record_report()
        for number in range(100):
            rows = [EndpointWork(endpoint="i-0", in_flight=4 + number % 2)]
            endpoint_table.update_peer_work(
                "peer", rows, is_complete=True, now=clock.monotonic()
            )
        load.set_peer_in_flight("peer", 4)
        clock._time += 2.5
        endpoint_table._rng.draws = [0.99, 0.99, 0.99, 0.99, 0.0]
        waiting = _start(queue, clock, deadline_s=1.75)
        for _ in range(3):
            await asyncio.sleep(0)
        assert not waiting.done()
        queue.wake()
        for _ in range(3):
            await asyncio.sleep(0)
        assert waiting.result() is load

    asyncio.run(scenario())


def test_urgent_request_is_not_rejected_for_less_urgent_ones_that_wait():
    # A burst of less urgent requests has filled the queue; a slot is free every 2 s.
    async def scenario():
        queue, endpoint_table, clock = _full_queue()
        queue.release(endpoint_table.by_id["i-0"], work_s=12.0)
        queue._acquire_free_slot(set(), clock.monotonic())
        bulk = [_start(queue, clock, priority=2, deadline_s=9.0) for _ in range(3)]
        await asyncio.sleep(0)
        late = _start(queue, clock, priority=2, deadline_s=6.0)
        await asyncio.sleep(0)
        assert late.done() and late.exception().detail.startswith("the queue")
        urgent = _start(queue, clock, priority=0, deadline_s=6.0)
        await asyncio.sleep(0)
        assert not urgent.done()
        queue.release(endpoint_table.by_id["i-0"], work_s=12.0)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert urgent.done() and not any(task.done() for task in bulk[:2])
        for task in bulk:
            task.cancel()

    asyncio.run(scenario())


def test_request_that_urgent_ones_keep_from_a_slot_in_time_is_rejected_at_once():
    async def scenario():
        queue, endpoint_table, clock = _full_queue()
        queue.release(endpoint_table.by_id["i-0"], work_s=12.0)
        queue._acquire_free_slot(set(), clock.monotonic())
        bulk = [_start(queue, clock, priority=2, deadline_s=7.0) for _ in range(2)]
        await asyncio.sleep(0)
        assert not any(task.done() for task in bulk)
        urgent = [_start(queue, clock, priority=0, deadline_s=9.0) for _ in range(2)]
        for _ in range(3):
            await asyncio.sleep(0)
        assert [task.done() for task in bulk].count(True) == 1
        (displaced,) = (task for task in bulk if task.done())
        assert displaced.exception().detail.startswith("more urgent requests")
        assert displaced.exception().retry_after > 0
        assert not any(task.done() for task in urgent)
        for task in (*bulk, *urgent):
            task.cancel()

    asyncio.run(scenario())


def _start(queue, clock, *, has_started=False, deadline_s=9.0, priority=1):
    now = clock.monotonic()
    request = Arrival(arrived_at=now, ends_at=now + 8.0, priority=priority)
    return asyncio.create_task(
        queue.acquire_slot(
            request,
            excluded=set(),
            slot_deadline=now + deadline_s,
            has_started=has_started,
        )
    )


def _full_queue():
    clock = ManualClock(start=50.0)
    endpoint_table = EndpointTable(
        data_centre="dc-0", rng=Random(), report_interval_s=lambda _scope: 0.5
    )
    endpoint_table.update(
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
    queue = WaitQueue(
        service=STREAM.name,
        endpoint_table=endpoint_table,
        limit_exchange=SimpleNamespace(request_permit=lambda *_, **__: None),
        clock=clock,
        rng=random.Random(2),
    )
    for _ in range(6):
        assert queue._acquire_free_slot(set(), clock.monotonic()) is not None
    return queue, endpoint_table, clock
