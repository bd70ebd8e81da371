"""Header names of the platform and what callers and endpoints say in them."""

from multidict import CIMultiDict

from magnoliagrade.http.headers import HOP_BY_HOP

__all__ = [
    "deadline_of",
    "endpoint_headers",
    "event_id_of",
    "has_not_run",
    "is_group_broken",
    "is_replaced",
    "api_key_of",
    "request_id_of",
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
AT_SERVER = "At-Server"
LAST_EVENT_ID = "Last-Event-Id"
_BEARER = "bearer "
# Headers that end here: of one connection, of the caller's identity, or set anew.
_ENDING_HERE = frozenset(
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


def request_id_of(headers):
    """Return the caller's id of a request, or an empty text."""
    return headers.get(REQUEST_ID, "")


def deadline_of(headers):
    """Return how many seconds the caller waits, or None if it does not say."""
    value = headers.get(DEADLINE_MS, "")
    try:
        milliseconds = float(value)
    except ValueError:
        return None
    return milliseconds / 1000 if 0 <= milliseconds < float("inf") else None


def api_key_of(headers):
    """Return the caller's key, or an empty text."""
    value = headers.get("Authorization", "")
    if not value.lower().startswith(_BEARER):
        return ""
    return value[len(_BEARER) :].strip()


def event_id_of(headers):
    """Return the id of the last event that the caller has, or an empty text."""
    return headers.get(LAST_EVENT_ID, "")


def endpoint_headers(headers, *, endpoint_id, organisation, deadline_s, last_event_id):
    """Return the headers of a request at an endpoint.

    Parameters
    ----------
    headers : multidict
        The caller's headers.
    endpoint_id : str
        Incarnation that has to answer.
    organisation : str
        Organisation that the caller's key belongs to; empty without one.
    deadline_s : float
        Seconds that are left.
    last_event_id : str
        Event after which a stream goes on; empty for its beginning.
    """
    named = _named_by_connection(headers)
    kept = CIMultiDict(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in _ENDING_HERE and name.lower() not in named
    )
    kept[DEADLINE_MS] = str(max(1, int(deadline_s * 1000)))
    kept[EXPECT_INSTANCE] = endpoint_id
    if organisation:
        kept[TENANT] = organisation
    if last_event_id:
        kept[LAST_EVENT_ID] = last_event_id
    return kept


def response_headers(headers):
    """Return the headers of an endpoint's response that the caller gets."""
    named = _named_by_connection(headers)
    return CIMultiDict(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in HOP_BY_HOP and name.lower() not in named
    )


def response_identity(headers):
    """Return the request id and the signature that a response bears."""
    return headers.get(REQUEST_ID, ""), headers.get(STAMP, "")


def has_not_run(status, headers):
    """Return whether an endpoint says that it did not run the request."""
    return status == 421 or NOT_EXECUTED in headers


def is_replaced(status, endpoint_id, headers):
    """Return whether another incarnation than the expected one has refused."""
    return status == 421 and not is_group_broken(endpoint_id, headers)


def is_group_broken(endpoint_id, headers):
    """Return whether a refusal blames another rank than the endpoint itself."""
    return headers.get(AT_SERVER, endpoint_id) != endpoint_id


def _named_by_connection(headers):
    return {
        name.strip().lower()
        for value in headers.getall("Connection", ())
        for name in value.split(",")
    }
