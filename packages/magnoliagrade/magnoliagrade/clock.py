"""Clock interface, the system's clock and a clock that tests advance."""

import asyncio
import heapq
import itertools
import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

__all__ = ["Clock", "ManualClock", "SystemClock"]


class Clock(Protocol):
    """Source of time that is passed to whatever waits or measures."""

    def monotonic(self):
        """Return seconds since an arbitrary start; never decreases."""

    def boot_time(self):
        """Return seconds since an arbitrary start, time in suspend included."""

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
        """Return seconds since the machine booted, time in suspend included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self):
        """Return the wall-clock time in UTC."""
        return datetime.now(UTC)

    async def sleep(self, seconds):
        """Wait for a number of seconds."""
        await asyncio.sleep(max(0.0, seconds))


class ManualClock:
    """Clock that only moves when `advance` is called.

    Parameters
    ----------
    start : float
        First monotonic reading in seconds.
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
        """Return the current manual time in seconds; it is never suspended."""
        return self._time

    def now(self):
        """Return the wall-clock time in UTC."""
        return self._epoch + timedelta(seconds=self._time)

    async def sleep(self, seconds):
        """Wait until `advance` has moved the clock far enough."""
        if seconds <= 0:
            await asyncio.sleep(0)
            return
        woken = asyncio.get_running_loop().create_future()
        entry = (self._time + seconds, next(self._order), woken)
        heapq.heappush(self._sleepers, entry)
        await woken

    async def advance(self, seconds):
        """Move the clock and wake every sleeper whose time has come.

        Parameters
        ----------
        seconds : float
            How far to move.
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
    # One pass of the loop is not enough for chains of tasks that wake each other.
    for _ in range(5):
        await asyncio.sleep(0)
