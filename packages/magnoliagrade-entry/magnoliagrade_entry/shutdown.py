"""Decisions of an entry that is shutting down: which requests it still serves.

Load pattern: a planned stop of one entry. Requests go on to arrive for some seconds, on
open connections and until the platform has noticed that the entry is not ready. Those
that may outlast the entry are rejected while they have not run, so that their callers
send them to another entry at once.
"""

import asyncio
from dataclasses import dataclass

from magnoliagrade.errors import ErrorKind, MagnoliagradeError

__all__ = ["SHUTDOWN_RETRY_S", "RecentDurations", "Shutdown"]

# Retry-After of an entry that shuts down: another entry accepts the request at once.
SHUTDOWN_RETRY_S = 0.05
# Time for which the longest duration of a kind of request is remembered, at least.
DURATION_WINDOW_S = 30.0
# Multiple of the longest recent duration within which a request is expected to end.
DURATION_MARGIN = 1.5


@dataclass(slots=True, kw_only=True)
class _LongestDurations:
    """Longest duration in the present window and in the one before, in seconds."""

    window_ends_at: float
    current_s: float = 0.0
    former_s: float = 0.0


class RecentDurations:
    """Longest time from arrival to the end of the response, by kind of request.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "_longest_by_kind")

    def __init__(self, *, clock):
        self._clock = clock
        self._longest_by_kind = {}

    def record(self, kind, seconds):
        """Record for how long a request of a kind was served."""
        longest = self._window_of(kind)
        longest.current_s = max(longest.current_s, seconds)

    def longest_s(self, kind):
        """Return the longest duration of the last 30 to 60 s; 0 without any."""
        if kind not in self._longest_by_kind:
            return 0.0
        longest = self._window_of(kind)
        return max(longest.current_s, longest.former_s)

    def _window_of(self, kind):
        now = self._clock.monotonic()
        longest = self._longest_by_kind.get(kind)
        if longest is None or now >= longest.window_ends_at + DURATION_WINDOW_S:
            self._forget_unused(now)
            longest = _LongestDurations(window_ends_at=now + DURATION_WINDOW_S)
            self._longest_by_kind[kind] = longest
        elif now >= longest.window_ends_at:
            longest.former_s, longest.current_s = longest.current_s, 0.0
            longest.window_ends_at += DURATION_WINDOW_S
        return longest

    def _forget_unused(self, now):
        self._longest_by_kind = {
            kind: longest
            for kind, longest in self._longest_by_kind.items()
            if now < longest.window_ends_at + DURATION_WINDOW_S
        }


class Shutdown:
    """Shutdown of one entry, and the requests that end with it.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Attributes
    ----------
    durations : RecentDurations
        How long requests take.
    requests_ended : int
        Number of requests that `end` has ended.
    """

    __slots__ = (
        "_clock",
        "_closes_at",
        "_has_ended",
        "_time_limits",
        "durations",
        "requests_ended",
    )

    def __init__(self, *, clock):
        self._clock = clock
        self._closes_at = None
        self._has_ended = False
        self._time_limits = set()
        self.durations = RecentDurations(clock=clock)
        self.requests_ended = 0

    def begin(self, closes_at):
        """Accept from now on only what ends in time.

        Parameters
        ----------
        closes_at : float
            Time at which the entry closes its connections, in seconds.
        """
        self._closes_at = closes_at

    def check(self, kind, *, is_repeatable, ends_at):
        """Check that a request may be accepted, or sent to an endpoint, from now on.

        Parameters
        ----------
        kind : str
            Kind of the request in `durations`, such as its route.
        is_repeatable : bool
            Whether the request may run more than once.
        ends_at : float
            Deadline of the response, in seconds.

        Raises
        ------
        MagnoliagradeError
            `SHUTTING_DOWN` if the request may outlast this entry.

        Notes
        -----
        A request that may run only once has to reach its deadline before the entry
        closes. For others the usual duration is enough: they may be repeated.
        """
        if self._closes_at is None or ends_at <= self._closes_at:
            return
        remaining_s = self._closes_at - self._clock.monotonic()
        longest_s = self.durations.longest_s(kind)
        is_expected_to_end = 0 < DURATION_MARGIN * longest_s <= remaining_s
        if is_repeatable and is_expected_to_end and not self._has_ended:
            return
        raise self.error(f"it closes in {max(0.0, remaining_s):.2f} s")

    def error(self, detail):
        """Return the rejection of a request that has not run."""
        return MagnoliagradeError(
            ErrorKind.SHUTTING_DOWN,
            f"the entry is shutting down: {detail}",
            retry_after=SHUTDOWN_RETRY_S,
        )

    def time_limit(self):
        """Return a context manager whose block ends when the shutdown ends.

        Entering it returns an `asyncio.Timeout`, which has then expired.
        """
        return _ShutdownTimeLimit(shutdown=self)

    def end(self):
        """End all requests that are still served."""
        self._has_ended = True
        now = asyncio.get_running_loop().time()
        for limit in list(self._time_limits):
            self.requests_ended += 1
            limit.reschedule(now)

    def add_time_limit(self, limit):
        """Let an entered `asyncio.Timeout` expire when the shutdown ends."""
        self._time_limits.add(limit)
        if self._has_ended:
            limit.reschedule(asyncio.get_running_loop().time())

    def remove_time_limit(self, limit):
        """Remove a time limit whose block has been left."""
        self._time_limits.discard(limit)


class _ShutdownTimeLimit:
    """Context manager that ends its block with `TimeoutError` at the shutdown's end."""

    __slots__ = ("_limit", "_shutdown")

    def __init__(self, *, shutdown):
        self._limit = asyncio.timeout(None)
        self._shutdown = shutdown

    async def __aenter__(self):
        await self._limit.__aenter__()
        self._shutdown.add_time_limit(self._limit)
        return self._limit

    async def __aexit__(self, *exc_info):
        self._shutdown.remove_time_limit(self._limit)
        return await self._limit.__aexit__(*exc_info)
