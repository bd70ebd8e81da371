"""The closed list of error kinds and the one table from kind to response."""

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
    """Every kind of error that the product reports; the list is closed."""

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
    """Whether the request that an error answers has run at its back end."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True, kw_only=True)
class ErrorResponse:
    """What a caller is told about one kind of error.

    Parameters
    ----------
    status : int
        HTTP status.
    ran : Ran
        Whether the request ran at its back end.
    retryable : bool
        Whether the same request may be sent again and can be expected to differ.
    title : str
        One-line summary for people.
    """

    status: int
    ran: Ran
    retryable: bool
    title: str


def _answer(status, ran, retryable, title):
    return ErrorResponse(status=status, ran=ran, retryable=retryable, title=title)


_K = ErrorKind
RESPONSE_BY_KIND = {
    _K.INVALID_REQUEST: _answer(400, Ran.NO, False, "The request is malformed"),
    _K.UNAUTHENTICATED: _answer(401, Ran.NO, False, "The key is not known"),
    _K.NO_ROUTE: _answer(404, Ran.NO, False, "Nothing serves this request"),
    _K.CONFLICT: _answer(409, Ran.NO, True, "Another change came first"),
    _K.ALREADY_CLAIMED: _answer(409, Ran.UNKNOWN, False, "A copy was dispatched"),
    _K.TOO_LARGE: _answer(413, Ran.NO, False, "The request is too large"),
    _K.KEY_REUSED: _answer(422, Ran.NO, False, "The key belongs to another body"),
    _K.LIMITED: _answer(429, Ran.NO, True, "The organisation's share is used up"),
    _K.OVERLOADED: _answer(503, Ran.NO, True, "There is no capacity"),
    _K.NOT_RUN: _answer(503, Ran.NO, True, "No back end took the request"),
    _K.SHUTTING_DOWN: _answer(503, Ran.NO, True, "The instance is leaving"),
    _K.UPSTREAM_FAILED: _answer(502, Ran.YES, False, "The back end failed"),
    _K.OUTCOME_UNKNOWN: _answer(504, Ran.UNKNOWN, False, "The outcome is not known"),
    _K.DEADLINE: _answer(504, Ran.UNKNOWN, False, "The deadline passed"),
    _K.DEADLINE_NOT_RUN: _answer(504, Ran.NO, True, "The deadline cannot be met"),
    _K.ANSWER_BROKEN: _answer(502, Ran.YES, False, "The answer broke off"),
    _K.INTERNAL: _answer(500, Ran.UNKNOWN, False, "The product failed"),
    _K.CONFIGURATION_INVALID: _answer(400, Ran.NO, False, "Configuration refused"),
    _K.CONFIGURATION_STALE: _answer(409, Ran.NO, True, "Configuration is older"),
    _K.SETTINGS_INVALID: _answer(400, Ran.NO, False, "Settings refused"),
    _K.STORE_UNAVAILABLE: _answer(503, Ran.NO, True, "The store does not answer"),
    _K.STORE_LIMITED: _answer(503, Ran.NO, True, "The store's rate is used up"),
    _K.WIRE_INVALID: _answer(400, Ran.NO, False, "A message cannot be read"),
    _K.FENCED: _answer(409, Ran.NO, False, "The fencing number is old"),
}


class MagnoliagradeError(Exception):
    """An error of a kind from the closed list.

    Parameters
    ----------
    kind : ErrorKind
        Kind of the error.
    detail : str
        What happened, naming the offending value.
    retry_after : float, optional
        Seconds after which another attempt makes sense.
    """

    def __init__(self, kind, detail, *, retry_after=None):
        super().__init__(f"{kind.value}: {detail}")
        self.kind = kind
        self.detail = detail
        self.retry_after = retry_after


def response_of(kind):
    """Return the response that belongs to a kind of error.

    Parameters
    ----------
    kind : ErrorKind
        Kind of the error.

    Returns
    -------
    response : ErrorResponse
        Status, whether the request ran, and whether to retry.

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
        Mapping ready for JSON.
    """
    answer = response_of(error.kind)
    return {
        "type": "about:blank",
        "title": answer.title,
        "status": answer.status,
        "detail": error.detail,
        "code": error.kind.value,
        "ran": answer.ran.value,
        "retryable": answer.retryable,
        "instance": request_id,
    }
