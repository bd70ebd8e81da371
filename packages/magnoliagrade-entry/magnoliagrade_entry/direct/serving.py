"""Serving a checked request: attempts at endpoints and the answer to the caller."""

import asyncio

from aiohttp import web
from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.platform import answer_headers

from magnoliagrade_entry.direct.attempts import Attempts
from magnoliagrade_entry.direct.streams import relay_stream
from magnoliagrade_entry.direct.upstream import AttemptFailed

__all__ = ["serve_request"]

# A lookup that has had no answer for this part of its time is tried elsewhere.
IDEMPOTENT_ATTEMPT_FRACTION = 0.45


async def serve_request(node, request, http_request):
    """Serve a request and return the response that was or is to be sent.

    Parameters
    ----------
    node : DirectEntry
        The entry.
    request : DirectRequest
        Checked request.
    http_request : aiohttp.web.BaseRequest
        Where the answer goes.

    Raises
    ------
    MagnoliagradeError
        If there is no answer of an endpoint and nothing has been sent yet.
    """
    node.retry_budget.record_request(request.service, now=node.clock.monotonic())
    attempts = Attempts(node=node, request=request)
    if request.route.is_stream:
        return await relay_stream(node, attempts, http_request)
    if request.route.is_idempotent:
        return await _serve_idempotent(attempts)
    return await _serve_once(node, attempts)


async def _serve_idempotent(attempts):
    """Serve a request that may be repeated.

    An endpoint's own failure is passed on if no other endpoint can be asked.
    """
    failure = None
    while True:
        try:
            return await _attempt_plain(attempts)
        except AttemptFailed as exc:
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
    """Serve a request that may run once; it goes on when its caller has left."""
    while True:
        await attempts.ensure_slot()
        work = _attempt_plain_shielded(attempts)
        task = node.tasks.start(work, name=f"order {attempts.request.id}")
        outcome = await asyncio.shield(task)
        if isinstance(outcome, web.Response):
            return outcome
        attempts.check_retry(outcome)


async def _attempt_plain_shielded(attempts):
    try:
        return await _attempt_plain(attempts)
    except MagnoliagradeError as exc:
        return exc


async def _attempt_plain(attempts):
    """Make one attempt and return the whole answer as a response."""
    async with attempts.next_attempt() as attempt:
        limit_s = _attempt_timeout_s(attempts)
        try:
            async with asyncio.timeout(limit_s):
                upstream = await attempt.open()
                body = await upstream.read()
        except TimeoutError:
            raise AttemptFailed(
                ErrorKind.DEADLINE,
                f"{attempt.endpoint.id} did not answer in {limit_s:.2f} s",
                has_run=True,
            ) from None
        response = web.Response(
            status=upstream.status, headers=answer_headers(upstream.headers), body=body
        )
        if upstream.status >= 500 and attempts.may_retry():
            raise AttemptFailed(
                ErrorKind.UPSTREAM_FAILED,
                f"{attempt.endpoint.id} answered {upstream.status}",
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
