"""Tasks that have to run for as long as their process does.

They guard against a process that goes on serving with outdated state because an
unexpected error has ended the task that updates it.
"""

import asyncio

from magnoliagrade.clock import ManualClock
from magnoliagrade.node import Tasks


class FailingRun:
    """Runs that fail after a time, except the last one, which does not end."""

    def __init__(self, *, clock, failures, lasts_s=0.0):
        self._clock = clock
        self._failures = failures
        self._lasts_s = lasts_s
        self.began_at = []

    async def __call__(self):
        self.began_at.append(self._clock.monotonic())
        await self._clock.sleep(self._lasts_s)
        if len(self.began_at) <= self._failures:
            raise RuntimeError("unexpected")
        await self._clock.sleep(float("inf"))


def test_lasting_task_that_fails_is_started_again():
    async def scenario():
        clock, tasks = ManualClock(), Tasks()
        run = FailingRun(clock=clock, failures=6)
        task = tasks.start_lasting(run, name="site", clock=clock)
        for _ in range(100):
            await clock.advance(0.1)
        assert len(run.began_at) == 7
        pauses = [b - a for a, b in zip(run.began_at, run.began_at[1:], strict=False)]
        assert pauses == sorted(pauses)
        assert 0 < pauses[0] <= 0.2
        assert pauses[-1] <= 1.0 + 1e-6
        assert not task.done()
        await tasks.stop()
        assert task.cancelled()

    asyncio.run(scenario())


def test_lasting_task_that_has_run_for_long_restarts_after_the_first_pause():
    async def scenario():
        clock, tasks = ManualClock(), Tasks()
        run = FailingRun(clock=clock, failures=3, lasts_s=60.0)
        tasks.start_lasting(run, name="site", clock=clock)
        for _ in range(200):
            await clock.advance(1.0)
        lengths = [b - a for a, b in zip(run.began_at, run.began_at[1:], strict=False)]
        assert len(lengths) == 3
        assert max(lengths) < 60.2
        await tasks.stop()

    asyncio.run(scenario())


def test_lasting_task_that_returns_is_not_started_again():
    async def scenario():
        clock, tasks = ManualClock(), Tasks()
        calls = []

        async def run():
            calls.append(None)

        task = tasks.start_lasting(run, name="once", clock=clock)
        await clock.advance(30.0)
        assert task.done()
        assert len(calls) == 1

    asyncio.run(scenario())
