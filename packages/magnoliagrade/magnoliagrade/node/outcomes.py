"""A table of how orders ended, for an entry that lost the answer."""

from collections import OrderedDict

from magnoliagrade.http.recording import RecordingSink
from magnoliagrade.wire import RevokeAnswer

__all__ = ["OutcomeTable"]

MAX_OUTCOMES_KEPT = 2_000


class OutcomeTable:
    """Orders that run here and recorded answers of those that ended.

    Notes
    -----
    The table only ever adds knowledge: what it has forgotten is an unknown outcome.
    At most 2,000 answers of half a kilobyte are kept.
    """

    __slots__ = ("_recorded_by_attempt", "_running")

    def __init__(self):
        self._running = set()
        self._recorded_by_attempt = OrderedDict()

    async def serve_and_record(self, attempt, sink, serve):
        """Serve an order and keep its answer.

        Parameters
        ----------
        attempt : str
            Id of the attempt.
        sink : ResponseSink
            Where the answer goes.
        serve : coroutine function
            Called with the sink to write to.
        """
        recording = RecordingSink(sink=sink)
        self._running.add(attempt)
        try:
            await serve(recording)
        finally:
            self._running.discard(attempt)
        if recording.recorded is not None:
            self._recorded_by_attempt[attempt] = recording.recorded
        if len(self._recorded_by_attempt) > MAX_OUTCOMES_KEPT:
            self._recorded_by_attempt.popitem(last=False)

    def revoke_reply(self, attempt, *, never_started):
        """Return the answer to a `Revoke`.

        Parameters
        ----------
        attempt : str
            Id of the attempt.
        never_started : bool
            Whether the attempt never started and never will.
        """
        answer = RevokeAnswer(attempt=attempt, never_started=never_started)
        if never_started:
            return answer
        answer.is_running = attempt in self._running
        recorded = self._recorded_by_attempt.get(attempt)
        if recorded is not None:
            answer.status = recorded.status
            answer.content_type = recorded.content_type
            answer.body = recorded.body
        return answer
