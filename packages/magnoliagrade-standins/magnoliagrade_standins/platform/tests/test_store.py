import asyncio

from magnoliagrade.clock import ManualClock
from magnoliagrade.store import StoreConflict, StoreUnavailable

from magnoliagrade_standins.platform import MemoryStore, StoreFaults

P = {"purpose": "test"}


def test_put_with_an_outdated_revision_raises_conflict():
    async def main():
        store = MemoryStore(clock=ManualClock())
        first = await store.put("k", b"1", expected_revision=0, **P)
        assert await _raises_conflict(store.put("k", b"2", expected_revision=0, **P))
        await store.put("k", b"2", expected_revision=first, **P)
        assert (await store.get("k", **P)).value == b"2"

    asyncio.run(main())


def test_keys_are_deleted_when_their_lease_lapses():
    async def main():
        clock = ManualClock()
        store = MemoryStore(clock=clock)
        lease = await store.grant_lease(5, **P)
        await store.put("k", b"1", expected_revision=0, lease=lease, **P)
        await clock.advance(4)
        await store.renew_lease(lease, **P)
        await clock.advance(4)
        assert await store.get("k", **P) is not None
        await clock.advance(2)
        assert await store.get("k", **P) is None
        assert await _raises_conflict(store.renew_lease(lease, **P))

    asyncio.run(main())


def test_write_whose_response_is_lost_takes_effect():
    async def main():
        store = MemoryStore(clock=ManualClock())
        store.set_faults(StoreFaults(lose_write_answers=1))
        try:
            await store.put("k", b"1", expected_revision=0, **P)
        except StoreUnavailable as exc:
            assert exc.maybe_applied
        assert (await store.get("k", **P)).value == b"1"

    asyncio.run(main())


def test_watch_returns_a_newer_value():
    async def main():
        store = MemoryStore(clock=ManualClock())
        watch = asyncio.create_task(store.watch("k", after_revision=0, wait_s=30, **P))
        await asyncio.sleep(0)
        await store.put("k", b"1", expected_revision=0, **P)
        assert (await watch).value == b"1"

    asyncio.run(main())


async def _raises_conflict(call):
    try:
        await call
    except StoreConflict:
        return True
    return False
