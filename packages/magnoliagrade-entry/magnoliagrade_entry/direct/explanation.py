"""Explanation of where an entry would send a request now, without sending it.

Nothing is changed: no random choice is made, and no slot, probe or permit is used.
"""

from aiohttp import web

from magnoliagrade_entry.direct.placement.endpoint_table import AVOID_PACE

__all__ = ["explain_request", "explain_routes"]


def explain_routes(node):
    """Return the admin route that explains requests.

    Parameters
    ----------
    node : DirectEntry
        The entry.
    """

    async def explain(request):
        query = request.query
        if not query.get("host") or not query.get("target", "").startswith("/"):
            return web.json_response(
                {"error": "expected a query with host and with target, a path"},
                status=400,
            )
        explanation = explain_request(
            node,
            host=query["host"],
            target=query["target"],
            organisation=query.get("organisation", ""),
        )
        return web.json_response(explanation)

    return [web.get("/explain", explain)]


def explain_request(node, *, host, target, organisation=""):
    """Return where a request would go now, and why, as values for JSON.

    Parameters
    ----------
    node : DirectEntry
        The entry.
    host, target : str
        Host and request target of the request.
    organisation : str
        Name of the organisation that sends it; empty for none.

    Returns
    -------
    explanation : dict
        Route, services with their weights, priority, and for each service the length of
        the queue, the decision and all endpoints with the reason why they cannot get
        the request, the most likely ones first.
    """
    site_state = node.site_state
    explanation = {
        "entry": node.settings.name,
        "data_centre": node.settings.data_centre,
        "version": site_state.version,
        "age_s": round(min(site_state.age_s(), 1e9), 3),
    }
    if site_state.configuration is None:
        return explanation | {"decision": "reject: no configuration has been received"}
    route = site_state.route_table.find(host, target)
    if route is None:
        return explanation | {"decision": "reject: no route matches host and path"}
    priority = _priority_of(site_state.configuration, route, organisation)
    explanation |= {
        "route": route.name,
        "kind": route.kind.value,
        "priority": priority,
        "objective_s": route.objective_s,
        "services": [
            _explain_service(node, share, (priority, route.priority))
            for share in route.shares
            if share.weight > 0
        ],
    }
    if not explanation["services"]:
        explanation["decision"] = "reject: the route sends no requests to any service"
    return explanation


def _priority_of(configuration, route, organisation):
    for known in (configuration.organisation_by_key or {}).values():
        if known.name == organisation and known.priority is not None:
            return known.priority
    return route.priority


def _explain_service(node, share, urgency):
    table = node.endpoint_table
    service = share.service
    now = node.clock.monotonic()
    context = table.context_of(service, now)
    rows = []
    for load in table.loads_of(service):
        reason = _reason_against(node, load, now)
        rows.append((bool(reason), context.load_cost(load), load, reason))
    rows.sort(key=lambda row: row[:2])
    waiting = len(node.wait_queue_of(service).waiters)
    free = [row for row in rows if not row[0]]
    return {
        "service": service,
        "weight": share.weight,
        "urgency_level": node.site_state.urgency_levels.get(service, {}).get(urgency),
        "waiting": waiting,
        "unseen_placements": {
            scope.value: round(unseen, 2)
            for scope, unseen in context.unseen_by_scope.items()
        },
        "decision": _decision(node, service, free, waiting),
        "endpoints": [_row(load, cost, reason, now) for _, cost, load, reason in rows],
    }


def _decision(node, service, free, waiting):
    if node.endpoint_table.outages.is_unavailable(service):
        return "reject or wait for the recovery: all groups of the service are out"
    if not free:
        return "wait: no endpoint may get a request now"
    if waiting:
        return f"wait: {waiting} requests wait already, the most urgent goes first"
    likely = free[0][2].endpoint.id
    return f"send to one of {len(free)} endpoints, most likely to {likely}"


def _reason_against(node, load, now):
    """Return why an endpoint cannot get a request now; empty if it can."""
    outages = node.endpoint_table.outages
    if outages.is_domain_unavailable(load.fault_domain):
        return f"group {load.group or 'unknown'} is out"
    if load.ejected_until > now:
        return f"ejected for {load.ejected_until - now:.2f} s"
    if load.paused_until > now:
        return f"asked for a pause of {load.paused_until - now:.2f} s"
    is_unknown = node.site_state.is_coldness_unknown()
    if load.available_at(now, is_coldness_unknown=is_unknown) > now:
        return "cold: the entry's share of its rate is used"
    if load.needs_permit(now):
        return f"needs a permit: it takes {load.limit_per_s:g} requests per second"
    if load.pace_at(now) >= AVOID_PACE:
        return f"slow: its passes take {load.pace_at(now):g} times the normal time"
    if load.in_flight >= load.endpoint.slots:
        return f"full: {load.in_flight} requests for {load.endpoint.slots} slots"
    return ""


def _row(load, cost, reason, now):
    return {
        "endpoint": load.endpoint.id,
        "data_centre": load.endpoint.data_centre,
        "group": load.group,
        "slots": load.endpoint.slots,
        "in_flight": load.in_flight,
        "own_in_flight": load.local_in_flight,
        "pace": load.pace_at(now),
        "cost": round(cost, 2),
        "reason_against": reason,
    }
