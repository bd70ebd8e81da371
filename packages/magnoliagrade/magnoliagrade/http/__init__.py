"""Headers and answers shared by the HTTP hops."""

from magnoliagrade.http.answers import AnswerSink, error_response
from magnoliagrade.http.client import send_once
from magnoliagrade.http.events import EventCutter, WholeEvents
from magnoliagrade.http.headers import (
    check_incarnation,
    end_to_end_headers,
    read_request_headers,
    write_request_headers,
)

__all__ = [
    "AnswerSink",
    "EventCutter",
    "WholeEvents",
    "check_incarnation",
    "end_to_end_headers",
    "error_response",
    "read_request_headers",
    "send_once",
    "write_request_headers",
]
