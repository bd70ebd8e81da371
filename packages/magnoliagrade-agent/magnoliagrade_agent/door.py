"""The HTTP door of an agent: requests from entries to its endpoint."""

import asyncio
import logging
from dataclasses import dataclass

import aiohttp
from aiohttp import web
from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.http import (
    AnswerSink,
    check_incarnation,
    error_response,
    read_request_headers,
)
from magnoliagrade.http import headers as names
from magnoliagrade.observability import extract_context, inject_context, log_event
from opentelemetry import trace
from prometheus_client import Counter

__all__ = ["make_data_app"]

BODY_LIMIT_BYTES = 1024**3
REQUESTS = Counter(
    "magnoliagrade_agent_requests_total", "Requests from entries by result", ["result"]
)
_tracer = trace.get_tracer(__name__)
_log = logging.getLogger(__name__)


def make_data_app(node):
    """Return the application that entries send requests to.

    Parameters
    ----------
    node : AgentInstance
        The agent.
    """

    async def handle(http_request):
        context = extract_context(http_request.headers)
        added = {names.RAN: "yes", names.ATTEMPT: _attempt_of(http_request)}
        sink = AnswerSink(http_request=http_request, added_headers=added)
        request = None
        with _tracer.start_as_current_span(
            "agent.request", context=context, kind=trace.SpanKind.SERVER
        ):
            try:
                request = await _read_request(node, http_request)
                await _serve(node, request, http_request.headers, sink)
            except MagnoliagradeError as exc:
                return _answer_error(exc, request, sink)
        REQUESTS.labels("whole").inc()
        return sink.response

    app = web.Application(client_max_size=BODY_LIMIT_BYTES)
    app.router.add_route("*", "/{tail:.*}", handle)
    return app


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
    reason = node.reason_to_refuse()
    if reason:
        raise MagnoliagradeError(ErrorKind.SHUTTING_DOWN, reason)
    node.credits.take(request, entry=headers[names.ENTRY])
    work = _call_endpoint(node, request, headers, sink)
    if request.repeatable:
        await work
        return
    sink.ignores_lost_reader = True
    # An order that was handed over goes on to its end when the entry is gone.
    task = node.tasks.start(_error_of(work), name=f"order {request.id}")
    error = await asyncio.shield(task)
    if error is not None:
        raise error


async def _error_of(work):
    try:
        await work
    except MagnoliagradeError as exc:
        return exc
    return None


async def _call_endpoint(node, request, headers, sink):
    call = _Call(started=node.clock.monotonic())
    try:
        with _tracer.start_as_current_span("endpoint.call") as span:
            attempt = headers[names.ATTEMPT]
            span.set_attribute("magnoliagrade.attempt", attempt)
            inject_context(request.header_by_name)
            response = await _open(node, request, attempt, headers)
            async with response:
                await _copy(node, call, response, sink)
        call.failed = False
    except (aiohttp.ClientError, OSError) as exc:
        detail = f"endpoint broke off after {sink.bytes_written} bytes"
        raise MagnoliagradeError(ErrorKind.ANSWER_BROKEN, detail) from exc
    finally:
        node.credits.give_back(request)
        node.credits.limit_policy.on_completion(
            cost=request.cost,
            first_byte_s=call.first_byte_s,
            total_s=node.clock.monotonic() - call.started,
            in_flight=node.credits.in_flight,
            failed=call.failed,
        )


@dataclass(slots=True, kw_only=True)
class _Call:
    started: float
    first_byte_s: float = None
    failed: bool = True


async def _open(node, request, attempt, headers):
    if request.repeatable:
        resume_tokens = int(headers.get(names.RESUME_TOKENS, "0"))
        return await node.engine.open(
            request, attempt=attempt, resume_tokens=resume_tokens
        )
    node.attempts.begin(attempt)
    try:
        return await node.engine.open(request, attempt=attempt)
    except MagnoliagradeError as exc:
        if exc.kind is ErrorKind.NOT_RUN:
            node.attempts.undo(attempt)
        raise


async def _copy(node, call, response, sink):
    await sink.start(response.status, response.headers)
    async for part in response.content.iter_any():
        if call.first_byte_s is None:
            call.first_byte_s = node.clock.monotonic() - call.started
        await sink.write(part)
    await sink.finish()


def _answer_error(error, request, sink):
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
