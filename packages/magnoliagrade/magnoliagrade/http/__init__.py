"""HTTP listeners, clients, headers and bodies that all processes share."""

from magnoliagrade.http.bodies import BodyBudget, read_body
from magnoliagrade.http.client import read_limited, send_once
from magnoliagrade.http.connections import CheckedResponseHandler, ResponseConnector
from magnoliagrade.http.events import CompleteEvents, EventSplitter
from magnoliagrade.http.headers import (
    check_incarnation,
    end_to_end_headers,
    read_request_headers,
    write_request_headers,
)
from magnoliagrade.http.recording import RecordedResponse, RecordingSink
from magnoliagrade.http.response_memory import (
    ResponseHold,
    ResponseMemory,
    ResponseTooLong,
)
from magnoliagrade.http.responses import ResponseSink, error_response, send_response
from magnoliagrade.http.server import (
    ListenerLimits,
    change_limits,
    listen,
    log_rejection,
    problem_details_middleware,
    start_listener,
)

__all__ = [
    "BodyBudget",
    "CheckedResponseHandler",
    "CompleteEvents",
    "EventSplitter",
    "ListenerLimits",
    "RecordedResponse",
    "RecordingSink",
    "ResponseConnector",
    "ResponseHold",
    "ResponseMemory",
    "ResponseSink",
    "ResponseTooLong",
    "change_limits",
    "check_incarnation",
    "end_to_end_headers",
    "error_response",
    "listen",
    "log_rejection",
    "problem_details_middleware",
    "read_body",
    "read_limited",
    "read_request_headers",
    "send_once",
    "send_response",
    "start_listener",
    "write_request_headers",
]
