"""Headers of requests between own processes, and which headers travel on."""

import json

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.world import Request

__all__ = [
    "ATTEMPT",
    "CODE",
    "ENTRY",
    "INCARNATION",
    "RAN",
    "RESUME_TOKENS",
    "check_incarnation",
    "end_to_end_headers",
    "read_request_headers",
    "write_request_headers",
]

PREFIX = "x-magnoliagrade-"
ATTEMPT = PREFIX + "attempt"
ENTRY = PREFIX + "entry"
INCARNATION = PREFIX + "incarnation"
RAN = PREFIX + "ran"
CODE = PREFIX + "code"
RESUME_TOKENS = PREFIX + "resume-tokens"
_REQUEST = PREFIX + "request"

HOP_BY_HOP = frozenset(
    [
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
        "expect",
    ]
)
_NOT_FORWARDED = HOP_BY_HOP | {"authorization", "traceparent", "tracestate"}


def end_to_end_headers(headers, *, drop=_NOT_FORWARDED):
    """Return the headers that travel on, names in lower case.

    Parameters
    ----------
    headers : mapping of str to str
        Headers as received.
    drop : set of str
        Names in lower case that end here.

    Returns
    -------
    header_by_name : dict of str to str
        Without hop-by-hop headers, those that `Connection` names, and the
        internal ones.
    """
    named = {h.strip().lower() for h in headers.get("Connection", "").split(",")}
    kept = {}
    for name, value in headers.items():
        lower = name.lower()
        if lower in drop or lower in named or lower.startswith(PREFIX):
            continue
        kept[lower] = value
    return kept


def check_incarnation(headers, *, incarnation):
    """Refuse a request that is meant for another incarnation of this process.

    Parameters
    ----------
    headers : mapping of str to str
        Headers as received.
    incarnation : int
        Incarnation of this process.

    Raises
    ------
    MagnoliagradeError
        `NOT_RUN` if the request names another one, `INVALID_REQUEST` if none.

    Notes
    -----
    A process that restarted has lost its books, so a copy that was withdrawn from
    its predecessor must not start here.
    """
    named = headers.get(INCARNATION)
    if named is None:
        detail = f"internal request header {INCARNATION} is missing"
        raise MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail)
    if named != f"{incarnation:016x}":
        detail = f"meant for incarnation {named!r}, this is {incarnation:016x}"
        raise MagnoliagradeError(ErrorKind.NOT_RUN, detail, retry_after=1)


def write_request_headers(
    request, *, attempt, entry, incarnation, now, forwarded_from="", resume_tokens=0
):
    """Return the headers that carry a request to an agent or a peer entry.

    Parameters
    ----------
    request : Request
        The request.
    attempt : str
        Id of this attempt.
    entry : str
        Name of the sending entry.
    incarnation : int
        Incarnation of the receiver that the request is meant for.
    now : float
        Monotonic time here, so that the deadline travels as time left.
    forwarded_from : str
        Data centre of this entry if the receiver is a peer entry.
    resume_tokens : int
        Tokens that the caller has already; the stream goes on after them.

    Returns
    -------
    header_by_name : dict of str to str
        End-to-end and internal headers.
    """
    carried = {
        "id": request.id,
        "organisation": request.organisation,
        "application": request.application,
        "labels": request.labels,
        "repeatable": request.repeatable,
        "streaming": request.streaming,
        "key": request.idempotency_key,
        "priority": request.priority,
        "left_s": round(request.deadline - now, 4),
        "prompt_tokens": request.prompt_tokens,
        "output_tokens": request.output_tokens,
        "prefix_hash": request.prefix_hash,
        "forwarded_from": forwarded_from,
    }
    header_by_name = dict(request.header_by_name)
    header_by_name[ATTEMPT] = attempt
    header_by_name[ENTRY] = entry
    header_by_name[INCARNATION] = f"{incarnation:016x}"
    if resume_tokens:
        header_by_name[RESUME_TOKENS] = str(resume_tokens)
    header_by_name[_REQUEST] = _as_header(carried)
    return header_by_name


def read_request_headers(headers, *, method, path, body, now):
    """Return the request that another own process sent.

    Parameters
    ----------
    headers : mapping of str to str
        Headers as received.
    method : str
        HTTP method.
    path : str
        Path with query string.
    body : bytes
        Body.
    now : float
        Monotonic time here.

    Returns
    -------
    request : Request
        The request with its deadline on this process's clock.

    Raises
    ------
    MagnoliagradeError
        `INVALID_REQUEST` if the internal headers are missing or malformed.
    """
    try:
        _check_attempt_headers(headers)
        carried = json.loads(headers[_REQUEST])
        return Request(
            id=carried["id"],
            organisation=carried["organisation"],
            application=carried["application"],
            method=method,
            path=path,
            header_by_name=end_to_end_headers(headers),
            body=body,
            labels=carried["labels"],
            repeatable=carried["repeatable"],
            streaming=carried["streaming"],
            idempotency_key=carried["key"],
            priority=carried["priority"],
            deadline=now + carried["left_s"],
            prompt_tokens=carried["prompt_tokens"],
            output_tokens=carried["output_tokens"],
            prefix_hash=carried["prefix_hash"],
            forwarded_from=carried["forwarded_from"],
            forwarded_attempt=headers[ATTEMPT],
        )
    except (KeyError, ValueError, TypeError) as exc:
        detail = f"internal request headers cannot be read: {exc!r}"
        raise MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail) from exc


def _check_attempt_headers(headers):
    """Raise what an absent or malformed header raises, before anything is done."""
    for name in (ATTEMPT, ENTRY):
        if not headers[name]:
            raise ValueError(f"{name} is empty")
    if int(headers.get(RESUME_TOKENS, "0")) < 0:
        raise ValueError(f"{RESUME_TOKENS} is negative")


def _as_header(carried):
    # JSON escapes all control characters but one that headers forbid as well.
    return json.dumps(carried, separators=(",", ":")).replace("\x7f", "\\u007f")
