"""One attempt of a request at one endpoint, and what is learned from its result."""

import logging

from magnoliagrade.errors import ErrorKind
from magnoliagrade.observability import log_event
from prometheus_client import Counter

from magnoliagrade_entry.direct.placement.endpoint_table import EJECT_MAX_S
from magnoliagrade_entry.direct.serving.server_crashes import withdraw_blocks
from magnoliagrade_entry.direct.serving.upstream import (
    AttemptFailed,
    ConnectionState,
    open_response,
)

__all__ = ["Attempt"]

# A time-out counts as a failure of the endpoint only if the attempt lasted this long:
# several times the mean duration of a plain call (45 ms).
MIN_TIMEOUT_FAILURE_S = 0.3
# Streams move away from a rank at this multiple of the normal time per pass. At this
# pace the rank's share of a pass is longer than an entire normal pass, while a move
# costs only reading the prompt again, about 15 ms.
MOVE_PACE = 3.0

ATTEMPTS = Counter(
    "magnoliagrade_direct_attempts_total", "Attempts at endpoints", ["result"]
)
LIMITED_ATTEMPTS = Counter(
    "magnoliagrade_direct_limited_attempts_total",
    "Attempts at endpoints that name a limit on requests",
)
COLD_ATTEMPTS = Counter(
    "magnoliagrade_direct_cold_attempts_total", "Attempts at cold endpoints"
)
_log = logging.getLogger(__name__)


class Attempt:
    """One attempt at one endpoint, which holds one of its slots."""

    __slots__ = (
        "_attempts",
        "_connection",
        "_is_cold",
        "_is_complete",
        "_limit_per_s",
        "_load",
        "_node",
        "_response",
        "_started_at",
        "endpoint",
    )

    def __init__(self, *, node, attempts, load):
        self._node = node
        self._attempts = attempts
        self._load = load
        self._connection = ConnectionState()
        self._response = None
        self._is_complete = False
        self._started_at = node.clock.monotonic()
        self.endpoint = load.endpoint
        self._is_cold = self._started_at < load.cold_until
        limits = node.limit_exchange.limits
        self._limit_per_s = limits.limit_by_id.get(load.endpoint.id)
        attempts.tried.add(load.endpoint.id)
        node.on_load_changed(load.endpoint.id)

    async def open(self):
        """Send the request and return the response once its headers have arrived."""
        attempts = self._attempts
        attempts.sent += 1
        if self._is_cold:
            COLD_ATTEMPTS.inc()
        if self._limit_per_s is not None:
            LIMITED_ATTEMPTS.inc()
        try:
            self._response = await open_response(
                self._node.upstream_session,
                self.endpoint,
                attempts.request,
                now=self._started_at,
                connection=self._connection,
                last_event_id=attempts.last_event_id,
                urgency_level=self._urgency_level(),
            )
        except AttemptFailed as exc:
            # A replaced endpoint is gone and never received the request.
            attempts.sent -= not exc.was_sent or exc.is_replaced
            self._record_notice(exc.notice)
            raise
        self._record_notice(self._response.notice)
        return self._response

    def try_move(self):
        """Return whether the stream should move to a faster endpoint now.

        Notes
        -----
        Load pattern: one rank turns several times slower, and its streams make every
        pass of the group as long, so that no other endpoint frees slots either. Moved
        streams are served before other waiting requests; once they have moved, slots
        become free several times faster. A move is counted in the retry budget.
        """
        node, attempts = self._node, self._attempts
        now = node.clock.monotonic()
        if self._load.pace_at(now) < MOVE_PACE or not attempts.may_retry():
            return False
        service = attempts.request.service
        outages = node.endpoint_table.outages
        if outages.is_domain_unavailable(self._load.fault_domain):
            return False
        loads = node.endpoint_table.loads_of(service)
        has_faster = any(
            load.pace_at(now) < MOVE_PACE and load.endpoint.id not in attempts.tried
            for load in outages.without_unavailable(service, loads)
        )
        return has_faster and node.retry_budget.acquire(service, now=now)

    def record_response(self):
        """Record that the endpoint responds, which ends an outage of its group."""
        domain = self._load.fault_domain
        if self._node.endpoint_table.outages.end(domain):
            self._node.on_outage(domain, is_unavailable=False)

    def record_success(self):
        """Record that the endpoint sent a complete and valid response."""
        self._is_complete = True
        self._node.endpoint_table.record_success(self._load)
        self.record_response()
        if self._attempts.request.prompt_parts:
            parts = self._attempts.request.prompt_parts
            self._node.crash_guard.record_response(parts)
        self._clear_suspicion()
        ATTEMPTS.labels("whole").inc()
        self._log("whole", status=self._response.status)

    def _record_notice(self, notice):
        if notice is None:
            return
        self._node.crash_watch.record_response(self._load.fault_domain)
        if notice.is_leaving:
            self._node.record_leaving(self.endpoint)
        self._node.limit_exchange.record_response(
            self.endpoint.id, notice.limit_per_s, sent_at=self._started_at
        )

    def _clear_suspicion(self):
        node = self._node
        if node.crash_guard.is_idle:
            return
        traits = self._attempts.traits
        if node.crash_guard.record_served(traits):
            node.peers.announce_served(traits)
        published = node.site_state.blocked_requests.intersection(traits.groups())
        if published:
            node.tasks.start(withdraw_blocks(node, published), name="sound requests")

    def _watch_for_crash(self, failed):
        """Find out whether the endpoint crashed while it ran the request."""
        if not failed.has_run or not self._connection.is_established:
            return
        self._node.crash_watch.begin(
            self._load,
            self._attempts.request,
            self._attempts.traits,
            kind=failed.kind,
            began_at=self._started_at,
        )

    def record_failure(self, failed):
        """Record how the attempt failed, and eject the endpoint if needed."""
        now = self._node.clock.monotonic()
        self._watch_for_crash(failed)
        self._load.paused_until = max(self._load.paused_until, now + failed.pause_s)
        is_ejected = False
        if failed.is_moved:
            pass
        elif failed.is_group_broken:
            self._attempts.broken_domains.add(self._load.fault_domain)
            if self._node.endpoint_table.outages.record_broken_group(
                self._load, now=now
            ):
                self._node.on_outage(self._load.fault_domain, is_unavailable=True)
        elif failed.is_replaced:
            self._node.endpoint_table.eject_replaced(self._load, now=now)
            is_ejected = True
        elif failed.is_full:
            self._node.endpoint_table.eject_full(self._load, now=now)
        elif self._counts_as_failure(failed, now):
            if not failed.was_sent:
                registry = self._node.site_state.registry
                registry.record_unreachable(self.endpoint.id, for_s=EJECT_MAX_S)
                self._load.cold_until = registry.cold_until(self.endpoint.id)
            is_plain = not self._attempts.request.route.is_stream
            is_ejected = self._node.endpoint_table.record_failure(
                self._load,
                now=now,
                is_timeout=is_plain and failed.kind is ErrorKind.DEADLINE,
            )
        result = "moved" if failed.is_moved else failed.kind.value.lower()
        ATTEMPTS.labels(result).inc()
        self._log(
            failed.kind.value,
            detail=failed.detail,
            has_run=failed.has_run,
            has_begun=self._response is not None,
            has_events=self._attempts.last_event_at is not None,
            request_digest=self._attempts.traits.request,
            caller_digest=self._attempts.traits.caller,
            prompt_parts=self._attempts.request.prompt_parts,
            is_left_out=is_ejected,
        )

    def close(self):
        """Close the connection and release the slot."""
        if self._response is not None:
            self._response.close()
        took_s = self._node.clock.monotonic() - self._started_at
        queue = self._node.wait_queue_of(self._attempts.request.service)
        queue.release(self._load, work_s=took_s if self._is_complete else None)
        self._node.on_load_changed(self.endpoint.id)

    def _counts_as_failure(self, failed, now):
        is_timeout = failed.kind is ErrorKind.DEADLINE
        return not is_timeout or now - self._started_at >= MIN_TIMEOUT_FAILURE_S

    def _log(self, result, **fields):
        request = self._attempts.request
        log_event(
            _log,
            "request.attempt",
            request_id=request.id,
            endpoint=self.endpoint.id,
            service=request.service,
            route=request.route.name,
            priority=request.priority,
            result=result,
            attempt=self._attempts.sent,
            load=self._load.in_flight,
            is_cold=self._is_cold,
            limit_per_s=self._limit_per_s,
            version=self._node.site_state.version,
            age_s=round(self._node.site_state.age_s(), 2),
            waited_s=round(self._started_at - request.arrived_at, 3),
            took_s=round(self._node.clock.monotonic() - self._started_at, 3),
            **self._stream_times(),
            **fields,
        )

    def _urgency_level(self):
        """Return the level of the request among those of its service, or None."""
        request = self._attempts.request
        levels = self._node.site_state.urgency_levels.get(request.service, {})
        return levels.get(request.urgency)

    def _stream_times(self):
        """Return when a stream's caller got the first event, and the longest gap."""
        attempts = self._attempts
        if attempts.first_event_at is None:
            return {}
        return {
            "first_event_s": round(
                attempts.first_event_at - attempts.request.arrived_at, 3
            ),
            "longest_gap_s": round(attempts.longest_gap_s, 3),
        }
