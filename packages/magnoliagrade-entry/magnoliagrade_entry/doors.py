"""HTTP handlers of an entry's listeners for callers and for peer entries."""

import asyncio
import contextlib
import logging

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.http import (
    ResponseSink,
    check_incarnation,
    error_response,
    log_rejection,
    read_request_headers,
)
from magnoliagrade.http import headers as names
from magnoliagrade.observability import extract_context, get_tracer
from opentelemetry import trace
from prometheus_client import Counter, Histogram

from magnoliagrade_entry.requests import read_arrival, request_id_of

__all__ = ["make_caller_handler", "make_peer_handler"]

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
FIRST_BYTE = Histogram(
    "magnoliagrade_first_byte_seconds",
    "Time from arrival to the first byte of the answer's body",
    ["door"],
    buckets=(0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.84, 1.5, 3, 6, 12, 30),
)
_tracer = get_tracer(__name__)
_log = logging.getLogger(__name__)


def make_caller_handler(node):
    """Return the handler of the listener that callers connect to.

    Parameters
    ----------
    node : EntryInstance
        The entry.
    """

    async def handle(http_request):
        began_at = node.clock.monotonic()
        request_id = request_id_of(http_request.headers)
        sink = _TimedSink(
            http_request=http_request,
            added_headers={"X-Request-Id": request_id},
            clock=node.clock,
            closes_connection=node.closes_connections,
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
                _set_span_attributes(span, request)
                await _serve_to_completion(
                    node, request, sink, _make_admitted_serve(node)
                )
            except MagnoliagradeError as exc:
                return _respond_error(exc, sink, request_id, listener="caller")
            REQUESTS.labels("caller", "whole").inc()
            took_s = node.clock.monotonic() - began_at
            node.shutdown.durations.record(request.application, took_s)
            return sink.response

    return _with_metrics(node, handle, "caller")


def make_peer_handler(node):
    """Return the handler of the listener that peer entries forward requests to.

    Parameters
    ----------
    node : EntryInstance
        The entry.
    """

    async def handle(http_request):
        request_id = ""
        headers = http_request.headers
        sink = ResponseSink(
            http_request=http_request,
            added_headers={
                names.RAN: "yes",
                names.ATTEMPT: headers.get(names.ATTEMPT, ""),
            },
            closes_connection=node.closes_connections,
        )
        with _server_span("peer", http_request) as span:
            try:
                body = await http_request.read()
                check_incarnation(headers, incarnation=node.identity.incarnation)
                request = read_request_headers(
                    headers,
                    method=http_request.method,
                    path=http_request.path_qs,
                    body=body,
                    now=node.clock.monotonic(),
                )
                request_id = request.id
                sink.tokens_written = int(headers.get(names.RESUME_TOKENS, "0"))
                _set_span_attributes(span, request)
                _check_shutdown(node, request)
                await _serve_to_completion(node, request, sink, node.dispatcher.serve)
            except MagnoliagradeError as exc:
                return _respond_error(exc, sink, request_id, listener="peer")
            REQUESTS.labels("peer", "whole").inc()
            return sink.response

    return _with_metrics(node, handle, "peer")


class _TimedSink(ResponseSink):
    """Sink that measures the time to the first byte of the body."""

    __slots__ = ("_arrived_at", "_clock")

    def __init__(self, *, clock, **fields):
        super().__init__(**fields)
        self._clock = clock
        self._arrived_at = clock.monotonic()

    async def write(self, data, **fields):
        if not self.bytes_written:
            elapsed_s = self._clock.monotonic() - self._arrived_at
            FIRST_BYTE.labels("caller").observe(elapsed_s)
        await super().write(data, **fields)


def _with_metrics(node, handle, listener):
    async def handle_with_metrics(http_request):
        started = node.clock.monotonic()
        node.requests_in_flight += 1
        try:
            response = await handle(http_request)
            if node.closes_connections and not response.prepared:
                response.force_close()
            return response
        except (ConnectionError, asyncio.CancelledError):
            REQUESTS.labels(listener, "caller-gone").inc()
            raise
        except Exception:
            REQUESTS.labels(listener, ErrorKind.INTERNAL.value).inc()
            raise
        finally:
            node.requests_in_flight -= 1
            DURATION.labels(listener).observe(node.clock.monotonic() - started)

    return handle_with_metrics


async def _serve_to_completion(node, request, sink, serve):
    """Serve a request; a caller that disconnects cancels only a repeatable one."""
    if request.repeatable:
        await serve(request, sink)
        return
    sink.ignores_disconnect = True

    work = _error_or_none(node, _serve_recorded(node, request, sink, serve))
    task = node.tasks.start(work, name=f"order {request.id}")
    error = await asyncio.shield(task)
    if error is not None:
        raise error


def _check_shutdown(node, request):
    """Reject a request that may outlast an entry that is shutting down."""
    node.shutdown.check(
        request.application,
        is_repeatable=request.repeatable,
        ends_at=request.deadline,
    )


async def _serve_recorded(node, request, sink, serve):
    if not request.forwarded_attempt:
        await serve(request, sink)
        return

    async def follow(recording):
        await serve(request, recording)

    await node.outcomes.serve_and_record(request.forwarded_attempt, sink, follow)


async def _error_or_none(node, work):
    node.requests_in_flight += 1
    try:
        await work
    except MagnoliagradeError as exc:
        return exc
    finally:
        node.requests_in_flight -= 1
    return None


def _make_admitted_serve(node):
    async def serve(request, sink):
        try:
            _check_shutdown(node, request)
            await node.admission.admit(request)
            try:
                await node.claims.serve(request, sink, node.dispatcher.serve)
            finally:
                node.admission.release(request)
        finally:
            node.body_budget.release(len(request.body))

    return serve


@contextlib.contextmanager
def _server_span(listener, http_request):
    context = extract_context(http_request.headers)
    with _tracer.start_as_current_span(
        f"entry.{listener}", context=context, kind=trace.SpanKind.SERVER
    ) as span:
        yield span


def _set_span_attributes(span, request):
    if span.is_recording():
        span.set_attribute("magnoliagrade.request_id", request.id)
        span.set_attribute("magnoliagrade.organisation", request.organisation)
        span.set_attribute("magnoliagrade.application", request.application)


def _respond_error(error, sink, request_id, *, listener):
    REQUESTS.labels(listener, error.kind.value).inc()
    log_rejection(_log, error, request_id=request_id, door=listener)
    if sink.has_started:
        sink.abort()
        return sink.response
    return error_response(error, request_id=request_id, is_internal=listener == "peer")
