from types import SimpleNamespace

from magnoliagrade.world.site import (
    RouteKind,
    ServiceRoute,
    ServiceShare,
    SiteConfiguration,
    SiteOrganisation,
)

from magnoliagrade_entry.direct.knowledge.urgency import (
    LEAST_URGENT_LEVEL,
    urgency_levels,
)


def test_services_whose_routes_differ_in_priority_have_levels():
    routes = [_route("model", 0), _route("model", 2), _route("plain", 2)]
    levels = urgency_levels(_configuration(routes))
    assert levels == {"model": {(0, 0): 0, (2, 2): LEAST_URGENT_LEVEL}}


def test_services_with_one_priority_have_no_levels():
    routes = [_route("model", 1), _route("model", 1), _route("plain", 2)]
    assert urgency_levels(_configuration(routes)) == {}


def test_priorities_of_organisations_have_precedence_over_those_of_routes():
    routes = [_route("model", 0), _route("model", 2), _route("plain", 2)]
    urgent = SiteOrganisation(name="a", priority=0)
    alike = SiteOrganisation(name="b", priority=0)
    later = SiteOrganisation(name="d", priority=1)
    other = SiteOrganisation(name="c")
    levels = urgency_levels(_configuration(routes, {"1": urgent, "2": later}))
    assert sorted(levels["model"], key=levels["model"].get) == [
        (0, 0),
        (0, 2),
        (1, 0),
        (1, 2),
    ]
    assert urgency_levels(_configuration(routes[1:], {"1": urgent, "2": alike})) == {}
    levels = urgency_levels(_configuration(routes, {"1": urgent, "3": other}))
    assert levels.keys() == {"model", "plain"}


def test_routes_order_the_requests_of_organisations_of_one_priority():
    # All organisations have priority 1, so that only the routes tell urgent requests.
    routes = [_route("model", 0), _route("model", 1), _route("model", 2)]
    organisations = {
        f"key-{n}": SiteOrganisation(name=f"{n}", priority=1) for n in "ab"
    }
    levels = urgency_levels(_configuration(routes, organisations))["model"]
    assert levels[1, 0] < levels[1, 1] < levels[1, 2] == LEAST_URGENT_LEVEL


def test_more_urgencies_than_levels_keep_their_order():
    routes = [_route("model", priority) for priority in range(30)]
    levels = urgency_levels(_configuration(routes))["model"]
    in_order = [levels[priority, priority] for priority in range(30)]
    assert in_order == sorted(in_order)
    assert {*in_order} == {*range(LEAST_URGENT_LEVEL + 1)}


def test_public_routes_keep_their_priority():
    urgent = SiteOrganisation(name="a", priority=0)
    public = _route("plain", 2)
    public.is_public = True
    routes = [_route("model", 1), public]
    levels = urgency_levels(_configuration(routes, {"1": urgent}))
    assert levels == {"plain": {(0, 2): 0, (2, 2): LEAST_URGENT_LEVEL}}


def test_share_without_weight_does_not_count():
    route = _route("model", 0)
    route.shares.append(ServiceShare(service="plain", weight=0.0))
    configuration = _configuration([route, _route("plain", 2)])
    assert urgency_levels(configuration) == {}


def _configuration(routes, organisation_by_key=None):
    return SiteConfiguration(
        version=1,
        routes=routes,
        service_by_name=dict.fromkeys(("model", "plain"), SimpleNamespace()),
        organisation_by_key=organisation_by_key,
    )


def _route(service, priority):
    return ServiceRoute(
        name=f"{service}-{priority}",
        host="a",
        prefix="/",
        kind=RouteKind.STREAM,
        shares=[ServiceShare(service=service, weight=1.0)],
        timeout_s=8.0,
        objective_s=0.4,
        priority=priority,
    )
