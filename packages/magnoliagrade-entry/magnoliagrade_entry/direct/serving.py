"""Serving a checked request: attempts at endpoints and the answer to the caller."""

import asyncio

from aiohttp import web
from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.platform import response_headers

from magnoliagrade_entry.direct.attempts import Attempts
from magnoliagrade_entry.direct.streams import relay_stream
from magnoliagrade_entry.direct.upstream import AttemptFailed

__all__ = ["serve_request"]

# A lookup that has had no answer for this part of its time is tried elsewhere.
SAFE_FIRST_PART = 0.45


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
    node.retry_budget.note_request(request.service, now=node.clock.monotonic())
    attempts = Attempts(node=node, request=request)
    if request.route.is_stream:
        return await relay_stream(node, attempts, http_request)
    if request.route.is_idempotent:
        return await _serve_plain(attempts)
    return await _serve_once(node, attempts)


async def _serve_plain(attempts):
    """Serve a request that may be repeated.

    An endpoint's own failure is passed on if no other endpoint can be asked.
    """
    failure = None
    while True:
        try:
            return await _one_plain(attempts)
        except AttemptFailed as exc:
            failure = exc.answer or failure
            error = exc
        except MagnoliagradeError:
            if failure is None:
                raise
            return failure
        try:
            attempts.check_next(error)
        except MagnoliagradeError:
            if failure is None:
                raise
            return failure


async def _serve_once(node, attempts):
    """Serve a request that may run once; it goes on when its caller has left."""
    while True:
        await attempts.find_place()
        work = _shielded_plain(attempts)
        task = node.tasks.start(work, name=f"order {attempts.request.id}")
        outcome = await asyncio.shield(task)
        if isinstance(outcome, web.Response):
            return outcome
        attempts.check_next(outcome)


async def _shielded_plain(attempts):
    try:
        return await _one_plain(attempts)
    except MagnoliagradeError as exc:
        return exc


async def _one_plain(attempts):
    """Make one attempt and return the whole answer as a response."""
    async with attempts.next_attempt() as attempt:
        limit_s = _limit_s(attempts)
        try:
            async with asyncio.timeout(limit_s):
                answer = await attempt.open()
                body = await answer.read()
        except TimeoutError:
            raise AttemptFailed(
                ErrorKind.DEADLINE,
                f"{attempt.endpoint.id} did not answer in {limit_s:.2f} s",
                has_run=True,
            ) from None
        response = web.Response(
            status=answer.status, headers=response_headers(answer.headers), body=body
        )
        if answer.status >= 500 and attempts.may_repeat():
            raise AttemptFailed(
                ErrorKind.UPSTREAM_FAILED,
                f"{attempt.endpoint.id} answered {answer.status}",
                has_run=True,
                answer=response,
            )
        attempt.note_success()
        return response


def _limit_s(attempts):
    left_s = attempts.left_s()
    if attempts.may_repeat():
        return left_s * SAFE_FIRST_PART
    return left_s
