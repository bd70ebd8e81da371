"""Hedged requests: a second attempt at a lookup that is slower than usual."""

import asyncio
from collections import deque
from typing import Protocol

from magnoliagrade.errors import ErrorKind, Ran
from magnoliagrade.registry import Registry

from magnoliagrade_entry.requests.attempt import AttemptFailed

__all__ = ["HedgePolicy", "HedgedAttempts", "hedge_policies"]

MAX_SAMPLES = 256
MIN_SAMPLES = 20
IMMEDIATE_DELAY_S = 0.0
HEDGE_QUANTILE = 0.95

hedge_policies = Registry(family="hedge policy")


class HedgePolicy(Protocol):
    """Interface of the policies for when a lookup gets a second attempt."""

    def record(self, duration_s):
        """Record the duration of a lookup in seconds."""

    def delay_s(self):
        """Return the seconds before the second attempt, or None for no hedging."""


@hedge_policies.register("none")
class NoHedging:
    """Baseline: no hedging."""

    __slots__ = ()

    def record(self, duration_s):
        """Do nothing."""

    def delay_s(self):
        """Return None."""
        return None


@hedge_policies.register("naive")
class ImmediateHedging:
    """Baseline: a second attempt at once, within the retry budget."""

    __slots__ = ()

    def record(self, duration_s):
        """Do nothing."""

    def delay_s(self):
        """Return 0."""
        return IMMEDIATE_DELAY_S


@hedge_policies.register("p95")
class QuantileHedging:
    """A second attempt after the 95th percentile of recent lookups' durations.

    Notes
    -----
    The percentile is taken over the last 256 lookups of the pool. Sorting them takes
    microseconds, a lookup milliseconds.
    """

    __slots__ = ("_samples",)

    def __init__(self):
        self._samples = deque(maxlen=MAX_SAMPLES)

    def record(self, duration_s):
        """Add a sample; the oldest is dropped beyond `MAX_SAMPLES`."""
        self._samples.append(duration_s)

    def delay_s(self):
        """Return the percentile, or None with fewer than `MIN_SAMPLES` samples."""
        if len(self._samples) < MIN_SAMPLES:
            return None
        ordered = sorted(self._samples)
        return ordered[int(HEDGE_QUANTILE * (len(ordered) - 1))]


class HedgedAttempts:
    """Concurrent attempts, of which the first to respond writes to the sink.

    Parameters
    ----------
    sink : ResponseSink
        Destination of the winner's response.
    """

    __slots__ = ("_sinks", "sink", "winner")

    def __init__(self, *, sink):
        self.sink = sink
        self.winner = None
        self._sinks = []

    async def run(self, first, second, delay_s):
        """Run an attempt and, if it has no response after a delay, a second one.

        Parameters
        ----------
        first : coroutine function
            Called with a sink.
        second : coroutine function
            Called with a sink once the delay has passed; raises `AttemptFailed` at
            once if the retry budget or the endpoints allow no second attempt.
        delay_s : float
            Seconds that the first attempt runs alone.

        Raises
        ------
        AttemptFailed
            If no attempt gave a complete response. Of several failures, one after
            which the request may have run is preferred.

        Notes
        -----
        The other attempt is cancelled as soon as the winner starts its response.
        """
        self._start(first)
        try:
            await asyncio.wait([self._sinks[0].task], timeout=delay_s)
            if self._sinks[0].task.done() or self.winner is not None:
                await self._sinks[0].task
                return
            self._start(second)
            await self._finish()
        finally:
            for attempt_sink in self._sinks:
                attempt_sink.task.cancel()
            await asyncio.gather(*(s.task for s in self._sinks), return_exceptions=True)

    def select_winner(self, attempt_sink):
        """Make an attempt the winner; raise if another one responded first."""
        if self.winner not in (None, attempt_sink):
            detail = "another attempt responded first"
            raise AttemptFailed(ErrorKind.ANSWER_BROKEN, detail, ran=Ran.YES)
        self.winner = attempt_sink
        for other in self._sinks:
            if other is not attempt_sink:
                other.task.cancel()

    def _start(self, run_attempt):
        attempt_sink = _AttemptSink(attempts=self)
        self._sinks.append(attempt_sink)
        attempt_sink.task = asyncio.create_task(run_attempt(attempt_sink))

    async def _finish(self):
        tasks = [s.task for s in self._sinks]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        if self.winner is None:
            await asyncio.wait(tasks)
        if self.winner is not None:
            await self.winner.task
            return
        failures = [task.exception() for task in tasks]
        may_have_run = [f for f in failures if getattr(f, "ran", None) is not Ran.NO]
        raise (may_have_run or failures)[0]


class _AttemptSink:
    """Sink of one hedged attempt; only the winner's writes reach the shared sink."""

    __slots__ = ("_attempts", "task")

    def __init__(self, *, attempts):
        self._attempts = attempts
        self.task = None

    @property
    def has_started(self):
        return self._attempts.winner is self and self._attempts.sink.has_started

    @property
    def bytes_written(self):
        return self._attempts.sink.bytes_written if self.has_started else 0

    @property
    def tokens_written(self):
        return self._attempts.sink.tokens_written

    async def start(self, status, headers):
        self._attempts.select_winner(self)
        await self._attempts.sink.start(status, headers)

    async def write(self, data, *, tokens=0):
        await self._attempts.sink.write(data, tokens=tokens)

    async def finish(self):
        await self._attempts.sink.finish()
