"""Table of the outcomes of attempts, for an entry that lost the response."""

from collections import OrderedDict

from magnoliagrade.http.recording import RecordingSink
from magnoliagrade.wire import RevokeAnswer

__all__ = ["OutcomeTable"]

MAX_OUTCOMES = 2_000


class OutcomeTable:
    """Attempts that run in this process and recorded responses of those that ended.

    Notes
    -----
    An entry that lost the response to a non-repeatable request asks for the outcome of
    its attempt with a `Revoke`. The outcome of an attempt whose response was evicted is
    unknown. The table holds at most 2,000 responses of half a kilobyte each.
    """

    __slots__ = ("_recorded_by_attempt", "_running")

    def __init__(self):
        self._running = set()
        self._recorded_by_attempt = OrderedDict()

    async def serve_and_record(self, attempt, sink, serve):
        """Serve an attempt at a non-repeatable request and record its response.

        Parameters
        ----------
        attempt : str
            Id of the attempt.
        sink : ResponseSink
            Receives the response.
        serve : coroutine function
            Called with the sink that it must write the response to.
        """
        recording = RecordingSink(sink=sink)
        self._running.add(attempt)
        try:
            await serve(recording)
        finally:
            self._running.discard(attempt)
        if recording.recorded is not None:
            self._recorded_by_attempt[attempt] = recording.recorded
        if len(self._recorded_by_attempt) > MAX_OUTCOMES:
            self._recorded_by_attempt.popitem(last=False)

    def revoke_reply(self, attempt, *, never_started):
        """Return the `RevokeAnswer` that replies to a `Revoke`.

        Parameters
        ----------
        attempt : str
            Id of the attempt.
        never_started : bool
            Whether the attempt never started and never will.
        """
        reply = RevokeAnswer(attempt=attempt, never_started=never_started)
        if never_started:
            return reply
        reply.is_running = attempt in self._running
        recorded = self._recorded_by_attempt.get(attempt)
        if recorded is not None:
            reply.status = recorded.status
            reply.content_type = recorded.content_type
            reply.body = recorded.body
        return reply
