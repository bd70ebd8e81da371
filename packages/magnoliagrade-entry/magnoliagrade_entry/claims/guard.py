"""Serving a request with an idempotency key at most once."""

import dataclasses
import logging

from magnoliagrade.errors import ErrorKind, MagnoliagradeError, Ran, response_of
from magnoliagrade.http import RecordedResponse, RecordingSink
from magnoliagrade.observability import log_event
from prometheus_client import Counter

from magnoliagrade_entry.claims.keeper import claim_keepers
from magnoliagrade_entry.claims.records import NOT_RECORDED, claim_of

__all__ = ["ClaimGuard"]

RETRY_AFTER_S = 1.0
RECORDS_LIMIT_S = 5.0
RECORDS_POLL_S = 0.02
CLAIMS = Counter(
    "magnoliagrade_claims_total", "Requests with an idempotency key", ["result"]
)
_log = logging.getLogger(__name__)


class ClaimGuard:
    """Dispatches a keyed request only for the creator of the key's claim.

    Parameters
    ----------
    node : EntryInstance
        The entry.
    """

    __slots__ = ("_node", "_records_in_flight", "keeper")

    def __init__(self, *, node):
        self._node = node
        self._records_in_flight = 0
        self.keeper = claim_keepers.get(node.settings.claims_keeper)(node=node)

    async def serve(self, request, sink, dispatch):
        """Serve a request, under a claim if it has a key and may run only once.

        Parameters
        ----------
        request : Request
            The request.
        sink : ResponseSink
            Where the answer goes.
        dispatch : coroutine function
            Called with request and sink.

        Raises
        ------
        MagnoliagradeError
            `ALREADY_CLAIMED`, `KEY_REUSED`, `STORE_UNAVAILABLE`, or what
            `dispatch` raises.
        """
        if request.repeatable or not request.idempotency_key:
            await dispatch(request, sink)
            return
        claim = self._claim_of(request)
        held = await self._claim(request, claim)
        if held.operation != claim.operation:
            await _answer_copy(claim, held, sink)
            return
        CLAIMS.labels("created").inc()
        await self._dispatch(request, claim, sink, dispatch)

    async def wait_for_records(self):
        """Wait until the outcomes of answered requests are recorded, for a while."""
        limit = self._node.clock.monotonic() + RECORDS_LIMIT_S
        while self._records_in_flight and self._node.clock.monotonic() < limit:
            await self._node.clock.sleep(RECORDS_POLL_S)

    def _claim_of(self, request):
        clock = self._node.clock
        return claim_of(
            request,
            operation=self._node.identity.new_attempt_id(),
            now=clock.now().timestamp(),
            left_s=request.deadline - clock.monotonic(),
            lifetime_s=self._node.settings.claims_lifetime_s,
        )

    async def _claim(self, request, claim):
        try:
            return await self.keeper.claim(claim)
        except MagnoliagradeError as exc:
            CLAIMS.labels("refused").inc()
            log_event(_log, "claim.refused", request_id=request.id, detail=exc.detail)
            # The write may still land; nobody dispatches under it.
            self._later(self.keeper.release(claim))
            detail = f"the key could not be claimed: {exc.detail}"
            raise MagnoliagradeError(
                ErrorKind.STORE_UNAVAILABLE, detail, retry_after=RETRY_AFTER_S
            ) from exc

    async def _dispatch(self, request, claim, sink, dispatch):
        recording = RecordingSink(sink=sink)
        try:
            await dispatch(request, recording)
        except MagnoliagradeError as exc:
            if response_of(exc.kind).ran is Ran.NO:
                self._later(self.keeper.release(claim))
            raise
        settled = dataclasses.replace(claim, status=recording.status)
        recorded = recording.recorded
        if recorded is None:
            settled.drop_body()
        else:
            settled.content_type = recorded.content_type
            settled.body = recorded.body
        self._later(self.keeper.settle(settled))

    def _later(self, work):
        self._node.tasks.start(self._record(work), name="claim record")

    async def _record(self, work):
        self._records_in_flight += 1
        try:
            await work
        except MagnoliagradeError as exc:
            log_event(_log, "claim.unrecorded", code=exc.kind.value, detail=exc.detail)
        finally:
            self._records_in_flight -= 1


async def _answer_copy(claim, held, sink):
    if held.digest != claim.digest:
        CLAIMS.labels("key-reused").inc()
        detail = "the idempotency key was used for another request"
        raise MagnoliagradeError(ErrorKind.KEY_REUSED, detail)
    if not held.status or held.content_type == NOT_RECORDED:
        CLAIMS.labels("already-claimed").inc()
        what = f"ended with {held.status}" if held.status else "was dispatched"
        detail = f"the request of this idempotency key {what}"
        raise MagnoliagradeError(ErrorKind.ALREADY_CLAIMED, detail)
    CLAIMS.labels("replayed").inc()
    recorded = RecordedResponse(
        status=held.status, content_type=held.content_type, body=held.body
    )
    await recorded.write_to(sink)
