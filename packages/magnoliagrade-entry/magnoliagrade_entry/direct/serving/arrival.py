"""Validation of callers' HTTP requests."""

import asyncio
import contextlib
from dataclasses import dataclass

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.platform import (
    api_key_of,
    deadline_of,
    event_id_of,
    prompt_ids_of,
    prompt_parts_of,
    request_id_of,
)
from magnoliagrade.world.site import ServiceRoute, SiteOrganisation

__all__ = ["DirectRequest", "read_request"]

# Part of the bound on revoked keys (setting `revoke_ms`) that is reserved for the
# work after the check of the key.
REVOKE_MARGIN_S = 0.1
# With a configuration confirmed longer ago than this, an unknown key or route gets a
# 503 instead of 401 or 404, because a newer configuration may contain it. Two
# confirmations are up to two waits of the store watch, of 1.5 s each, apart.
DENIAL_MAX_AGE_S = 3.5
# Retry-After of rejections that end once the store responds again.
STORE_RETRY_S = 1.0
# Time after the start that requests wait for the first configuration. Reading it takes
# about 0.1 s, and a few hundred ms while the store is slow. Callers wait for at least a
# third of a second.
CONFIGURATION_WAIT_S = 0.4
# Highest priority with a label of its own in metrics, which bounds their number.
LAST_PRIORITY_LABEL = 9
# Time until the deadline of requests whose caller sets none.
DEFAULT_DEADLINE_S = 30.0


@dataclass(slots=True, kw_only=True)
class DirectRequest:
    """A validated request that may be sent to endpoints.

    Parameters
    ----------
    id : str
        Request id that the caller set.
    method, target : str
        Method and request target as sent.
    headers : multidict
        The caller's headers.
    body : bytes or None
        Body; None without one.
    route : ServiceRoute
        Route.
    service : str
        Service picked among the route's weighted shares.
    organisation : SiteOrganisation or None
        Organisation that the request's key belongs to; None for public requests, and
        for all requests if the configuration lists no organisations.
    arrived_at, ends_at : float
        Time of arrival and deadline of the response, in seconds of the monotonic clock.
    last_event_id : str
        Id of the event after which its stream resumes; empty to start a new one.
    prompt_ids : str
        Ids of all parts of its prompt as the caller lists them; empty without a prompt.
    prompt_parts : tuple of str
        Ids of the parts of its prompt that other requests may share.
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
    prompt_ids: str = ""
    prompt_parts: tuple = ()

    @property
    def priority(self):
        """Priority of its organisation, else of its route; 0 is served first."""
        if self.organisation is not None and self.organisation.priority is not None:
            return self.organisation.priority
        return self.route.priority

    @property
    def urgency(self):
        """Sort key of the request's urgency; the smallest is served first.

        The priority of the route orders requests whose organisations have the same one.
        """
        return self.priority, self.route.priority

    @property
    def priority_label(self):
        """Priority of its route as the label of a metric, with one value from 9 on.

        Organisations mostly have the same priority, which tells no requests apart.
        """
        return str(min(max(0, int(self.route.priority)), LAST_PRIORITY_LABEL))


async def read_request(node, http_request):
    """Return the validated request of a caller.

    Parameters
    ----------
    node : DirectEntry
        The entry.
    http_request : aiohttp.web.BaseRequest
        The request as received.

    Raises
    ------
    MagnoliagradeError
        If the request cannot be served.
    """
    arrived_at = node.clock.monotonic()
    if node.rejects_requests:
        raise node.shutdown.error("it accepts no further requests")
    headers = http_request.headers
    target = http_request.raw_path
    if not target.startswith("/"):
        raise MagnoliagradeError(
            ErrorKind.INVALID_REQUEST, "the request target does not begin with a slash"
        )
    site_state = node.site_state
    if site_state.configuration is None:
        await _await_configuration(node)
    if site_state.configuration is None:
        raise MagnoliagradeError(
            ErrorKind.NOT_RUN,
            "no configuration has been received yet",
            retry_after=STORE_RETRY_S,
        )
    route = site_state.route_table.find(headers.get("Host", ""), target)
    if route is None:
        raise _denial_error(
            node, ErrorKind.NO_ROUTE, "no route matches this host and path"
        )
    organisation = _authenticate(node, headers, route)
    wait_s = deadline_of(headers)
    if wait_s is None:
        wait_s = DEFAULT_DEADLINE_S
    ends_at = arrived_at + min(wait_s, route.timeout_s)
    _check_shutdown(node, route, ends_at)
    body = await _read_body(node, http_request, ends_at - arrived_at)
    _check_shutdown(node, route, ends_at)
    return DirectRequest(
        id=request_id_of(headers),
        method=http_request.method,
        target=target,
        headers=headers,
        body=body,
        route=route,
        service=_pick_service(route, node.rng),
        organisation=organisation,
        arrived_at=arrived_at,
        ends_at=ends_at,
        last_event_id=event_id_of(headers) if route.is_stream else "",
        prompt_ids=prompt_ids_of(headers),
        prompt_parts=prompt_parts_of(headers),
    )


async def _await_configuration(node):
    """Wait for the first configuration if this process has just started."""
    remaining_s = node.started_at + CONFIGURATION_WAIT_S - node.clock.monotonic()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(max(0.0, remaining_s)):
            await node.configured.wait()


def _authenticate(node, headers, route):
    by_key = node.site_state.configuration.organisation_by_key
    if by_key is None:
        return None
    key = api_key_of(headers)
    if route.is_public and key not in by_key:
        return None
    limit_s = node.settings.revoke_ms / 1000 - REVOKE_MARGIN_S
    age_s = node.site_state.age_s()
    if age_s > limit_s:
        raise MagnoliagradeError(
            ErrorKind.STORE_UNAVAILABLE,
            f"API keys were last confirmed {age_s:.1f} s ago, limit {limit_s:.1f} s",
            retry_after=STORE_RETRY_S,
        )
    if key not in by_key:
        raise _denial_error(node, ErrorKind.UNAUTHENTICATED, "unknown API key")
    return by_key[key]


def _denial_error(node, kind, detail):
    """Return a denial, or a 503 if the configuration may be outdated."""
    age_s = node.site_state.age_s()
    if age_s <= DENIAL_MAX_AGE_S:
        return MagnoliagradeError(kind, detail)
    return MagnoliagradeError(
        ErrorKind.STORE_UNAVAILABLE,
        f"{detail}, but the configuration was last confirmed {age_s:.1f} s ago",
        retry_after=STORE_RETRY_S,
    )


def _check_shutdown(node, route, ends_at):
    node.shutdown.check(route.name, is_repeatable=route.is_idempotent, ends_at=ends_at)


async def _read_body(node, http_request, limit_s):
    if not http_request.body_exists and "Content-Length" not in http_request.headers:
        return None
    try:
        async with (
            node.shutdown.time_limit() as shutdown_limit,
            asyncio.timeout(max(0.0, limit_s)),
        ):
            return await http_request.read()
    except TimeoutError:
        if shutdown_limit.expired():
            raise node.shutdown.error("the request body is not complete") from None
        raise MagnoliagradeError(
            ErrorKind.INVALID_REQUEST,
            f"the request body did not arrive within {limit_s:.2f} s, its deadline",
        ) from None


def _pick_service(route, rng):
    shares = [share for share in route.shares if share.weight > 0]
    if not shares:
        raise MagnoliagradeError(
            ErrorKind.NOT_RUN,
            f"route {route.name!r} sends no requests to any service: "
            f"{len(route.shares)} shares, none above 0",
            retry_after=STORE_RETRY_S,
        )
    if len(shares) == 1:
        return shares[0].service
    picked = rng.choices(shares, weights=[share.weight for share in shares])
    return picked[0].service
