"""Internal headers between processes, and the headers to forward.

`RAN` and `CODE` are headers of responses. The others are headers of requests;
`ATTEMPT` is returned in the response.
"""

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

# Hop-by-hop headers, and headers that apply to one connection or message only
# (`Content-Length`, `Host`, `Expect`).
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
# `Authorization` has the caller's API key for this system.
_NOT_FORWARDED = HOP_BY_HOP | {"authorization", "traceparent", "tracestate"}


def end_to_end_headers(headers, *, drop=_NOT_FORWARDED):
    """Return the end-to-end headers to forward, with names in lower case.

    Parameters
    ----------
    headers : mapping of str to str
        Headers as received.
    drop : set of str
        Names in lower case that aren't forwarded.

    Returns
    -------
    header_by_name : dict of str to str
        The headers without those in `drop`, those that `Connection` lists, and the
        internal ones.
    """
    listed = {h.strip().lower() for h in headers.get("Connection", "").split(",")}
    kept = {}
    for name, value in headers.items():
        lower = name.lower()
        if lower in drop or lower in listed or lower.startswith(PREFIX):
            continue
        kept[lower] = value
    return kept


def check_incarnation(headers, *, incarnation):
    """Reject a request that is addressed to another incarnation of this process.

    Parameters
    ----------
    headers : mapping of str to str
        Headers as received.
    incarnation : int
        Incarnation of this process.

    Raises
    ------
    MagnoliagradeError
        `NOT_RUN` if the request is addressed to another incarnation,
        `INVALID_REQUEST` if the header is missing.

    Notes
    -----
    A restarted process has lost its tables of attempts. Without this check, an
    attempt that was revoked at the previous incarnation could start here.
    """
    requested = headers.get(INCARNATION)
    if requested is None:
        detail = f"internal request header {INCARNATION} is missing"
        raise MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail)
    if requested != f"{incarnation:016x}":
        detail = (
            f"request is addressed to incarnation {requested!r}; this process is "
            f"incarnation {incarnation:016x}"
        )
        raise MagnoliagradeError(ErrorKind.NOT_RUN, detail, retry_after=1)


def write_request_headers(
    request, *, attempt, entry, incarnation, now, forwarded_from="", resume_tokens=0
):
    """Return the headers of a request to an agent or a peer entry.

    Parameters
    ----------
    request : Request
        Request to send.
    attempt : str
        Id of this attempt.
    entry : str
        Name of the sending entry.
    incarnation : int
        Incarnation of the receiver that the request is meant for.
    now : float
        Monotonic time of this process in seconds; the deadline is sent as the time
        left.
    forwarded_from : str
        Data centre of this entry if the receiver is a peer entry, else empty.
    resume_tokens : int
        Number of tokens that the caller already has; the stream resumes after them.

    Returns
    -------
    header_by_name : dict of str to str
        End-to-end and internal headers.
    """
    fields = {
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
    header_by_name[_REQUEST] = _as_header_value(fields)
    return header_by_name


def read_request_headers(headers, *, method, path, body, now):
    """Return the request that another process of this system sent.

    Parameters
    ----------
    headers : mapping of str to str
        Headers as received.
    method : str
        HTTP method.
    path : str
        Path with its query string.
    body : bytes
        Body of the request.
    now : float
        Monotonic time of this process in seconds.

    Returns
    -------
    request : Request
        The request, with its deadline on the clock of this process.

    Raises
    ------
    MagnoliagradeError
        `INVALID_REQUEST` if the internal headers are missing or malformed.
    """
    try:
        _check_attempt_headers(headers)
        fields = json.loads(headers[_REQUEST])
        return Request(
            id=fields["id"],
            organisation=fields["organisation"],
            application=fields["application"],
            method=method,
            path=path,
            header_by_name=end_to_end_headers(headers),
            body=body,
            labels=fields["labels"],
            repeatable=fields["repeatable"],
            streaming=fields["streaming"],
            idempotency_key=fields["key"],
            priority=fields["priority"],
            deadline=now + fields["left_s"],
            prompt_tokens=fields["prompt_tokens"],
            output_tokens=fields["output_tokens"],
            prefix_hash=fields["prefix_hash"],
            forwarded_from=fields["forwarded_from"],
            forwarded_attempt=headers[ATTEMPT],
        )
    except (KeyError, ValueError, TypeError) as exc:
        detail = f"internal request headers are malformed: {exc!r}"
        raise MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail) from exc


def _check_attempt_headers(headers):
    """Raise KeyError or ValueError if an attempt header is absent or malformed."""
    for name in (ATTEMPT, ENTRY):
        if not headers[name]:
            raise ValueError(f"{name} is empty")
    if int(headers.get(RESUME_TOKENS, "0")) < 0:
        raise ValueError(f"{RESUME_TOKENS} is negative")


def _as_header_value(fields):
    # JSON escapes all control characters except DEL, which headers forbid too.
    return json.dumps(fields, separators=(",", ":")).replace("\x7f", "\\u007f")
