"""Services that requests of different urgency share.

Load pattern: a burst of less urgent requests fills the queues of the endpoints, and
more urgent requests wait behind them there.
"""

__all__ = ["ranked_services"]


def ranked_services(configuration):
    """Return the services whose requests differ in priority.

    Parameters
    ----------
    configuration : SiteConfiguration
        The configuration in force.

    Returns
    -------
    services : frozenset of str
        Services of routes with different priorities, and all services if an
        organisation overrides the priority of the routes.
    """
    organisations = (configuration.organisation_by_key or {}).values()
    if any(organisation.priority is not None for organisation in organisations):
        return frozenset(configuration.service_by_name)
    priorities_by_service = {}
    for route in configuration.routes:
        for share in route.shares:
            if share.weight > 0:
                priorities = priorities_by_service.setdefault(share.service, set())
                priorities.add(route.priority)
    return frozenset(
        service
        for service, priorities in priorities_by_service.items()
        if len(priorities) > 1
    )
