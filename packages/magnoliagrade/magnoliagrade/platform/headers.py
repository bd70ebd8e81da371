"""Headers of the platform: reading callers' and endpoints', making forwarded ones."""

import math
import re
from dataclasses import dataclass

from multidict import CIMultiDict

from magnoliagrade.http.headers import HOP_BY_HOP

__all__ = [
    "EndpointNotice",
    "deadline_of",
    "endpoint_headers",
    "event_id_of",
    "has_not_run",
    "is_group_broken",
    "is_replaced",
    "api_key_of",
    "notice_of",
    "prompt_ids_of",
    "prompt_parts_of",
    "request_id_of",
    "requested_pause_s",
    "response_headers",
    "response_identity",
]

REQUEST_ID = "X-Magnoliagrade-Request-Id"
DEADLINE_MS = "X-Magnoliagrade-Deadline-Ms"
TENANT = "X-Magnoliagrade-Tenant"
EXPECT_INSTANCE = "X-Magnoliagrade-Expect-Instance"
EXPECT_VERSION = "X-Magnoliagrade-Expect-Version"
REQUEST_PRIORITY = "X-Magnoliagrade-Request-Priority"
STAMP = "X-Magnoliagrade-Response-Stamp"
NOT_EXECUTED = "X-Magnoliagrade-Not-Executed"
PROMPT_PREFIX = "X-Magnoliagrade-Prompt-Prefix"
AT_SERVER = "At-Server"
SERVER_LEAVING = "Server-Leaving"
SERVER_LIMIT = "Server-Limit"
LAST_EVENT_ID = "Last-Event-Id"
# Priority that endpoints admit last.
LEAST_URGENT = 9
_BEARER = "bearer "
_PART_ID = re.compile(r"[0-9a-fA-F]{1,64}")
# Headers of a caller that are not forwarded: they belong to one connection, identify
# the caller, or are set again for the endpoint.
_NOT_FORWARDED = frozenset(
    HOP_BY_HOP - {"host"}
    | {"authorization"}
    | {
        name.lower()
        for name in (
            DEADLINE_MS,
            TENANT,
            EXPECT_INSTANCE,
            EXPECT_VERSION,
            REQUEST_PRIORITY,
            LAST_EVENT_ID,
        )
    }
)


@dataclass(slots=True, kw_only=True)
class EndpointNotice:
    """What an endpoint says of itself in the headers of a response.

    Parameters
    ----------
    is_leaving : bool
        Whether it is about to leave.
    limit_per_s : float or None
        Requests per second that it takes from all entries together; infinite without a
        limit, None if the value cannot be read.
    """

    is_leaving: bool
    limit_per_s: float | None


def request_id_of(headers):
    """Return the request id that the caller has chosen, or an empty string."""
    return headers.get(REQUEST_ID, "")


def deadline_of(headers):
    """Return the caller's time-out in seconds, or None without a valid header."""
    value = headers.get(DEADLINE_MS, "")
    try:
        milliseconds = float(value)
    except ValueError:
        return None
    return milliseconds / 1000 if 0 <= milliseconds < float("inf") else None


def api_key_of(headers):
    """Return the caller's API key (bearer token), or an empty string."""
    value = headers.get("Authorization", "")
    if not value.lower().startswith(_BEARER):
        return ""
    return value[len(_BEARER) :].strip()


def event_id_of(headers):
    """Return the id of the last event that the caller received, or an empty string."""
    return headers.get(LAST_EVENT_ID, "")


def prompt_parts_of(headers):
    """Return the ids of the prompt's parts that other requests may share, in order.

    The header lists the parts as ID:TOKENS; the last one belongs to the request itself
    or to its session. Ids that are not hexadecimal numbers are left out.
    """
    entries = headers.get(PROMPT_PREFIX, "").split(",")[:-1]
    parts = (entry.partition(":")[0].strip() for entry in entries)
    return tuple(part for part in parts if _PART_ID.fullmatch(part))


def prompt_ids_of(headers):
    """Return the ids of all parts of the prompt as the caller lists them, or empty."""
    return headers.get(PROMPT_PREFIX, "")


def endpoint_headers(
    headers, *, endpoint_id, organisation, deadline_s, last_event_id, priority=None
):
    """Return the headers of a caller's request as it is forwarded to an endpoint.

    Parameters
    ----------
    headers : multidict
        The caller's headers.
    endpoint_id : str
        Id of the incarnation that must serve the request; any other rejects it.
    organisation : str
        Organisation that the caller's key belongs to; empty without one.
    deadline_s : float
        Seconds until the deadline.
    last_event_id : str
        Event after which a stream resumes; empty to start it at the beginning.
    priority : int, optional
        Priority by which the endpoint admits waiting requests, 0 first; the endpoint's
        default by default.
    """
    connection_options = _connection_options(headers)
    forwarded = CIMultiDict(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in _NOT_FORWARDED and name.lower() not in connection_options
    )
    forwarded[DEADLINE_MS] = str(max(1, int(deadline_s * 1000)))
    forwarded[EXPECT_INSTANCE] = endpoint_id
    if organisation:
        forwarded[TENANT] = organisation
    if last_event_id:
        forwarded[LAST_EVENT_ID] = last_event_id
    if priority is not None:
        forwarded[REQUEST_PRIORITY] = str(min(max(0, priority), LEAST_URGENT))
    return forwarded


def response_headers(headers):
    """Return the headers of an endpoint's response that are forwarded to the caller."""
    connection_options = _connection_options(headers)
    return CIMultiDict(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in HOP_BY_HOP and name.lower() not in connection_options
    )


def response_identity(headers):
    """Return the request id and the signature of an endpoint's response."""
    return headers.get(REQUEST_ID, ""), headers.get(STAMP, "")


def has_not_run(status, headers):
    """Return whether a response states that the endpoint did not run the request."""
    return status == 421 or NOT_EXECUTED in headers


def is_replaced(status, endpoint_id, headers):
    """Return whether another incarnation than the expected one rejected a request."""
    return status == 421 and not is_group_broken(endpoint_id, headers)


def is_group_broken(endpoint_id, headers):
    """Return whether a rejection names a rank other than the endpoint as its cause."""
    return headers.get(AT_SERVER, endpoint_id) != endpoint_id


def notice_of(status, headers):
    """Return the `EndpointNotice` of a response, or None.

    None means that another incarnation than the expected one has responded.
    """
    if status == 421:
        return None
    return EndpointNotice(
        is_leaving=headers.get(SERVER_LEAVING) == "1",
        limit_per_s=_limit_per_s(headers.get(SERVER_LIMIT)),
    )


def requested_pause_s(status, headers):
    """Return for how many seconds a rejection asks for no further requests, or 0."""
    if status != 503:
        return 0.0
    try:
        pause_s = float(headers.get("Retry-After", ""))
    except ValueError:
        return 0.0
    return pause_s if 0 < pause_s < float("inf") else 0.0


def _limit_per_s(value):
    if value is None:
        return math.inf
    try:
        limit_per_s = float(value)
    except ValueError:
        return None
    return limit_per_s if limit_per_s >= 0 else None


def _connection_options(headers):
    return {
        name.strip().lower()
        for value in headers.getall("Connection", ())
        for name in value.split(",")
    }
