import asyncio

from magnoliagrade.clock import ManualClock
from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.store import CallLimiter


def test_burst_then_rate_then_refusal():
    async def main():
        clock = ManualClock()
        limiter = CallLimiter(clock=clock, rate=lambda: 2.0)
        for _ in range(20):
            await limiter.take()
        waiting = [asyncio.create_task(limiter.take()) for _ in range(4)]
        await clock.advance(0)
        await clock.advance(0.6)
        assert [t.done() for t in waiting] == [True, False, True, True]
        assert [_kind(t) for t in waiting[2:]] == [ErrorKind.STORE_LIMITED] * 2
        await clock.advance(0.5)
        assert waiting[1].done() and _kind(waiting[1]) is None
        await clock.advance(100)
        for _ in range(20):
            await limiter.take()

    asyncio.run(main())


def _kind(task):
    exc = task.exception()
    return exc.kind if isinstance(exc, MagnoliagradeError) else None
