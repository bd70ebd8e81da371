import asyncio

from magnoliagrade.clock import ManualClock
from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.store import CallLimiter


def test_calls_after_a_burst_wait_or_are_rejected_if_the_wait_is_too_long():
    async def main():
        clock = ManualClock()
        limiter = CallLimiter(clock=clock, calls_per_s=lambda: 2.0)
        for _ in range(20):
            await limiter.acquire()
        waiting = [asyncio.create_task(limiter.acquire()) for _ in range(4)]
        await clock.advance(0)
        await clock.advance(0.6)
        assert [t.done() for t in waiting] == [True, False, True, True]
        assert [_kind(t) for t in waiting[2:]] == [ErrorKind.STORE_LIMITED] * 2
        await clock.advance(0.5)
        assert waiting[1].done() and _kind(waiting[1]) is None
        await clock.advance(100)
        for _ in range(20):
            await limiter.acquire()

    asyncio.run(main())


def _kind(task):
    exc = task.exception()
    return exc.kind if isinstance(exc, MagnoliagradeError) else None
