"""Serving a request: attempts until one gives a whole answer."""

import logging

from magnoliagrade.errors import ErrorKind, MagnoliagradeError, Ran
from magnoliagrade.observability.logs import log_event
from prometheus_client import Counter

from magnoliagrade_entry.requests.attempt import AttemptFailed, run_attempt

__all__ = ["Dispatcher"]

MAX_ATTEMPTS = 3

ATTEMPTS = Counter(
    "magnoliagrade_attempts_total", "Attempts by result", ["application", "result"]
)
_log = logging.getLogger(__name__)


class Dispatcher:
    """Runs the attempts of requests.

    Parameters
    ----------
    node : EntryInstance
        The entry.
    """

    __slots__ = ("_node",)

    def __init__(self, *, node):
        self._node = node

    async def serve(self, request, sink):
        """Serve a request, writing its answer to a sink.

        Parameters
        ----------
        request : Request
            The request.
        sink : AnswerSink
            Where the answer goes.

        Raises
        ------
        MagnoliagradeError
            If no attempt gave a whole answer.
        """
        excluded = set()
        failure = None
        while True:
            try:
                placement = await self._node.router.place(request, excluded=excluded)
            except MagnoliagradeError as exc:
                raise (failure or exc) from exc
            try:
                await self._attempt(request, placement, sink)
                return
            except AttemptFailed as exc:
                failure = exc
            excluded.add(placement.name)
            if not self._may_retry(request, failure, sink):
                raise failure

    async def _attempt(self, request, placement, sink):
        request.attempt_count += 1
        attempt = self._node.identity.new_attempt_id()
        if placement.endpoint:
            placement.endpoint.begin(request)
        result = "whole"
        try:
            await run_attempt(
                node=self._node,
                request=request,
                placement=placement,
                attempt=attempt,
                sink=sink,
            )
        except AttemptFailed as exc:
            result = exc.kind.value
            raise
        finally:
            if placement.endpoint:
                placement.endpoint.end(request, result)
            ATTEMPTS.labels(request.application, result).inc()
            log_event(
                _log,
                "attempt.ended",
                request_id=request.id,
                organisation=request.organisation,
                endpoint=placement.name,
                attempt=attempt,
                reason=placement.reason,
                result=result,
                configuration_revision=self._node.configuration.revision,
            )

    def _may_retry(self, request, failure, sink):
        if request.attempt_count >= MAX_ATTEMPTS or sink.has_started:
            return False
        if failure.kind is ErrorKind.DEADLINE:
            return False
        return failure.ran is Ran.NO or request.repeatable
