"""The HTTP doors of an entry: for callers and for peer entries."""

import asyncio
import contextlib
import logging

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.http import AnswerSink, error_response, read_request_headers
from magnoliagrade.http import headers as names
from magnoliagrade.observability import extract_context, get_tracer, log_event
from opentelemetry import trace
from prometheus_client import Counter, Histogram

from magnoliagrade_entry.requests import read_arrival, request_id_of

__all__ = ["make_caller_door", "make_peer_door"]

REQUESTS = Counter(
    "magnoliagrade_requests_total",
    "Requests by door and result",
    ["door", "result"],
)
DURATION = Histogram(
    "magnoliagrade_request_duration_seconds",
    "Time from arrival to the end of the answer",
    ["door"],
)
_tracer = get_tracer(__name__)
_log = logging.getLogger(__name__)


def make_caller_door(node):
    """Return the handler of the listener that callers connect to.

    Parameters
    ----------
    node : EntryInstance
        The entry.
    """

    async def handle(http_request):
        request_id = request_id_of(http_request.headers)
        sink = AnswerSink(
            http_request=http_request, added_headers={"X-Request-Id": request_id}
        )
        with _server_span("caller", http_request) as span:
            try:
                request = await read_arrival(
                    http_request,
                    request_id=request_id,
                    configuration=node.configuration.in_force,
                    settings=node.settings,
                    clock=node.clock,
                    budget=node.body_budget,
                )
                _describe(span, request)
                try:
                    await _serve_admitted(node, request, sink)
                finally:
                    node.body_budget.give_back(len(request.body))
            except MagnoliagradeError as exc:
                return _answer_error(exc, sink, request_id, door="caller")
            REQUESTS.labels("caller", "whole").inc()
            return sink.response

    return _counted(node, handle, "caller")


def make_peer_door(node):
    """Return the handler of the listener that peer entries forward requests to.

    Parameters
    ----------
    node : EntryInstance
        The entry.
    """

    async def handle(http_request):
        request_id = ""
        sink = AnswerSink(http_request=http_request, added_headers={names.RAN: "yes"})
        with _server_span("peer", http_request) as span:
            try:
                request = read_request_headers(
                    http_request.headers,
                    method=http_request.method,
                    path=http_request.path_qs,
                    body=await http_request.read(),
                    now=node.clock.monotonic(),
                )
                request_id = request.id
                _describe(span, request)
                await node.dispatcher.serve(request, sink)
            except MagnoliagradeError as exc:
                return _answer_error(exc, sink, request_id, door="peer")
            REQUESTS.labels("peer", "whole").inc()
            return sink.response

    return _counted(node, handle, "peer")


def _counted(node, handle, door):
    async def counted(http_request):
        started = node.clock.monotonic()
        node.requests_in_flight += 1
        try:
            return await handle(http_request)
        except (ConnectionError, asyncio.CancelledError):
            REQUESTS.labels(door, "caller-gone").inc()
            raise
        except Exception:
            REQUESTS.labels(door, ErrorKind.INTERNAL.value).inc()
            raise
        finally:
            node.requests_in_flight -= 1
            DURATION.labels(door).observe(node.clock.monotonic() - started)

    return counted


async def _serve_admitted(node, request, sink):
    await node.admission.admit(request)
    try:
        await node.dispatcher.serve(request, sink)
    finally:
        node.admission.release(request)


@contextlib.contextmanager
def _server_span(door, http_request):
    context = extract_context(http_request.headers)
    with _tracer.start_as_current_span(
        f"entry.{door}", context=context, kind=trace.SpanKind.SERVER
    ) as span:
        yield span


def _describe(span, request):
    if span.is_recording():
        span.set_attribute("magnoliagrade.request_id", request.id)
        span.set_attribute("magnoliagrade.organisation", request.organisation)
        span.set_attribute("magnoliagrade.application", request.application)


def _answer_error(error, sink, request_id, *, door):
    REQUESTS.labels(door, error.kind.value).inc()
    log_event(
        _log,
        "request.refused",
        request_id=request_id,
        code=error.kind.value,
        detail=error.detail,
        door=door,
    )
    if sink.has_started:
        sink.abort()
        return sink.response
    return error_response(error, request_id=request_id, is_internal=door == "peer")
