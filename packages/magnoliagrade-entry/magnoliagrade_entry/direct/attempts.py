"""The attempts of one request: places, limits, retries and what each brought."""

import contextlib
import logging

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.observability import log_event
from prometheus_client import Counter

from magnoliagrade_entry.direct.overload import leave_time, retry_after_s
from magnoliagrade_entry.direct.upstream import AttemptFailed, open_answer

__all__ = ["Attempt", "Attempts"]

# Connections that are tried for one request, sent or not.
MAX_CONNECTIONS = 4
# Less time than this is no use to another endpoint.
MIN_LEFT_S = 0.02
# A request whose own time ended sooner says nothing about its endpoint: several times
# the mean work of a plain call (site sheets: 45 ms).
SLOW_S = 0.3
# Streams leave a rank this much slower than usual: reading a prompt again takes some
# 15 ms, and the rank's own part of a pass is then longer than all of a usual pass.
MOVE_PACE = 3.0

ATTEMPTS = Counter(
    "magnoliagrade_direct_attempts_total", "Attempts at endpoints", ["result"]
)
_log = logging.getLogger(__name__)


class Attempts:
    """All attempts of one request.

    Parameters
    ----------
    node : DirectEntry
        The entry.
    request : DirectRequest
        The request.
    """

    __slots__ = (
        "_node",
        "_place",
        "has_run",
        "last_event_at",
        "last_event_id",
        "request",
        "sent",
        "tried",
    )

    def __init__(self, *, node, request):
        self._node = node
        self._place = None
        self.request = request
        self.has_run = False
        self.sent = 0
        self.tried = set()
        self.last_event_id = request.last_event_id
        self.last_event_at = None

    def left_s(self):
        """Return the seconds until the request has to be answered."""
        return self.request.ends_at - self._node.clock.monotonic()

    def may_repeat(self):
        """Return whether another attempt is allowed after this one has run."""
        request = self.request
        return request.route.is_idempotent and self.sent < request.route.max_endpoints

    async def find_place(self):
        """Wait for an endpoint with room, unless one is held already.

        Raises
        ------
        MagnoliagradeError
            `OVERLOADED` if none can be expected in time, or `UPSTREAM_FAILED` if the
            request has run at an endpoint before.
        """
        if self._place is not None:
            return
        room = self._node.room_of(self.request.service)
        try:
            self._place = await room.take_place(
                self.request,
                excluded=self.tried,
                leave_at=self._leave_at(),
                is_under_way=self.last_event_at is not None,
            )
        except MagnoliagradeError as exc:
            if not self.has_run:
                raise
            raise _after_run(exc) from exc

    @contextlib.asynccontextmanager
    async def next_attempt(self):
        """Hold a place for one attempt and note how it ended."""
        await self.find_place()
        place, self._place = self._place, None
        attempt = Attempt(node=self._node, attempts=self, place=place)
        try:
            yield attempt
        except AttemptFailed as exc:
            attempt.note_failure(exc)
            raise
        finally:
            attempt.close()

    def check_next(self, failed):
        """Return if another attempt may follow a failed one.

        Parameters
        ----------
        failed : AttemptFailed
            How the last attempt ended.

        Raises
        ------
        MagnoliagradeError
            What the caller is told otherwise.
        """
        self.has_run = self.has_run or failed.has_run
        if failed.is_moved or self._may_follow(failed):
            return
        if failed.has_run:
            raise failed
        if self.has_run:
            raise _after_run(failed)
        wait_s = self.left_s() if failed.is_group_broken else 0.0
        raise MagnoliagradeError(
            ErrorKind.NOT_RUN,
            failed.detail,
            retry_after=retry_after_s(wait_s, self.left_s(), rng=self._node.rng),
        )

    def _leave_at(self):
        return leave_time(self.request, last_event_at=self.last_event_at)

    def _may_follow(self, failed):
        node = self._node
        if failed.has_run and not self.request.route.is_idempotent:
            return False
        if self.sent >= self.request.route.max_endpoints:
            return False
        if failed.is_group_broken and node.places.is_known_out(self.request.service):
            return False
        if len(self.tried) >= MAX_CONNECTIONS or self.left_s() < MIN_LEFT_S:
            return False
        if not failed.was_sent:
            return True
        return node.retry_budget.take(self.request.service, now=node.clock.monotonic())


def _after_run(error):
    # What says "not run" must be true of all attempts.
    detail = f"it ran and failed, and then: {error.detail}"
    return MagnoliagradeError(ErrorKind.UPSTREAM_FAILED, detail)


class Attempt:
    """One attempt at one endpoint."""

    __slots__ = (
        "_answer",
        "_attempts",
        "_began_at",
        "_is_whole",
        "_node",
        "_place",
        "endpoint",
    )

    def __init__(self, *, node, attempts, place):
        self._node = node
        self._attempts = attempts
        self._place = place
        self._answer = None
        self._is_whole = False
        self._began_at = node.clock.monotonic()
        self.endpoint = place.endpoint
        attempts.tried.add(place.endpoint.id)
        node.on_load_changed(place.endpoint.id)

    async def open(self):
        """Send the request and return the answer once its headers are there."""
        attempts = self._attempts
        attempts.sent += 1
        try:
            self._answer = await open_answer(
                self._node.upstream_session,
                self.endpoint,
                attempts.request,
                now=self._began_at,
                last_event_id=attempts.last_event_id,
            )
        except AttemptFailed as exc:
            # The endpoint that it was meant for is gone and never got it.
            attempts.sent -= not exc.was_sent or exc.is_replaced
            raise
        return self._answer

    def take_move(self):
        """Return whether the stream is to go on at a faster endpoint now.

        Notes
        -----
        Load pattern: one rank turns several times slower, and its streams make every
        pass of the group as long, so that no other endpoint gets room either. Those
        that leave go before others who wait; once they have left, places come free
        several times faster. A move takes from the retry budget.
        """
        node, attempts = self._node, self._attempts
        now = node.clock.monotonic()
        if self._place.pace_at(now) < MOVE_PACE or not attempts.may_repeat():
            return False
        service = attempts.request.service
        if node.places.is_known_out(service):
            return False
        has_faster = any(
            place.pace_at(now) < MOVE_PACE and place.endpoint.id not in attempts.tried
            for place in node.places.places_of(service)
        )
        return has_faster and node.retry_budget.take(service, now=now)

    def note_answer(self):
        """Note that the service serves requests."""
        service = self._attempts.request.service
        if self._node.places.note_answer(service):
            self._node.on_outage(service, is_out=False)

    def note_success(self):
        """Note that the endpoint answered as it should."""
        self._is_whole = True
        self._node.places.note_success(self._place)
        self.note_answer()
        ATTEMPTS.labels("whole").inc()
        self._log("whole", status=self._answer.status)

    def note_failure(self, failed):
        """Note how the attempt failed, and leave the endpoint out if need be."""
        now = self._node.clock.monotonic()
        is_out = False
        if failed.is_moved:
            pass
        elif failed.is_group_broken:
            if self._node.places.note_broken_group(self._place, now=now):
                self._node.on_outage(self._attempts.request.service, is_out=True)
        elif failed.is_replaced:
            self._node.places.note_replaced(self._place, now=now)
            is_out = True
        elif failed.is_full:
            self._node.places.note_full(self._place, now=now)
        elif self._is_endpoints_fault(failed, now):
            is_plain = not self._attempts.request.route.is_stream
            is_out = self._node.places.note_failure(
                self._place,
                now=now,
                is_timeout=is_plain and failed.kind is ErrorKind.DEADLINE,
            )
        result = "moved" if failed.is_moved else failed.kind.value.lower()
        ATTEMPTS.labels(result).inc()
        self._log(
            failed.kind.value,
            detail=failed.detail,
            has_run=failed.has_run,
            is_left_out=is_out,
        )

    def close(self):
        """Close the connection and give the place back."""
        if self._answer is not None:
            self._answer.close()
        took_s = self._node.clock.monotonic() - self._began_at
        room = self._node.room_of(self._attempts.request.service)
        room.release(self._place, work_s=took_s if self._is_whole else None)
        self._node.on_load_changed(self.endpoint.id)

    def _is_endpoints_fault(self, failed, now):
        is_timeout = failed.kind is ErrorKind.DEADLINE
        return not is_timeout or now - self._began_at >= SLOW_S

    def _log(self, result, **fields):
        request = self._attempts.request
        log_event(
            _log,
            "request.attempt",
            request_id=request.id,
            endpoint=self.endpoint.id,
            service=request.service,
            result=result,
            attempt=self._attempts.sent,
            load=self._place.load,
            version=self._node.knowledge.version,
            age_s=round(self._node.knowledge.age_s(), 2),
            waited_s=round(self._began_at - request.arrived_at, 3),
            took_s=round(self._node.clock.monotonic() - self._began_at, 3),
            **fields,
        )
