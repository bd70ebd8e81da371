"""Serving a request: attempts until one gives a whole answer."""

import logging

from magnoliagrade.errors import ErrorKind, MagnoliagradeError, Ran, response_of
from magnoliagrade.http import RecordedResponse
from magnoliagrade.observability.logs import log_event
from magnoliagrade.world import Pool, Work
from prometheus_client import Counter

from magnoliagrade_entry.requests.attempt import AttemptFailed, run_attempt
from magnoliagrade_entry.requests.hedging import Race, hedge_policies
from magnoliagrade_entry.requests.retries import backoff_s, retry_policies

__all__ = ["Dispatcher"]

RETRY_AFTER_S = 1.0
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
    """Runs the attempts of requests.

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
        """Serve a request, writing its answer to a sink.

        Parameters
        ----------
        request : Request
            The request.
        sink : ResponseSink
            Where the answer goes.

        Raises
        ------
        MagnoliagradeError
            If no attempt gave a whole answer; raised as soon as that is known.
        """
        pool = self._node.configuration.in_force.pool_of(request.labels)
        retries = self._retries_of(pool)
        retries.note_request()
        tried = set()
        failure = None
        while True:
            placement = await self._place(request, tried, failure)
            try:
                await self._try(request, pool, placement, sink, tried)
                return
            except AttemptFailed as exc:
                newest = exc
            # Once an attempt may have run, the request may have run.
            if failure is None or failure.ran is Ran.NO:
                failure = newest
            tried.add(placement.name)
            if not _may_repeat(request, newest, sink):
                raise _final(failure)
            allowed = retries.take(request.attempt_count)
            RETRIES.labels(newest.kind.value, str(allowed).lower()).inc()
            if not allowed:
                raise _final(failure)
            await self._pause(request, failure)

    async def _place(self, request, tried, failure):
        try:
            return await self._node.router.place(request, excluded=tried)
        except MagnoliagradeError as exc:
            log_event(
                _log,
                "attempt.unplaced",
                request_id=request.id,
                attempts=request.attempt_count,
                code=exc.kind.value,
                detail=exc.detail,
            )
            raise _final(failure or exc) from exc

    async def _try(self, request, pool, placement, sink, tried):
        delay_s = self._hedge_delay_s(request, pool)
        started = self._node.clock.monotonic()
        if delay_s is None or request.attempt_count:
            await self._attempt(request, placement, sink)
        else:
            await self._race(request, pool, placement, sink, tried, delay_s)
        if _is_lookup(request):
            taken = self._node.clock.monotonic() - started
            self._hedging_of(pool).note(taken)

    async def _race(self, request, pool, placement, sink, tried, delay_s):
        async def first(lane):
            await self._attempt(request, placement, lane)

        async def second(lane):
            other = await self._place_hedge(request, pool, {*tried, placement.name})
            tried.add(other.name)
            await self._attempt(request, other, lane)

        await Race(sink=sink).run(first, second, delay_s)

    async def _place_hedge(self, request, pool, tried):
        allowed = self._retries_of(pool).take(request.attempt_count)
        RETRIES.labels("hedge", str(allowed).lower()).inc()
        if not allowed:
            detail = "the retry budget is used up"
            raise AttemptFailed(ErrorKind.NOT_RUN, detail, ran=Ran.NO)
        try:
            return await self._node.router.place(request, excluded=tried)
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
            await self._run(request, placement, attempt, sink)
            result = "whole"
        except MagnoliagradeError as exc:
            result = exc.kind.value
            ran = getattr(exc, "ran", Ran.UNKNOWN)
            raise
        finally:
            if placement.endpoint:
                placement.endpoint.end(request, result)
            self._node.forwarded.end(request, is_not_run=ran is Ran.NO)
            self._note(request, placement, attempt, result)

    async def _run(self, request, placement, attempt, sink):
        """Run an attempt; a lost order is withdrawn, or its answer asked for again."""
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
                self._node.revocations.withdraw(placement, attempt)
                raise
            answer = await self._node.revocations.settle(
                placement, attempt, deadline=request.deadline
            )
            if answer.status:
                await _recorded(answer).write_to(sink)
                return
            if not answer.never_started:
                raise
            detail = f"{exc.detail}; withdrawn before it started"
            raise AttemptFailed(ErrorKind.NOT_RUN, detail, ran=Ran.NO) from exc

    def _note(self, request, placement, attempt, result):
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

    async def _pause(self, request, failure):
        pause = backoff_s(request.attempt_count, self._node.rng)
        if self._node.clock.monotonic() + pause >= request.deadline:
            raise _final(failure)
        await self._node.clock.sleep(pause)

    def _retries_of(self, pool):
        pool = pool or Pool(name="", endpoint_selector="")
        policy = _policy_of(pool, "option.retry.policy", retry_policies, "budget")
        key = (pool.name, policy, pool.retry_budget)
        if key not in self._retries_by_pool:
            make = retry_policies.get(policy)
            self._retries_by_pool[key] = make(
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


def _recorded(answer):
    return RecordedResponse(
        status=answer.status, content_type=answer.content_type, body=answer.body
    )


def _is_lookup(request):
    return request.repeatable and request.method in LOOKUP_METHODS


def _may_repeat(request, failure, sink):
    if failure.kind is ErrorKind.DEADLINE:
        return False
    if sink.has_started and not (sink.is_event_stream and request.repeatable):
        return False
    return failure.ran is Ran.NO or request.repeatable


def _final(failure):
    """Return the error that a caller gets, with the time to come back."""
    if response_of(failure.kind).retryable and failure.retry_after is None:
        failure.retry_after = RETRY_AFTER_S
    return failure
