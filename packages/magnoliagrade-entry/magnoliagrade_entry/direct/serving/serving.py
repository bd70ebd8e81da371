"""Serving of validated requests: attempts at endpoints and the caller's response.

A plain request is one whose response is not a stream.
"""

import asyncio

from aiohttp import web
from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.platform import response_headers

from magnoliagrade_entry.direct.serving.request_attempts import Attempts
from magnoliagrade_entry.direct.serving.streams import relay_stream
from magnoliagrade_entry.direct.serving.upstream import AttemptFailed

__all__ = ["serve_request"]

# An idempotent request without a response for this fraction of its remaining time is
# retried at another endpoint.
IDEMPOTENT_ATTEMPT_FRACTION = 0.45


async def serve_request(node, request, http_request, *, hold):
    """Serve a request; return the response, sent already if it is a stream.

    Parameters
    ----------
    node : DirectEntry
        The entry.
    request : DirectRequest
        Validated request.
    http_request : aiohttp.web.BaseRequest
        The caller's request, which the response belongs to.
    hold : ResponseHold
        Memory that the responses of endpoints take until the caller has the response.

    Raises
    ------
    MagnoliagradeError
        If no endpoint responded and nothing has been sent to the caller yet.
    """
    node.retry_budget.record_request(request.service, now=node.clock.monotonic())
    if request.prompt_parts:
        node.crash_guard.record_arrival(request.prompt_parts)
    attempts = Attempts(node=node, request=request, hold=hold)
    if request.route.is_stream:
        response = await relay_stream(node, attempts, http_request)
    else:
        response = await _serve_plain(node, attempts)
    if response.status < 400:
        took_s = node.clock.monotonic() - request.arrived_at
        node.shutdown.durations.record(request.route.name, took_s)
    return response


async def _serve_plain(node, attempts):
    try:
        async with node.shutdown.time_limit() as shutdown_limit:
            if attempts.request.route.is_idempotent:
                return await _serve_idempotent(attempts)
            return await _serve_once(node, attempts)
    except TimeoutError:
        if not shutdown_limit.expired():
            raise
        raise attempts.shutdown_error() from None


async def _serve_idempotent(attempts):
    """Serve a request that may be run several times.

    An endpoint's error response is returned if the request cannot be retried.
    """
    failure = None
    while True:
        try:
            return await _attempt_plain(attempts)
        except AttemptFailed as exc:
            exc.forget_frames()
            failure = exc.response or failure
            error = exc
        except MagnoliagradeError:
            if failure is None:
                raise
            return failure
        try:
            attempts.check_retry(error)
        except MagnoliagradeError:
            if failure is None:
                raise
            return failure


async def _serve_once(node, attempts):
    """Serve a request that may run only once; it continues if its caller leaves."""
    while True:
        await attempts.ensure_slot()
        attempts.is_attempting = True
        work = _attempt_plain_outcome(attempts)
        task = node.tasks.start(work, name=f"order {attempts.request.id}")
        outcome = await asyncio.shield(task)
        if isinstance(outcome, web.Response):
            return outcome
        attempts.check_retry(outcome)


async def _attempt_plain_outcome(attempts):
    """Make one attempt; return its response or its error.

    The response is counted until then, even if its caller leaves.
    """
    with attempts.hold:
        try:
            return await _attempt_plain(attempts)
        except AttemptFailed as exc:
            exc.forget_frames()
            return exc
        except MagnoliagradeError as exc:
            return exc


async def _attempt_plain(attempts):
    """Make one attempt and return the complete response."""
    async with attempts.next_attempt() as attempt:
        limit_s = _attempt_timeout_s(attempts)
        try:
            async with asyncio.timeout(limit_s):
                upstream = await attempt.open()
                body = await upstream.read(attempts.hold)
        except TimeoutError:
            raise AttemptFailed(
                ErrorKind.DEADLINE,
                f"{attempt.endpoint.id} did not respond within {limit_s:.2f} s",
                has_run=True,
            ) from None
        response = web.Response(
            status=upstream.status,
            headers=response_headers(upstream.headers),
            body=body,
        )
        if upstream.status >= 500 and attempts.may_retry():
            raise AttemptFailed(
                ErrorKind.UPSTREAM_FAILED,
                f"{attempt.endpoint.id} responded with status {upstream.status}",
                has_run=True,
                response=response,
            )
        attempt.record_success()
        return response


def _attempt_timeout_s(attempts):
    remaining_s = attempts.remaining_s()
    if attempts.may_retry():
        return remaining_s * IDEMPOTENT_ATTEMPT_FRACTION
    return remaining_s
