"""Headers and responses shared by the HTTP hops."""

from magnoliagrade.http.bodies import BodyBudget, read_body
from magnoliagrade.http.client import send_once
from magnoliagrade.http.events import EventCutter, WholeEvents
from magnoliagrade.http.headers import (
    check_incarnation,
    end_to_end_headers,
    read_request_headers,
    write_request_headers,
)
from magnoliagrade.http.recording import RecordedResponse, RecordingSink
from magnoliagrade.http.responses import ResponseSink, error_response
from magnoliagrade.http.server import (
    ListenerLimits,
    change_limits,
    coded_errors,
    listen,
    log_rejection,
    start_listener,
)

__all__ = [
    "BodyBudget",
    "EventCutter",
    "ListenerLimits",
    "RecordedResponse",
    "RecordingSink",
    "ResponseSink",
    "WholeEvents",
    "change_limits",
    "check_incarnation",
    "coded_errors",
    "end_to_end_headers",
    "error_response",
    "listen",
    "log_rejection",
    "read_body",
    "read_request_headers",
    "send_once",
    "start_listener",
    "write_request_headers",
]
