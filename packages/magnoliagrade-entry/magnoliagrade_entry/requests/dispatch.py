"""Dispatch of a request: attempts until one gives a complete response."""

import logging

from magnoliagrade.errors import ErrorKind, MagnoliagradeError, Ran, response_of
from magnoliagrade.http import RecordedResponse
from magnoliagrade.observability.logs import log_event
from magnoliagrade.world import Pool, Work
from prometheus_client import Counter

from magnoliagrade_entry.requests.attempt import AttemptFailed, run_attempt
from magnoliagrade_entry.requests.hedging import HedgedAttempts, hedge_policies
from magnoliagrade_entry.requests.retries import backoff_s, retry_policies

__all__ = ["Dispatcher"]

DEFAULT_RETRY_AFTER_S = 1.0
# Repeatable requests with these methods are lookups, which may be hedged.
LOOKUP_METHODS = ("GET", "HEAD")

ATTEMPTS = Counter(
    "magnoliagrade_attempts_total", "Attempts by result", ["application", "result"]
)
RETRIES = Counter(
    "magnoliagrade_retries_total",
    "Further attempts by reason and whether the budget allowed them",
    ["reason", "allowed"],
)
_log = logging.getLogger(__name__)


class Dispatcher:
    """Sends requests to endpoints, with retries, hedging and revocation.

    Parameters
    ----------
    node : EntryInstance
        The entry.
    """

    __slots__ = ("_hedging_by_pool", "_node", "_retries_by_pool")

    def __init__(self, *, node):
        self._node = node
        self._retries_by_pool = {}
        self._hedging_by_pool = {}

    async def serve(self, request, sink):
        """Run attempts at a request until one has written its response to the sink.

        Parameters
        ----------
        request : Request
            The request.
        sink : ResponseSink
            Destination of the response.

        Raises
        ------
        MagnoliagradeError
            If no attempt gave a complete response; raised as soon as no further attempt
            is allowed.
        """
        pool = self._node.configuration.in_force.pool_of(request.labels)
        retries = self._retries_of(pool)
        retries.record_request()
        tried_names = set()
        failure = None
        while True:
            placement = await self._place(request, tried_names, failure)
            try:
                await self._attempt_with_hedging(
                    request, pool, placement, sink, tried_names
                )
                return
            except AttemptFailed as exc:
                latest = exc
            # The first failure of an attempt that may have run is kept: the request may
            # have run from then on, whatever later attempts report.
            if failure is None or failure.ran is Ran.NO:
                failure = latest
            tried_names.add(placement.name)
            if not _may_retry(request, latest, sink):
                raise _with_retry_after(failure)
            allowed = retries.take(request.attempt_count)
            RETRIES.labels(latest.kind.value, str(allowed).lower()).inc()
            if not allowed:
                raise _with_retry_after(failure)
            await self._back_off(request, failure)

    async def _place(self, request, tried_names, failure):
        try:
            return await self._node.router.place(request, excluded=tried_names)
        except MagnoliagradeError as exc:
            log_event(
                _log,
                "attempt.unplaced",
                request_id=request.id,
                attempts=request.attempt_count,
                code=exc.kind.value,
                detail=exc.detail,
            )
            raise _with_retry_after(failure or exc) from exc

    async def _attempt_with_hedging(self, request, pool, placement, sink, tried_names):
        delay_s = self._hedge_delay_s(request, pool)
        started = self._node.clock.monotonic()
        if delay_s is None or request.attempt_count:
            await self._attempt(request, placement, sink)
        else:
            await self._attempt_hedged(
                request, pool, placement, sink, tried_names, delay_s
            )
        if _is_lookup(request):
            elapsed_s = self._node.clock.monotonic() - started
            self._hedging_of(pool).record(elapsed_s)

    async def _attempt_hedged(
        self, request, pool, placement, sink, tried_names, delay_s
    ):
        async def first(attempt_sink):
            await self._attempt(request, placement, attempt_sink)

        async def second(attempt_sink):
            other = await self._place_hedge(
                request, pool, {*tried_names, placement.name}
            )
            tried_names.add(other.name)
            await self._attempt(request, other, attempt_sink)

        await HedgedAttempts(sink=sink).run(first, second, delay_s)

    async def _place_hedge(self, request, pool, tried_names):
        allowed = self._retries_of(pool).take(request.attempt_count)
        RETRIES.labels("hedge", str(allowed).lower()).inc()
        if not allowed:
            detail = f"the retries of pool {pool.name!r} allow no second attempt"
            raise AttemptFailed(ErrorKind.NOT_RUN, detail, ran=Ran.NO)
        try:
            return await self._node.router.place(request, excluded=tried_names)
        except MagnoliagradeError as exc:
            raise AttemptFailed(exc.kind, exc.detail, ran=Ran.NO) from exc

    async def _attempt(self, request, placement, sink):
        attempt = self._node.identity.new_attempt_id()
        request.attempt_count += 1
        if placement.endpoint:
            placement.endpoint.begin(request)
        result = "cancelled"
        ran = Ran.UNKNOWN
        try:
            self._node.forwarded.begin(request, placement, attempt)
            await self._run_or_revoke(request, placement, attempt, sink)
            result = "whole"
        except MagnoliagradeError as exc:
            result = exc.kind.value
            ran = getattr(exc, "ran", Ran.UNKNOWN)
            raise
        finally:
            if placement.endpoint:
                placement.endpoint.end(request, result)
            self._node.forwarded.end(request, is_not_run=ran is Ran.NO)
            self._record_attempt(request, placement, attempt, result)

    async def _run_or_revoke(self, request, placement, attempt, sink):
        """Run an attempt; if it fails, is non-repeatable and may have run, revoke it.

        If it has run, its recorded response is written to the sink instead.
        """
        try:
            await run_attempt(
                node=self._node,
                request=request,
                placement=placement,
                attempt=attempt,
                sink=sink,
            )
        except AttemptFailed as exc:
            if request.repeatable or exc.ran is Ran.NO or sink.has_started:
                raise
            if exc.kind is ErrorKind.DEADLINE:
                self._node.revocations.send_revoke(placement, attempt)
                raise
            reply = await self._node.revocations.revoke(
                placement, attempt, deadline=request.deadline
            )
            if reply.status:
                await _recorded_response(reply).write_to(sink)
                return
            if not reply.never_started:
                raise
            detail = f"{exc.detail}; revoked before it started"
            raise AttemptFailed(ErrorKind.NOT_RUN, detail, ran=Ran.NO) from exc

    def _record_attempt(self, request, placement, attempt, result):
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

    async def _back_off(self, request, failure):
        delay_s = backoff_s(request.attempt_count, self._node.rng)
        if self._node.clock.monotonic() + delay_s >= request.deadline:
            raise _with_retry_after(failure)
        await self._node.clock.sleep(delay_s)

    def _retries_of(self, pool):
        pool = pool or Pool(name="", endpoint_selector="")
        policy = _policy_of(pool, "option.retry.policy", retry_policies, "budget")
        key = (pool.name, policy, pool.retry_budget)
        if key not in self._retries_by_pool:
            policy_class = retry_policies.get(policy)
            self._retries_by_pool[key] = policy_class(
                clock=self._node.clock, fraction=pool.retry_budget
            )
        return self._retries_by_pool[key]

    def _hedging_of(self, pool):
        policy = _policy_of(pool, "option.hedge.policy", hedge_policies, "p95")
        key = (pool.name, policy)
        if key not in self._hedging_by_pool:
            self._hedging_by_pool[key] = hedge_policies.get(policy)()
        return self._hedging_by_pool[key]

    def _hedge_delay_s(self, request, pool):
        if pool is None or not _is_lookup(request) or request.forwarded_from:
            return None
        application = self._node.configuration.in_force.application_by_name.get(
            request.application
        )
        if application is None or application.work is not Work.SERVICE:
            return None
        return self._hedging_of(pool).delay_s()


def _policy_of(pool, option, registry, default):
    name = pool.options.get(option, default)
    if name in registry.by_name:
        return name
    log_event(_log, "policy.unknown", pool=pool.name, option=option, name_given=name)
    return default


def _recorded_response(reply):
    return RecordedResponse(
        status=reply.status, content_type=reply.content_type, body=reply.body
    )


def _is_lookup(request):
    return request.repeatable and request.method in LOOKUP_METHODS


def _may_retry(request, failure, sink):
    if failure.kind is ErrorKind.DEADLINE:
        return False
    if sink.has_started and not (sink.is_event_stream and request.repeatable):
        return False
    return failure.ran is Ran.NO or request.repeatable


def _with_retry_after(failure):
    """Return a failure, with a default `retry_after` if it is retryable."""
    if response_of(failure.kind).retryable and failure.retry_after is None:
        failure.retry_after = DEFAULT_RETRY_AFTER_S
    return failure
