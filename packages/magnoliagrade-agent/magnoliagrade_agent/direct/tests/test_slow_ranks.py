import asyncio

from magnoliagrade.clock import ManualClock
from magnoliagrade.errors import ErrorKind, MagnoliagradeError

from magnoliagrade_agent.direct.slow_ranks import RENEW_S, RETRY_S, SlowRankNotice


class Store:
    def __init__(self):
        self.calls = []
        self.is_down = False
        self.answer = asyncio.Event()
        self.answer.set()

    async def put(self, key, value, **_fields):
        await self._note(("put", key, value))

    async def delete(self, key, **_fields):
        await self._note(("delete", key, b""))

    async def _note(self, call):
        self.calls.append(call)
        await self.answer.wait()
        if self.is_down:
            raise MagnoliagradeError(ErrorKind.STORE_UNAVAILABLE, "down")


def test_a_slow_rank_is_told_once_renewed_and_taken_back():
    async def scenario(store, clock, notice):
        notice.note("g", {"a:1": 1.0, "b:1": 1.2})
        await clock.advance(1.0)
        assert not store.calls
        notice.note("g", {"a:1": 1.0, "b:1": 5.0})
        await _advance(clock, RENEW_S - 0.2)
        assert [call[0] for call in store.calls] == ["put"]
        assert b"b:1" in store.calls[0][2] and b"a:1" not in store.calls[0][2]
        await _advance(clock, 0.4)
        assert [call[0] for call in store.calls] == ["put", "put"]
        notice.note("g", {"a:1": 1.0, "b:1": 1.0})
        await _advance(clock, 3 * RENEW_S)
        assert [call[0] for call in store.calls] == ["put", "put", "delete"]

    _run(scenario)


def test_a_store_that_is_down_is_asked_again_after_a_pause():
    async def scenario(store, clock, notice):
        store.is_down = True
        notice.note("g", {"b:1": 5.0})
        await _advance(clock, RETRY_S - 0.2)
        assert len(store.calls) == 1
        store.is_down = False
        await _advance(clock, 0.5)
        assert len(store.calls) == 2

    _run(scenario)


def test_a_silent_store_keeps_nobody_from_noting():
    async def scenario(store, clock, notice):
        store.answer = asyncio.Event()
        notice.note("g", {"b:1": 5.0})
        await _advance(clock, 1.0)
        notice.note("g", {"b:1": 5.0, "c:1": 2.0})
        store.answer.set()
        await _advance(clock, 0.2)
        assert b"c:1" in store.calls[-1][2]

    _run(scenario)


def _run(scenario):
    async def whole():
        store, clock = Store(), ManualClock(start=10.0)
        notice = SlowRankNotice(store=store, clock=clock)
        task = asyncio.create_task(notice.run())
        try:
            await scenario(store, clock, notice)
        finally:
            task.cancel()

    asyncio.run(whole())


async def _advance(clock, seconds):
    for _ in range(round(seconds / 0.05)):
        await clock.advance(0.05)
