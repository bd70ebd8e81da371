"""All attempts of one request: slots, limits and retries."""

import asyncio
import contextlib

from magnoliagrade.errors import ErrorKind, MagnoliagradeError

from magnoliagrade_entry.direct.admission.overload import retry_after_s, slot_deadline
from magnoliagrade_entry.direct.serving.attempts import Attempt
from magnoliagrade_entry.direct.serving.request_traits import traits_of
from magnoliagrade_entry.direct.serving.upstream import AttemptFailed

__all__ = ["Attempts"]

# Limit on the endpoints tried for one request, counting failed connections.
MAX_CONNECTIONS = 4
# With less time than this before the deadline, no further attempt is made: it could not
# succeed.
MIN_REMAINING_S = 0.02


class Attempts:
    """All attempts of one request.

    Parameters
    ----------
    node : DirectEntry
        The entry.
    request : DirectRequest
        The request.
    hold : ResponseHold
        Memory that the responses of endpoints take.

    Notes
    -----
    `tried` holds the ids of the endpoints selected so far, and `sent` counts those that
    the request was sent to. Endpoints in one of the fault domains `broken_domains` are
    not selected either, as long as the service has others. `has_run` is set once an
    attempt that may have run the request has failed. `last_event_id` and
    `last_event_at` (seconds; None before the first event) describe the last event sent
    to the caller of a stream, `first_event_at` is when the first one was sent, and
    `longest_gap_s` is the longest time between two events. `is_attempting` is set while
    an attempt is under way, or about to begin in another task.
    """

    __slots__ = (
        "_load",
        "_node",
        "_traits",
        "broken_domains",
        "first_event_at",
        "has_run",
        "hold",
        "is_attempting",
        "last_event_at",
        "last_event_id",
        "longest_gap_s",
        "request",
        "sent",
        "tried",
    )

    def __init__(self, *, node, request, hold):
        self._node = node
        self._load = None
        self._traits = None
        self.request = request
        self.hold = hold
        self.broken_domains = set()
        self.has_run = False
        self.is_attempting = False
        self.sent = 0
        self.tried = set()
        self.last_event_id = request.last_event_id
        self.first_event_at = None
        self.last_event_at = None
        self.longest_gap_s = 0.0

    @property
    def traits(self):
        """Traits of the request, computed at the first use."""
        if self._traits is None:
            self._traits = traits_of(self.request)
        return self._traits

    def record_events(self, events):
        """Record events that are about to be sent to the caller of a stream."""
        now = self._node.clock.monotonic()
        if self.last_event_at is None:
            self.first_event_at = now
        else:
            self.longest_gap_s = max(self.longest_gap_s, now - self.last_event_at)
        self.last_event_at = now
        for event in events:
            if event.id:
                self.last_event_id = event.id

    def remaining_s(self):
        """Return the seconds until the deadline of the request."""
        return self.request.ends_at - self._node.clock.monotonic()

    def may_retry(self):
        """Return whether the request may be sent again after an attempt has run it."""
        request = self.request
        return request.route.is_idempotent and self.sent < request.route.max_endpoints

    async def ensure_slot(self):
        """Acquire a slot at an endpoint, waiting for one, unless one is held already.

        Raises
        ------
        MagnoliagradeError
            `OVERLOADED` if no slot is expected in time, or `UPSTREAM_FAILED` if the
            request has run at an endpoint before.
        """
        if self._load is not None:
            return
        self._check_blocked()
        queue = self._node.wait_queue_of(self.request.service)
        try:
            self._load = await queue.acquire_slot(
                self.request,
                excluded=self._excluded(),
                slot_deadline=self._slot_deadline(),
                has_started=self.last_event_at is not None,
            )
        except MagnoliagradeError as exc:
            if not self.has_run:
                raise
            raise _upstream_failed(exc) from exc
        try:
            self._check_blocked()
            self._check_shutdown()
        except MagnoliagradeError:
            load, self._load = self._load, None
            queue.release(load)
            raise

    @contextlib.asynccontextmanager
    async def next_attempt(self):
        """Hold a slot for one attempt and record a failure of the attempt."""
        await self.ensure_slot()
        load, self._load = self._load, None
        attempt = Attempt(node=self._node, attempts=self, load=load)
        self.is_attempting = True
        try:
            yield attempt
        except AttemptFailed as exc:
            attempt.record_failure(exc)
            raise
        except asyncio.CancelledError:
            self.has_run = True
            raise
        finally:
            self.is_attempting = False
            attempt.close()

    def check_retry(self, failed):
        """Check that another attempt may follow a failed one.

        Parameters
        ----------
        failed : AttemptFailed
            Failure of the last attempt.

        Raises
        ------
        MagnoliagradeError
            If none may follow; the error is the response to the caller.
        """
        self.has_run = self.has_run or failed.has_run
        if failed.is_moved or self._may_retry_after(failed):
            return
        if failed.has_run:
            raise failed
        if self.has_run:
            raise _upstream_failed(failed)
        wait_s = self.remaining_s() if failed.is_group_broken else 0.0
        raise MagnoliagradeError(
            ErrorKind.NOT_RUN,
            failed.detail,
            retry_after=retry_after_s(wait_s, self.remaining_s(), rng=self._node.rng),
        )

    def shutdown_error(self):
        """Return the response to a request that ends with the entry's shutdown."""
        if not self.has_run and not self.is_attempting:
            return self._node.shutdown.error("the request has not been sent yet")
        return MagnoliagradeError(
            ErrorKind.OUTCOME_UNKNOWN,
            "the entry shut down before an endpoint had responded",
        )

    def _check_shutdown(self):
        """Raise an error if the entry shuts down before the request may have ended."""
        request = self.request
        try:
            self._node.shutdown.check(
                request.route.name,
                is_repeatable=request.route.is_idempotent,
                ends_at=request.ends_at,
            )
        except MagnoliagradeError as exc:
            if not self.has_run:
                raise
            raise _upstream_failed(exc) from exc

    def _check_blocked(self):
        """Raise `REQUEST_BLOCKED` if servers end under requests like this one."""
        guard = self._node.crash_guard
        blocked_for_s = guard.blocked_for_s(self.traits) if guard.has_blocks else 0.0
        if not blocked_for_s:
            return
        error = MagnoliagradeError(
            ErrorKind.REQUEST_BLOCKED,
            "servers ended under this request, or others with a part of its prompt: it "
            f"is rejected for {blocked_for_s:.0f} s",
            retry_after=blocked_for_s,
        )
        raise _upstream_failed(error) if self.has_run else error

    def _excluded(self):
        """Return the ids of the endpoints that must not be selected."""
        outages = self._node.endpoint_table.outages
        excluded = set(self.tried)
        for domain in self.broken_domains:
            if outages.has_others(domain):
                excluded.update(load.endpoint.id for load in outages.loads_in(domain))
        return excluded

    def _slot_deadline(self):
        return slot_deadline(self.request, last_event_at=self.last_event_at)

    def _may_retry_after(self, failed):
        node = self._node
        if failed.has_run and not self.request.route.is_idempotent:
            return False
        if self.sent >= self.request.route.max_endpoints:
            return False
        if failed.has_run and node.crash_guard.is_suspected(self.traits):
            return False
        if failed.is_group_broken and node.endpoint_table.outages.is_unavailable(
            self.request.service
        ):
            return False
        if len(self.tried) >= MAX_CONNECTIONS or self.remaining_s() < MIN_REMAINING_S:
            return False
        if not failed.was_sent:
            return True
        return node.retry_budget.acquire(
            self.request.service, now=node.clock.monotonic()
        )


def _upstream_failed(error):
    # A NOT_RUN error must hold for all attempts, and one of them has run.
    detail = f"the request ran and failed; the next attempt failed: {error.detail}"
    return MagnoliagradeError(ErrorKind.UPSTREAM_FAILED, detail)
