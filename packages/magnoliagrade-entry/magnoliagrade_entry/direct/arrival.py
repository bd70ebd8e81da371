"""From an HTTP request of a caller to a checked request."""

import asyncio
import contextlib
from dataclasses import dataclass

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.platform import api_key_of, deadline_of, event_id_of, request_id_of
from magnoliagrade.world.site import ServiceRoute, SiteOrganisation

__all__ = ["DirectRequest", "read_request"]

# Left of the bound on revoked keys for what happens after the check.
REVOKE_MARGIN_S = 0.1
# An entry that has heard nothing for so long answers 503 instead of saying that a key
# or route does not exist: a newer configuration may have it. Twice a watch's wait
# passes between two confirmations.
SURE_AGE_S = 3.5
# Sent with refusals that end once the store answers again.
STORE_RETRY_S = 1.0
# Sent by an entry that stops: another one takes the request at once.
LEAVING_RETRY_S = 0.05
# The first configuration is read within some 0.1 s of the start; the store takes up to
# some hundred ms on slow days. Callers wait for a third of a second at least.
FIRST_READ_S = 0.4
# Waited for where a caller names no deadline.
DEADLINE_DEFAULT_S = 30.0


@dataclass(slots=True, kw_only=True)
class DirectRequest:
    """A request that may be sent to endpoints.

    Parameters
    ----------
    id : str
        The caller's id of it.
    method, target : str
        Method and request target as sent.
    headers : multidict
        The caller's headers.
    body : bytes or None
        Body; None without one.
    route : ServiceRoute
        Route.
    service : str
        Service that was drawn for it.
    organisation : SiteOrganisation or None
        Whose key it bears.
    arrived_at, ends_at : float
        Time of arrival and time by which it is answered, in seconds.
    last_event_id : str
        Event after which its stream goes on.
    """

    id: str
    method: str
    target: str
    headers: object
    body: bytes | None
    route: ServiceRoute
    service: str
    organisation: SiteOrganisation | None
    arrived_at: float
    ends_at: float
    last_event_id: str = ""

    @property
    def priority(self):
        """Rank of the request; 0 goes first."""
        if self.organisation is not None and self.organisation.priority is not None:
            return self.organisation.priority
        return self.route.priority


async def read_request(node, http_request):
    """Return the checked request of a caller.

    Parameters
    ----------
    node : DirectEntry
        The entry.
    http_request : aiohttp.web.BaseRequest
        What arrived.

    Raises
    ------
    MagnoliagradeError
        If the request cannot be served.
    """
    arrived_at = node.clock.monotonic()
    if node.refuses_requests:
        raise MagnoliagradeError(
            ErrorKind.SHUTTING_DOWN,
            "the instance stops",
            retry_after=LEAVING_RETRY_S,
        )
    headers = http_request.headers
    target = http_request.raw_path
    if not target.startswith("/"):
        raise MagnoliagradeError(ErrorKind.INVALID_REQUEST, "the target is no path")
    knowledge = node.knowledge
    if knowledge.configuration is None:
        await _await_configuration(node)
    if knowledge.configuration is None:
        raise MagnoliagradeError(
            ErrorKind.NOT_RUN,
            "no configuration is known yet",
            retry_after=STORE_RETRY_S,
        )
    route = knowledge.route_table.find(headers.get("Host", ""), target)
    if route is None:
        raise _denial(node, ErrorKind.NO_ROUTE, "no route has this host and path")
    organisation = _organisation(node, headers, route)
    wait_s = deadline_of(headers)
    if wait_s is None:
        wait_s = DEADLINE_DEFAULT_S
    ends_at = arrived_at + min(wait_s, route.timeout_s)
    body = await _read_body(http_request, ends_at - arrived_at)
    return DirectRequest(
        id=request_id_of(headers),
        method=http_request.method,
        target=target,
        headers=headers,
        body=body,
        route=route,
        service=_draw_service(route, node.rng),
        organisation=organisation,
        arrived_at=arrived_at,
        ends_at=ends_at,
        last_event_id=event_id_of(headers) if route.is_stream else "",
    )


async def _await_configuration(node):
    """Wait for the first configuration, if this process has just started."""
    left_s = node.started_at + FIRST_READ_S - node.clock.monotonic()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(max(0.0, left_s)):
            await node.configured.wait()


def _organisation(node, headers, route):
    by_key = node.knowledge.configuration.organisation_by_key
    if by_key is None:
        return None
    key = api_key_of(headers)
    if route.is_public and key not in by_key:
        return None
    limit_s = node.settings.revoke_ms / 1000 - REVOKE_MARGIN_S
    age_s = node.knowledge.age_s()
    if age_s > limit_s:
        raise MagnoliagradeError(
            ErrorKind.STORE_UNAVAILABLE,
            f"keys were last confirmed {age_s:.1f} s ago",
            retry_after=STORE_RETRY_S,
        )
    if key not in by_key:
        raise _denial(node, ErrorKind.UNAUTHENTICATED, "the key is not known")
    return by_key[key]


def _denial(node, kind, detail):
    age_s = node.knowledge.age_s()
    if age_s <= SURE_AGE_S:
        return MagnoliagradeError(kind, detail)
    return MagnoliagradeError(
        ErrorKind.STORE_UNAVAILABLE,
        f"{detail}, but the configuration was last confirmed {age_s:.1f} s ago",
        retry_after=STORE_RETRY_S,
    )


async def _read_body(http_request, limit_s):
    if not http_request.body_exists and "Content-Length" not in http_request.headers:
        return None
    try:
        async with asyncio.timeout(max(0.0, limit_s)):
            return await http_request.read()
    except TimeoutError:
        raise MagnoliagradeError(
            ErrorKind.INVALID_REQUEST, "the body did not arrive before the deadline"
        ) from None


def _draw_service(route, rng):
    shares = route.shares
    if len(shares) == 1:
        return shares[0].service
    drawn = rng.choices(shares, weights=[share.weight for share in shares])
    return drawn[0].service
