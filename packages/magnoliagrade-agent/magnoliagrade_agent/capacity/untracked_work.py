"""Work that may still run in an engine although the agent no longer tracks it."""

from collections import deque

__all__ = ["UntrackedWork"]

# Time for which the cost is held at an endpoint without load reports (a service), where
# nothing shows that the work has ended.
SERVICE_HOLD_S = 5.0
# Longest time for which the cost is held at an endpoint with load reports (a model).
# Agent and engine may count tokens differently, so that no report ever clears the cost.
MODEL_HOLD_S = 300.0
# Ended requests are kept this long, because a report may show a time before their end.
ENDED_RETENTION_S = 10.0


class UntrackedWork:
    """Cost held for abandoned requests and for requests of an earlier agent.

    Parameters
    ----------
    clock : Clock
        Source of time.
    has_reports : bool
        Whether the endpoint provides load reports, which show when work has ended.

    Attributes
    ----------
    cost : float
        Cost that counts against the limit.

    Notes
    -----
    A load report counts what the engine has in flight. The part beyond the requests
    that the agent tracked at the time of the snapshot is untracked work. The cost is
    lowered only by reports made after the last request was abandoned. Without
    reports it expires after 5 s. If no report clears it, because agent and engine
    count tokens differently, it expires after 300 s.

    Examples
    --------
    >>> from magnoliagrade.clock import ManualClock
    >>> untracked = UntrackedWork(clock=ManualClock(start=10.0), has_reports=True)
    >>> untracked.add(200)
    >>> untracked.on_report(200, [], requested_at=9.9, received_at=10.0, age_s=0.3)
    >>> untracked.cost
    200.0
    >>> untracked.on_report(50, [], requested_at=10.5, received_at=10.5, age_s=0.3)
    >>> untracked.cost
    50.0
    """

    __slots__ = ("_added_at", "_clock", "_ended", "_has_reports", "cost")

    def __init__(self, *, clock, has_reports):
        self._clock = clock
        self._has_reports = has_reports
        self._ended = deque()
        self._added_at = 0.0
        self.cost = 0.0

    def add(self, cost):
        """Add the cost of work that became untracked just now."""
        self.cost += float(cost)
        self._added_at = self._clock.monotonic()

    def clear(self):
        """Drop the cost, because the engine has restarted."""
        self.cost = 0.0

    def note_ended(self, work):
        """Keep an ended request for 10 s, for reports made before its end."""
        self._ended.append(work)
        oldest_kept_at = self._clock.monotonic() - ENDED_RETENTION_S
        while self._ended[0].ended_at < oldest_kept_at:
            self._ended.popleft()

    def on_report(self, tokens_in_flight, tracked, *, requested_at, received_at, age_s):
        """Lower the cost to the load that a report counts beyond tracked requests.

        Parameters
        ----------
        tokens_in_flight : float
            Tokens in flight that the engine counted.
        tracked : iterable of EndpointWork
            Requests that the agent tracks now.
        requested_at, received_at : float
            Monotonic times, in seconds, at which the report was requested and
            received.
        age_s : float
            Age in seconds that the report states for its snapshot.
        """
        earliest = requested_at - age_s
        latest = received_at - age_s
        if not self.cost or earliest < self._added_at:
            return
        tracked_cost = sum(w.cost for w in tracked if _ran_at(w, earliest, latest))
        tracked_cost += sum(w.cost for w in self._ended if _ran_at(w, earliest, latest))
        self.cost = float(min(self.cost, max(0.0, tokens_in_flight - tracked_cost)))

    def expire(self):
        """Drop the cost if it has been held longer than allowed."""
        hold_s = MODEL_HOLD_S if self._has_reports else SERVICE_HOLD_S
        if self.cost and self._clock.monotonic() - self._added_at > hold_s:
            self.cost = 0.0


def _ran_at(work, earliest, latest):
    """Return whether a request certainly ran from the earliest to the latest time."""
    if work.confirmed_at is None or work.confirmed_at > earliest:
        return False
    return work.ended_at is None or work.ended_at >= latest
