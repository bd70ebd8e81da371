"""Logs, traces and metrics."""

from magnoliagrade.observability.logs import (
    RateLimitedHandler,
    configure_logging,
    log_event,
)
from magnoliagrade.observability.metrics import serve_metrics_text
from magnoliagrade.observability.traces import (
    configure_tracing,
    extract_context,
    get_tracer,
    inject_context,
)

__all__ = [
    "RateLimitedHandler",
    "configure_logging",
    "configure_tracing",
    "extract_context",
    "get_tracer",
    "inject_context",
    "log_event",
    "serve_metrics_text",
]
