"""Work that may still run in an engine though nobody follows it."""

from collections import deque

__all__ = ["UntrackedWork"]

SERVICE_HOLD_S = 5.0
MODEL_HOLD_S = 300.0
ENDED_KEPT_S = 10.0


class UntrackedWork:
    """Cost held for abandoned requests and for those of an earlier agent.

    Parameters
    ----------
    clock : Clock
        Source of time.
    has_reports : bool
        Whether the endpoint gives load reports, which show when work has gone.

    Notes
    -----
    What a report counts in flight beyond the requests that this agent followed
    when it was made is residue; it only ever falls with reports made after the
    last request was abandoned. Without reports it lapses after 5 s. A residue that
    no report clears, because agent and engine count tokens differently, lapses
    after 300 s.

    Examples
    --------
    >>> from magnoliagrade.clock import ManualClock
    >>> residue = UntrackedWork(clock=ManualClock(start=10.0), has_reports=True)
    >>> residue.add(200)
    >>> residue.on_report(200, [], requested_at=9.9, answered_at=10.0, age_s=0.3)
    >>> residue.cost
    200.0
    >>> residue.on_report(50, [], requested_at=10.5, answered_at=10.5, age_s=0.3)
    >>> residue.cost
    50.0
    """

    __slots__ = ("_clock", "_ended", "_has_reports", "_since", "cost")

    def __init__(self, *, clock, has_reports):
        self._clock = clock
        self._has_reports = has_reports
        self._ended = deque()
        self._since = 0.0
        self.cost = 0.0

    def add(self, cost):
        """Hold the cost of a request that was abandoned just now."""
        self.cost += float(cost)
        self._since = self._clock.monotonic()

    def clear(self):
        """Hold nothing: the engine has started anew."""
        self.cost = 0.0

    def note_ended(self, work):
        """Remember a request that ended, for reports made before its end."""
        self._ended.append(work)
        limit = self._clock.monotonic() - ENDED_KEPT_S
        while self._ended[0].ended_at < limit:
            self._ended.popleft()

    def on_report(
        self, tokens_in_flight, followed, *, requested_at, answered_at, age_s
    ):
        """Lower the cost to what a report leaves room for.

        Parameters
        ----------
        tokens_in_flight : float
            What the engine counted.
        followed : iterable of EndpointWork
            Requests that the agent follows now.
        requested_at, answered_at : float
            Monotonic times of asking for the report and of its arrival.
        age_s : float
            Age that the report gives itself.
        """
        earliest = requested_at - age_s
        latest = answered_at - age_s
        if not self.cost or earliest < self._since:
            return
        own = sum(w.cost for w in followed if _runs_at(w, earliest, latest))
        own += sum(w.cost for w in self._ended if _runs_at(w, earliest, latest))
        self.cost = float(min(self.cost, max(0.0, tokens_in_flight - own)))

    def lapse(self):
        """Drop what has been held for too long."""
        hold_s = MODEL_HOLD_S if self._has_reports else SERVICE_HOLD_S
        if self.cost and self._clock.monotonic() - self._since > hold_s:
            self.cost = 0.0


def _runs_at(work, earliest, latest):
    if work.confirmed_at is None or work.confirmed_at > earliest:
        return False
    return work.ended_at is None or work.ended_at >= latest
