"""Interface of clocks, the system's clock, and a clock that tests advance."""

import asyncio
import heapq
import itertools
import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

__all__ = ["Clock", "ManualClock", "SystemClock"]


class Clock(Protocol):
    """Source of time, passed to all code that waits or measures time."""

    def monotonic(self):
        """Return the seconds since an arbitrary start; they never decrease."""

    def boot_time(self):
        """Return the seconds since an arbitrary start, including time in suspend."""

    def now(self):
        """Return the wall-clock time as an aware `datetime` in UTC."""

    async def sleep(self, seconds):
        """Wait for a number of seconds."""


class SystemClock:
    """Clock of the operating system and the running event loop."""

    __slots__ = ()

    def monotonic(self):
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def boot_time(self):
        """Return the seconds since the machine booted, including time in suspend."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self):
        """Return the wall-clock time in UTC."""
        return datetime.now(UTC)

    async def sleep(self, seconds):
        """Wait for a number of seconds."""
        await asyncio.sleep(max(0.0, seconds))


class ManualClock:
    """Clock that advances only when `advance` is called.

    Parameters
    ----------
    start : float
        Initial monotonic time in seconds.
    """

    __slots__ = ("_epoch", "_order", "_sleepers", "_time")

    def __init__(self, *, start=0.0):
        self._time = start
        self._epoch = datetime(2026, 1, 1, tzinfo=UTC)
        self._sleepers = []
        self._order = itertools.count()

    def monotonic(self):
        """Return the current manual time in seconds."""
        return self._time

    def boot_time(self):
        """Return the current manual time in seconds; there is no suspend."""
        return self._time

    def now(self):
        """Return the wall-clock time in UTC."""
        return self._epoch + timedelta(seconds=self._time)

    async def sleep(self, seconds):
        """Wait until the clock has been advanced by a number of seconds."""
        if seconds <= 0:
            await asyncio.sleep(0)
            return
        woken = asyncio.get_running_loop().create_future()
        sleeper = (self._time + seconds, next(self._order), woken)
        heapq.heappush(self._sleepers, sleeper)
        await woken

    async def advance(self, seconds):
        """Advance the clock and wake every sleeper that is due, in order of time.

        Parameters
        ----------
        seconds : float
            Time to advance by.
        """
        target = self._time + seconds
        while self._sleepers and self._sleepers[0][0] <= target:
            due, _, woken = heapq.heappop(self._sleepers)
            self._time = due
            if not woken.done():
                woken.set_result(None)
            await _let_tasks_run()
        self._time = target
        await _let_tasks_run()


async def _let_tasks_run():
    # Tasks that wake each other in a chain need several passes of the event loop.
    for _ in range(5):
        await asyncio.sleep(0)
