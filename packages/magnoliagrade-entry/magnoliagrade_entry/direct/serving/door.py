"""Handlers of the callers' HTTP listener and of the readiness listener."""

import asyncio
import logging

from aiohttp import web
from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.http import error_response, log_rejection, send_response
from magnoliagrade.platform import request_id_of
from prometheus_client import Counter, Histogram

from magnoliagrade_entry.direct.serving.arrival import read_request
from magnoliagrade_entry.direct.serving.serving import serve_request

__all__ = ["make_caller_handler", "ready_routes"]

REQUESTS = Counter(
    "magnoliagrade_direct_requests_total", "Requests by result", ["result"]
)
REJECTIONS = Counter(
    "magnoliagrade_direct_rejections_total",
    "Rejected requests by the priority of their route",
    ["priority", "result"],
)
DURATION = Histogram(
    "magnoliagrade_direct_request_seconds",
    "Time from arrival to the end of the answer",
    buckets=(0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 10),
)
_log = logging.getLogger(__name__)


def make_caller_handler(node):
    """Return the handler of the listener that callers connect to.

    Parameters
    ----------
    node : DirectEntry
        The entry.
    """

    async def handle(http_request):
        began_at = node.clock.monotonic()
        node.requests_in_flight += 1
        try:
            # The response is counted until the caller has it.
            with node.response_memory.hold() as hold:
                response = await _serve(node, http_request, hold)
                if not response.prepared:
                    if node.reasons_not_ready():
                        # The caller reconnects and is sent to an entry that is ready.
                        response.force_close()
                    await send_response(http_request, response)
            return response
        except (ConnectionError, asyncio.CancelledError):
            REQUESTS.labels("caller-gone").inc()
            raise
        except Exception:
            REQUESTS.labels(ErrorKind.INTERNAL.value).inc()
            raise
        finally:
            node.requests_in_flight -= 1
            DURATION.observe(node.clock.monotonic() - began_at)

    return handle


async def _serve(node, http_request, hold):
    try:
        request = await read_request(node, http_request)
    except MagnoliagradeError as exc:
        return _rejection_response(node, exc, request_id_of(http_request.headers))
    try:
        response = await serve_request(node, request, http_request, hold=hold)
    except MagnoliagradeError as exc:
        REJECTIONS.labels(request.priority_label, exc.kind.value).inc()
        return _rejection_response(
            node, exc, request.id, route=request.route.name, priority=request.priority
        )
    REQUESTS.labels(str(response.status)).inc()
    return response


def _rejection_response(node, error, request_id, **fields):
    REQUESTS.labels(error.kind.value).inc()
    log_rejection(
        _log,
        error,
        request_id=request_id,
        version=node.site_state.version,
        age_s=round(node.site_state.age_s(), 2),
        **fields,
    )
    response = error_response(error, request_id=request_id)
    if error.retry_after is not None:
        # Callers of the platform accept fractions of a second here.
        response.headers["Retry-After"] = f"{error.retry_after:.2f}"
    return response


def ready_routes(node):
    """Return the routes of the listener that the platform queries for readiness."""

    async def ready(_http_request):
        reasons = node.reasons_not_ready()
        if reasons:
            return web.json_response({"not_ready": reasons}, status=503)
        return web.Response(text="ready\n")

    return [web.get("/ready", ready)]
