"""Headers and answers shared by the HTTP hops."""

from magnoliagrade.http.answers import AnswerSink, error_response
from magnoliagrade.http.headers import (
    end_to_end_headers,
    read_request_headers,
    write_request_headers,
)

__all__ = [
    "AnswerSink",
    "end_to_end_headers",
    "error_response",
    "read_request_headers",
    "write_request_headers",
]
