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
        Services of which requests with different priorities are possible. The priority
        of an organisation overrides that of the route.
    """
    organisations = (configuration.organisation_by_key or {}).values()
    overriding = {o.priority for o in organisations if o.priority is not None}
    has_others = not overriding or any(o.priority is None for o in organisations)
    priorities_by_service = {}
    for route in configuration.routes:
        for share in route.shares:
            if share.weight <= 0:
                continue
            priorities = priorities_by_service.setdefault(
                share.service, set(overriding)
            )
            if has_others or route.is_public:
                priorities.add(route.priority)
    return frozenset(
        service
        for service, priorities in priorities_by_service.items()
        if len(priorities) > 1
    )
