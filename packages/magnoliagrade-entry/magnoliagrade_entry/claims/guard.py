"""At-most-once execution of requests with an idempotency key."""

import dataclasses
import logging

from magnoliagrade.errors import ErrorKind, MagnoliagradeError, Ran, response_of
from magnoliagrade.http import RecordedResponse, RecordingSink
from magnoliagrade.observability import log_event
from prometheus_client import Counter

from magnoliagrade_entry.claims.records import NOT_RECORDED, claim_of
from magnoliagrade_entry.claims.store import claim_stores

__all__ = ["ClaimGuard"]

# `Retry-After` of a request whose claim could not be written.
RETRY_AFTER_S = 1.0
RECORDS_TIMEOUT_S = 5.0
RECORDS_POLL_INTERVAL_S = 0.02
CLAIMS = Counter(
    "magnoliagrade_claims_total", "Requests with an idempotency key", ["result"]
)
_log = logging.getLogger(__name__)


class ClaimGuard:
    """Dispatches at most one of the requests that have the same idempotency key.

    Parameters
    ----------
    node : EntryInstance
        The entry.
    """

    __slots__ = ("_node", "_records_in_flight", "claim_store")

    def __init__(self, *, node):
        self._node = node
        self._records_in_flight = 0
        self.claim_store = claim_stores.get(node.settings.claims_keeper)(node=node)

    async def serve(self, request, sink, dispatch):
        """Dispatch a request, or replay the response recorded for its idempotency key.

        Only non-repeatable requests with an idempotency key are claimed; any other
        is dispatched directly.

        Parameters
        ----------
        request : Request
            The request.
        sink : ResponseSink
            Destination of the response.
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
            await _respond_to_duplicate(claim, held, sink)
            return
        CLAIMS.labels("created").inc()
        await self._dispatch(request, claim, sink, dispatch)

    async def wait_for_records(self):
        """Wait, at most `RECORDS_TIMEOUT_S`, until outcomes in flight are recorded."""
        timeout_at = self._node.clock.monotonic() + RECORDS_TIMEOUT_S
        while self._records_in_flight and self._node.clock.monotonic() < timeout_at:
            await self._node.clock.sleep(RECORDS_POLL_INTERVAL_S)

    def _claim_of(self, request):
        clock = self._node.clock
        return claim_of(
            request,
            operation=self._node.identity.new_attempt_id(),
            now=clock.now().timestamp(),
            remaining_s=request.deadline - clock.monotonic(),
            lifetime_s=self._node.settings.claims_lifetime_s,
        )

    async def _claim(self, request, claim):
        try:
            return await self.claim_store.claim(claim)
        except MagnoliagradeError as exc:
            CLAIMS.labels("refused").inc()
            log_event(_log, "claim.refused", request_id=request.id, detail=exc.detail)
            # The failed write may still be applied; without a release, the claim would
            # block its key until it expires, although the request was not dispatched.
            self._record_in_background(self.claim_store.release(claim))
            detail = f"the idempotency key could not be claimed: {exc.detail}"
            raise MagnoliagradeError(
                ErrorKind.STORE_UNAVAILABLE, detail, retry_after=RETRY_AFTER_S
            ) from exc

    async def _dispatch(self, request, claim, sink, dispatch):
        recording = RecordingSink(sink=sink)
        try:
            await dispatch(request, recording)
        except MagnoliagradeError as exc:
            if response_of(exc.kind).ran is Ran.NO:
                self._record_in_background(self.claim_store.release(claim))
            raise
        outcome = dataclasses.replace(claim, status=recording.status)
        recorded = recording.recorded
        if recorded is None:
            outcome.drop_body()
        else:
            outcome.content_type = recorded.content_type
            outcome.body = recorded.body
        self._record_in_background(self.claim_store.record_outcome(outcome))

    def _record_in_background(self, write):
        self._node.tasks.start(self._record(write), name="claim record")

    async def _record(self, write):
        self._records_in_flight += 1
        try:
            await write
        except MagnoliagradeError as exc:
            log_event(_log, "claim.unrecorded", code=exc.kind.value, detail=exc.detail)
        finally:
            self._records_in_flight -= 1


async def _respond_to_duplicate(claim, held, sink):
    if held.digest != claim.digest:
        CLAIMS.labels("key-reused").inc()
        detail = "the idempotency key was used with a different request"
        raise MagnoliagradeError(ErrorKind.KEY_REUSED, detail)
    if not held.status or held.content_type == NOT_RECORDED:
        CLAIMS.labels("already-claimed").inc()
        state = (
            f"ended with status {held.status}, but its body was not recorded"
            if held.status
            else "was dispatched and has no recorded response"
        )
        detail = f"the request with this idempotency key {state}"
        raise MagnoliagradeError(ErrorKind.ALREADY_CLAIMED, detail)
    CLAIMS.labels("replayed").inc()
    recorded = RecordedResponse(
        status=held.status, content_type=held.content_type, body=held.body
    )
    await recorded.write_to(sink)
