import asyncio

from magnoliagrade.clock import ManualClock
from magnoliagrade.errors import ErrorKind, MagnoliagradeError

from magnoliagrade_agent.direct.slow_ranks import (
    RENEW_INTERVAL_S,
    RETRY_DELAY_S,
    SlowRankPublisher,
)


class FakeStore:
    def __init__(self):
        self.calls = []
        self.era = 1
        self.is_down = False
        self.may_respond = asyncio.Event()
        self.may_respond.set()

    async def put(self, key, value, **_fields):
        await self._note(("put", key, value))

    async def delete(self, key, **_fields):
        await self._note(("delete", key, b""))

    async def _note(self, call):
        self.calls.append(call)
        await self.may_respond.wait()
        if self.is_down:
            raise MagnoliagradeError(ErrorKind.STORE_UNAVAILABLE, "down")


def test_a_slow_rank_is_published_once_renewed_and_removed():
    async def scenario(store, clock, publisher):
        publisher.update_paces("g", {"a:1": 1.0, "b:1": 1.2})
        await clock.advance(1.0)
        assert not store.calls
        publisher.update_paces("g", {"a:1": 1.0, "b:1": 5.0})
        await _advance(clock, RENEW_INTERVAL_S - 0.2)
        assert [call[0] for call in store.calls] == ["put"]
        assert b"b:1" in store.calls[0][2] and b"a:1" not in store.calls[0][2]
        await _advance(clock, 0.4)
        assert [call[0] for call in store.calls] == ["put", "put"]
        publisher.update_paces("g", {"a:1": 1.0, "b:1": 1.0})
        await _advance(clock, 3 * RENEW_INTERVAL_S)
        assert [call[0] for call in store.calls] == ["put", "put", "delete"]

    _run(scenario)


def test_a_notice_that_the_store_restored_from_a_copy_is_removed_again():
    async def scenario(store, clock, publisher):
        publisher.update_paces("g", {"b:1": 5.0})
        await _advance(clock, 0.2)
        publisher.update_paces("g", {"b:1": 1.0})
        await _advance(clock, 0.2)
        assert [call[0] for call in store.calls] == ["put", "delete"]
        store.era = 2
        await _advance(clock, 0.2)
        assert [call[0] for call in store.calls] == ["put", "delete", "delete"]

    _run(scenario)


def test_a_failed_store_call_is_retried_after_the_delay():
    async def scenario(store, clock, publisher):
        store.is_down = True
        publisher.update_paces("g", {"b:1": 5.0})
        await _advance(clock, RETRY_DELAY_S - 0.2)
        assert len(store.calls) == 1
        store.is_down = False
        await _advance(clock, 0.5)
        assert len(store.calls) == 2

    _run(scenario)


def test_paces_can_be_updated_while_the_store_does_not_respond():
    async def scenario(store, clock, publisher):
        store.may_respond = asyncio.Event()
        publisher.update_paces("g", {"b:1": 5.0})
        await _advance(clock, 1.0)
        publisher.update_paces("g", {"b:1": 5.0, "c:1": 2.0})
        store.may_respond.set()
        await _advance(clock, 0.2)
        assert b"c:1" in store.calls[-1][2]

    _run(scenario)


def _run(scenario):
    async def main():
        store, clock = FakeStore(), ManualClock(start=10.0)
        publisher = SlowRankPublisher(store=store, clock=clock)
        task = asyncio.create_task(publisher.run())
        try:
            await scenario(store, clock, publisher)
        finally:
            task.cancel()

    asyncio.run(main())


async def _advance(clock, seconds):
    for _ in range(round(seconds / 0.05)):
        await clock.advance(0.05)
