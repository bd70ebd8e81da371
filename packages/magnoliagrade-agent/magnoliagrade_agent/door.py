"""HTTP handler of an agent's listener for requests from entries."""

import asyncio
import logging

import aiohttp
from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.http import (
    ResponseSink,
    check_incarnation,
    error_response,
    read_request_headers,
)
from magnoliagrade.http import headers as names
from magnoliagrade.observability import (
    extract_context,
    get_tracer,
    inject_context,
    log_event,
)
from opentelemetry import trace
from prometheus_client import Counter

from magnoliagrade_agent.group.serving import group_serving
from magnoliagrade_agent.probe import suspend_endpoint

__all__ = ["make_data_handler"]

REQUESTS = Counter(
    "magnoliagrade_agent_requests_total", "Requests from entries by result", ["result"]
)
_tracer = get_tracer(__name__)
_log = logging.getLogger(__name__)


def make_data_handler(node):
    """Return the handler of the listener that entries send requests to.

    Parameters
    ----------
    node : AgentInstance
        The agent.
    """

    async def handle(http_request):
        context = extract_context(http_request.headers)
        added = {names.RAN: "yes", names.ATTEMPT: _attempt_of(http_request)}
        sink = ResponseSink(http_request=http_request, added_headers=added)
        request = None
        with _tracer.start_as_current_span(
            "agent.request", context=context, kind=trace.SpanKind.SERVER
        ):
            try:
                request = await _read_request(node, http_request)
                await _serve(node, request, http_request.headers, sink)
            except MagnoliagradeError as exc:
                return _respond_error(exc, request, sink)
        REQUESTS.labels("whole").inc()
        return sink.response

    return handle


def _attempt_of(http_request):
    return http_request.headers.get(names.ATTEMPT, "")


async def _read_request(node, http_request):
    body = await http_request.read()
    check_incarnation(http_request.headers, incarnation=node.identity.incarnation)
    return read_request_headers(
        http_request.headers,
        method=http_request.method,
        path=http_request.path_qs,
        body=body,
        now=node.clock.monotonic(),
    )


async def _serve(node, request, headers, sink):
    reason = node.reason_to_reject()
    if reason:
        raise MagnoliagradeError(ErrorKind.SHUTTING_DOWN, reason)
    if request.repeatable:
        await _admit_and_follow(node, request, headers, sink)
        return
    node.attempts.check(headers[names.ATTEMPT])
    sink.ignores_disconnect = True

    async def serve(recording):
        await _admit_and_follow(node, request, headers, recording)

    work = _error_or_none(
        node.outcomes.serve_and_record(headers[names.ATTEMPT], sink, serve)
    )
    # A request that may run only once is completed even if the entry disconnects.
    task = node.tasks.start(work, name=f"order {request.id}")
    error = await asyncio.shield(task)
    if error is not None:
        raise error


async def _error_or_none(work):
    try:
        await work
    except MagnoliagradeError as exc:
        return exc
    return None


async def _admit_and_follow(node, request, headers, sink):
    with group_serving(node):
        await _serve_attempt(node, request, headers, sink)


async def _serve_attempt(node, request, headers, sink):
    work = await node.credits.admit(request, entry=headers[names.ENTRY])
    with node.credits.track(work):
        try:
            await _relay_response(node, request, work, headers, sink)
        except aiohttp.ClientConnectionResetError:
            # The entry has disconnected; the endpoint may continue for a short time.
            raise
        except (aiohttp.ClientPayloadError, aiohttp.ClientConnectionError) as exc:
            detail = f"endpoint response truncated after {sink.bytes_written} bytes"
            raise MagnoliagradeError(ErrorKind.ANSWER_BROKEN, detail) from exc


async def _relay_response(node, request, work, headers, sink):
    attempt = headers[names.ATTEMPT]
    with _tracer.start_as_current_span("endpoint.call") as span:
        span.set_attribute("magnoliagrade.attempt", attempt)
        span.set_attribute("magnoliagrade.limit", node.credits.limit)
        inject_context(request.header_by_name)
        response = await _open_response(node, request, attempt, headers)
        async with response:
            node.credits.confirm(work)
            work.has_failed = response.status >= 500
            await sink.start(response.status, response.headers)
            async for part in response.content.iter_any():
                node.credits.record_chunk(work, part)
                await sink.write(part)
            await sink.finish()
    work.is_complete = True


async def _open_response(node, request, attempt, headers):
    resume_tokens = 0
    if request.repeatable:
        resume_tokens = int(headers.get(names.RESUME_TOKENS, "0"))
    else:
        node.attempts.begin(attempt)
    try:
        return await node.engine.open(
            request, attempt=attempt, resume_tokens=resume_tokens
        )
    except MagnoliagradeError as exc:
        if exc.kind is ErrorKind.NOT_RUN:
            suspend_endpoint(node)
            if not request.repeatable:
                node.attempts.record_undelivered(attempt)
        raise


def _respond_error(error, request, sink):
    REQUESTS.labels(error.kind.value).inc()
    request_id = request.id if request else ""
    log_event(
        _log,
        "request.refused",
        request_id=request_id,
        code=error.kind.value,
        detail=error.detail,
    )
    if sink.has_started:
        sink.abort()
        return sink.response
    return error_response(error, request_id=request_id, is_internal=True)
