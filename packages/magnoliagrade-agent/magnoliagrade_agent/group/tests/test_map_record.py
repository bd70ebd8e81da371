import asyncio

from magnoliagrade.clock import ManualClock
from magnoliagrade_standins.platform import MemoryStore
from magnoliagrade_standins.platform.store import StoreFaults

from magnoliagrade_agent.group.map_record import CoordinatorLease, MapRecordStore


def _lease(store, clock, holder):
    return CoordinatorLease(
        store=store, group="g", holder=holder, clock=clock, ttl_s=10.0
    )


def test_fencing_token_increases_with_each_holder():
    async def main():
        clock = ManualClock()
        store = MemoryStore(clock=clock)
        first = _lease(store, clock, "a")
        second = _lease(store, clock, "b")
        assert await first.acquire_or_renew()
        assert not await second.acquire_or_renew()
        paused_fence = first.fence
        await clock.advance(11.0)
        assert await second.acquire_or_renew()
        assert second.fence > paused_fence
        assert first.is_held
        assert not await first.acquire_or_renew()
        assert not first.is_held

    asyncio.run(main())


def test_fencing_token_increases_after_the_store_has_returned_from_a_copy():
    async def main():
        clock = ManualClock()
        store = MemoryStore(clock=clock)
        state = store.make_copy()
        first = _lease(store, clock, "a")
        assert await first.acquire_or_renew()
        seen_fence = first.fence
        store.return_from(state)
        second = _lease(store, clock, "b")
        assert await second.acquire_or_renew()
        assert second.fence > seen_fence

    asyncio.run(main())


def test_coordinator_does_not_hold_a_lease_that_was_issued_to_another():
    async def main():
        clock = ManualClock()
        store = MemoryStore(clock=clock)
        state = store.make_copy()
        first = _lease(store, clock, "a")
        assert await first.acquire_or_renew()
        store.return_from(state)
        second = _lease(store, clock, "b")
        assert await second.acquire_or_renew()
        assert not await first.acquire_or_renew()

    asyncio.run(main())


def test_lease_is_not_held_if_the_response_of_the_store_was_lost():
    async def main():
        clock = ManualClock()
        store = MemoryStore(clock=clock)
        lease = _lease(store, clock, "a")
        store.set_faults(StoreFaults(lose_write_answers=1))
        assert not await lease.acquire_or_renew()
        await clock.advance(11.0)
        assert await lease.acquire_or_renew()

    asyncio.run(main())


def test_second_read_or_create_returns_the_first_record():
    async def main():
        store = MemoryStore(clock=ManualClock())
        one = await MapRecordStore(store=store, group="g").read_or_create(1, b"one")
        two = await MapRecordStore(store=store, group="g").read_or_create(1, b"two")
        assert one == two
        assert one.map == b"one"

    asyncio.run(main())
