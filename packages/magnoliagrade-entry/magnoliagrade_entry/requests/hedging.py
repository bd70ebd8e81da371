"""Hedging: a second attempt at a lookup that is slower than usual."""

import asyncio
from collections import deque
from typing import Protocol

from magnoliagrade.errors import ErrorKind, Ran
from magnoliagrade.registry import Registry

from magnoliagrade_entry.requests.attempt import AttemptFailed

__all__ = ["HedgePolicy", "Race", "hedge_policies"]

KEPT_SAMPLES = 256
MIN_SAMPLES = 20
NAIVE_DELAY_S = 0.0
QUANTILE = 0.95

hedge_policies = Registry(family="hedge policy")


class HedgePolicy(Protocol):
    """What decides when a lookup gets a second attempt."""

    def note(self, total_s):
        """Learn how long a lookup took."""

    def delay_s(self):
        """Return the seconds after which to hedge, or None for never."""


@hedge_policies.register("none")
class NoHedging:
    """Baseline: never a second attempt."""

    __slots__ = ()

    def note(self, total_s):
        """Learn nothing."""

    def delay_s(self):
        """Return None."""
        return None


@hedge_policies.register("naive")
class NaiveHedging:
    """Baseline: a second attempt at once, as far as the retry budget goes."""

    __slots__ = ()

    def note(self, total_s):
        """Learn nothing."""

    def delay_s(self):
        """Return no delay."""
        return NAIVE_DELAY_S


@hedge_policies.register("p95")
class QuantileHedging:
    """A second attempt after the recent 95th percentile of the pool's lookups.

    Notes
    -----
    Sorting the few samples takes microseconds, next to milliseconds of a lookup.
    """

    __slots__ = ("_samples",)

    def __init__(self):
        self._samples = deque(maxlen=KEPT_SAMPLES)

    def note(self, total_s):
        """Keep the sample."""
        self._samples.append(total_s)

    def delay_s(self):
        """Return the percentile, or None while there are few samples."""
        if len(self._samples) < MIN_SAMPLES:
            return None
        ordered = sorted(self._samples)
        return ordered[int(QUANTILE * (len(ordered) - 1))]


class Race:
    """Attempts of which the first to have an answer writes it.

    Parameters
    ----------
    sink : ResponseSink
        Where the winner's answer goes.
    """

    __slots__ = ("_lanes", "sink", "winner")

    def __init__(self, *, sink):
        self.sink = sink
        self.winner = None
        self._lanes = []

    async def run(self, first, second, delay_s):
        """Run an attempt and, after a delay, another; return the winner's name.

        Parameters
        ----------
        first : coroutine function
            Called with a sink.
        second : coroutine function
            Called with a sink once the delay has passed; returns at once with
            `AttemptFailed` if there is nothing to hedge with.
        delay_s : float
            How long the first one runs alone.

        Raises
        ------
        AttemptFailed
            If none gave a whole answer; a failure after which the request may have
            run goes first.

        Notes
        -----
        The loser is cancelled as soon as the winner has its first byte.
        """
        self._start(first)
        try:
            await asyncio.wait([self._lanes[0].task], timeout=delay_s)
            if self._lanes[0].task.done() or self.winner is not None:
                await self._lanes[0].task
                return
            self._start(second)
            await self._finish()
        finally:
            for lane in self._lanes:
                lane.task.cancel()
            await asyncio.gather(*(k.task for k in self._lanes), return_exceptions=True)

    def win(self, lane):
        """Note that a lane has an answer; raise if another one came first."""
        if self.winner not in (None, lane):
            detail = "another attempt was faster"
            raise AttemptFailed(ErrorKind.ANSWER_BROKEN, detail, ran=Ran.YES)
        self.winner = lane
        for other in self._lanes:
            if other is not lane:
                other.task.cancel()

    def _start(self, attempt):
        lane = _Lane(race=self)
        self._lanes.append(lane)
        lane.task = asyncio.create_task(attempt(lane))

    async def _finish(self):
        tasks = [lane.task for lane in self._lanes]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        if self.winner is None:
            await asyncio.wait(tasks)
        if self.winner is not None:
            await self.winner.task
            return
        failures = [task.exception() for task in tasks]
        may_have_run = [f for f in failures if getattr(f, "ran", None) is not Ran.NO]
        raise (may_have_run or failures)[0]


class _Lane:
    """The sink of one attempt in a race."""

    __slots__ = ("_race", "task")

    def __init__(self, *, race):
        self._race = race
        self.task = None

    @property
    def has_started(self):
        return self._race.winner is self and self._race.sink.has_started

    @property
    def bytes_written(self):
        return self._race.sink.bytes_written if self.has_started else 0

    @property
    def tokens_written(self):
        return self._race.sink.tokens_written

    async def start(self, status, headers):
        self._race.win(self)
        await self._race.sink.start(status, headers)

    async def write(self, data, *, tokens=0):
        await self._race.sink.write(data, tokens=tokens)

    async def finish(self):
        await self._race.sink.finish()
