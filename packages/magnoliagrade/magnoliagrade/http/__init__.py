"""Headers and answers shared by the HTTP hops."""

from magnoliagrade.http.answers import AnswerSink, error_response
from magnoliagrade.http.bodies import BodyBudget, read_body
from magnoliagrade.http.headers import (
    end_to_end_headers,
    read_request_headers,
    write_request_headers,
)
from magnoliagrade.http.server import DoorLimits, coded_errors, start_door

__all__ = [
    "AnswerSink",
    "BodyBudget",
    "DoorLimits",
    "coded_errors",
    "end_to_end_headers",
    "error_response",
    "read_body",
    "read_request_headers",
    "start_door",
    "write_request_headers",
]
