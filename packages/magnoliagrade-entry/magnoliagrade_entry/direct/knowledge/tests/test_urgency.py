from types import SimpleNamespace

from magnoliagrade.world.site import (
    RouteKind,
    ServiceRoute,
    ServiceShare,
    SiteConfiguration,
    SiteOrganisation,
)

from magnoliagrade_entry.direct.knowledge.urgency import ranked_services


def test_services_whose_routes_differ_in_priority_are_ranked():
    routes = [_route("model", 0), _route("model", 2), _route("plain", 2)]
    assert ranked_services(_configuration(routes)) == {"model"}


def test_services_with_one_priority_are_not_ranked():
    routes = [_route("model", 1), _route("model", 1), _route("plain", 2)]
    assert ranked_services(_configuration(routes)) == frozenset()


def test_priorities_of_organisations_override_those_of_routes():
    routes = [_route("model", 0), _route("model", 2), _route("plain", 2)]
    urgent = SiteOrganisation(name="a", priority=0)
    alike = SiteOrganisation(name="b", priority=0)
    other = SiteOrganisation(name="c")
    assert not ranked_services(_configuration(routes, {"1": urgent, "2": alike}))
    ranked = ranked_services(_configuration(routes, {"1": urgent, "3": other}))
    assert ranked == {"model", "plain"}


def test_public_routes_keep_their_priority():
    urgent = SiteOrganisation(name="a", priority=0)
    public = _route("plain", 2)
    public.is_public = True
    routes = [_route("model", 1), public]
    assert ranked_services(_configuration(routes, {"1": urgent})) == {"plain"}


def test_share_without_weight_does_not_count():
    route = _route("model", 0)
    route.shares.append(ServiceShare(service="plain", weight=0.0))
    configuration = _configuration([route, _route("plain", 2)])
    assert ranked_services(configuration) == frozenset()


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
