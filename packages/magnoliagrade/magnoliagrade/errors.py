"""Closed list of error kinds, and the table of the response to each kind."""

import enum
from dataclasses import dataclass

__all__ = [
    "RESPONSE_BY_KIND",
    "ErrorKind",
    "ErrorResponse",
    "MagnoliagradeError",
    "Ran",
    "problem_details",
    "response_of",
]


class ErrorKind(enum.Enum):
    """Kind of an error; the list is closed.

    `UNAUTHENTICATED` is about an API key, `KEY_REUSED` about an idempotency key.
    """

    INVALID_REQUEST = "INVALID_REQUEST"
    UNAUTHENTICATED = "UNAUTHENTICATED"
    NO_ROUTE = "NO_ROUTE"
    CONFLICT = "CONFLICT"
    ALREADY_CLAIMED = "ALREADY_CLAIMED"
    TOO_LARGE = "TOO_LARGE"
    KEY_REUSED = "KEY_REUSED"
    LIMITED = "LIMITED"
    OVERLOADED = "OVERLOADED"
    NOT_RUN = "NOT_RUN"
    REQUEST_BLOCKED = "REQUEST_BLOCKED"
    SHUTTING_DOWN = "SHUTTING_DOWN"
    UPSTREAM_FAILED = "UPSTREAM_FAILED"
    OUTCOME_UNKNOWN = "OUTCOME_UNKNOWN"
    DEADLINE = "DEADLINE"
    DEADLINE_NOT_RUN = "DEADLINE_NOT_RUN"
    ANSWER_BROKEN = "ANSWER_BROKEN"
    INTERNAL = "INTERNAL"
    CONFIGURATION_INVALID = "CONFIGURATION_INVALID"
    CONFIGURATION_STALE = "CONFIGURATION_STALE"
    SETTINGS_INVALID = "SETTINGS_INVALID"
    STORE_UNAVAILABLE = "STORE_UNAVAILABLE"
    STORE_LIMITED = "STORE_LIMITED"
    WIRE_INVALID = "WIRE_INVALID"
    FENCED = "FENCED"


class Ran(enum.Enum):
    """Whether the request that failed has run at its back end."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True, kw_only=True)
class ErrorResponse:
    """Response to a caller for one kind of error.

    Parameters
    ----------
    status : int
        HTTP status.
    ran : Ran
        Whether the request ran at its back end.
    retryable : bool
        Whether the same request may be sent again with a chance of another outcome.
    title : str
        Human-readable summary of one line.
    """

    status: int
    ran: Ran
    retryable: bool
    title: str


def _response(status, ran, retryable, title):
    return ErrorResponse(status=status, ran=ran, retryable=retryable, title=title)


_Kind = ErrorKind
RESPONSE_BY_KIND = {
    _Kind.INVALID_REQUEST: _response(400, Ran.NO, False, "The request is malformed"),
    _Kind.UNAUTHENTICATED: _response(401, Ran.NO, False, "The key is not known"),
    _Kind.NO_ROUTE: _response(404, Ran.NO, False, "Nothing serves this request"),
    _Kind.CONFLICT: _response(409, Ran.NO, True, "Another change came first"),
    _Kind.ALREADY_CLAIMED: _response(409, Ran.UNKNOWN, False, "A copy was dispatched"),
    _Kind.TOO_LARGE: _response(413, Ran.NO, False, "The request is too large"),
    _Kind.KEY_REUSED: _response(422, Ran.NO, False, "The key belongs to another body"),
    _Kind.LIMITED: _response(429, Ran.NO, True, "The organisation's share is used up"),
    _Kind.OVERLOADED: _response(503, Ran.NO, True, "There is no capacity"),
    _Kind.NOT_RUN: _response(503, Ran.NO, True, "No back end took the request"),
    _Kind.REQUEST_BLOCKED: _response(
        503, Ran.NO, True, "Servers end under the request"
    ),
    _Kind.SHUTTING_DOWN: _response(503, Ran.NO, True, "The instance is leaving"),
    _Kind.UPSTREAM_FAILED: _response(502, Ran.YES, False, "The back end failed"),
    _Kind.OUTCOME_UNKNOWN: _response(
        504, Ran.UNKNOWN, False, "The outcome is not known"
    ),
    _Kind.DEADLINE: _response(504, Ran.UNKNOWN, False, "The deadline passed"),
    _Kind.DEADLINE_NOT_RUN: _response(504, Ran.NO, True, "The deadline cannot be met"),
    _Kind.ANSWER_BROKEN: _response(502, Ran.YES, False, "The answer broke off"),
    _Kind.INTERNAL: _response(500, Ran.UNKNOWN, False, "The product failed"),
    _Kind.CONFIGURATION_INVALID: _response(400, Ran.NO, False, "Configuration refused"),
    _Kind.CONFIGURATION_STALE: _response(409, Ran.NO, True, "Configuration is older"),
    _Kind.SETTINGS_INVALID: _response(400, Ran.NO, False, "Settings refused"),
    _Kind.STORE_UNAVAILABLE: _response(503, Ran.NO, True, "The store does not answer"),
    _Kind.STORE_LIMITED: _response(503, Ran.NO, True, "The store's rate is used up"),
    _Kind.WIRE_INVALID: _response(400, Ran.NO, False, "A message cannot be read"),
    _Kind.FENCED: _response(409, Ran.NO, False, "The fencing number is old"),
}


class MagnoliagradeError(Exception):
    """Error of one of the kinds in the closed list.

    Parameters
    ----------
    kind : ErrorKind
        Kind of the error.
    detail : str
        What happened, with the value that caused it.
    retry_after : float, optional
        Seconds after which another attempt may succeed.
    """

    def __init__(self, kind, detail, *, retry_after=None):
        super().__init__(f"{kind.value}: {detail}")
        self.kind = kind
        self.detail = detail
        self.retry_after = retry_after


def response_of(kind):
    """Return the response to a kind of error.

    Parameters
    ----------
    kind : ErrorKind
        Kind of the error.

    Returns
    -------
    response : ErrorResponse
        Status, whether the request ran, whether to retry, and title.

    Examples
    --------
    >>> response_of(ErrorKind.LIMITED).status
    429
    """
    return RESPONSE_BY_KIND[kind]


def problem_details(error, *, request_id=""):
    """Return the body of an error response as RFC 9457 problem details.

    Parameters
    ----------
    error : MagnoliagradeError
        The error to report.
    request_id : str
        Id of the request that failed.

    Returns
    -------
    body : dict
        Problem details, ready to be encoded as JSON.
    """
    response = response_of(error.kind)
    return {
        "type": "about:blank",
        "title": response.title,
        "status": response.status,
        "detail": error.detail,
        "code": error.kind.value,
        "ran": response.ran.value,
        "retryable": response.retryable,
        "instance": request_id,
    }
