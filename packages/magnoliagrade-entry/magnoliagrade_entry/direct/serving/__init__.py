"""Serving of callers' requests: validation, attempts at endpoints, responses."""

from magnoliagrade_entry.direct.serving.arrival import DirectRequest, read_request
from magnoliagrade_entry.direct.serving.attempts import Attempt
from magnoliagrade_entry.direct.serving.crash_guard import CrashGuard
from magnoliagrade_entry.direct.serving.crash_suspects import ServerCrash
from magnoliagrade_entry.direct.serving.door import make_caller_handler, ready_routes
from magnoliagrade_entry.direct.serving.request_attempts import Attempts
from magnoliagrade_entry.direct.serving.request_traits import RequestTraits, traits_of
from magnoliagrade_entry.direct.serving.server_crashes import CrashWatch
from magnoliagrade_entry.direct.serving.serving import serve_request
from magnoliagrade_entry.direct.serving.streams import relay_stream
from magnoliagrade_entry.direct.serving.upstream import (
    AttemptFailed,
    EndpointConnector,
    trace_connections,
)

__all__ = [
    "Attempt",
    "AttemptFailed",
    "Attempts",
    "CrashGuard",
    "CrashWatch",
    "DirectRequest",
    "EndpointConnector",
    "RequestTraits",
    "ServerCrash",
    "make_caller_handler",
    "read_request",
    "ready_routes",
    "relay_stream",
    "serve_request",
    "trace_connections",
    "traits_of",
]
