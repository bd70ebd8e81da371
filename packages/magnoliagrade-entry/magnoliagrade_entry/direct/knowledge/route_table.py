"""Lookup of a request's route by host and longest path prefix."""

__all__ = ["RouteTable"]


class RouteTable:
    """Routes by host and prefix.

    Parameters
    ----------
    routes : list of ServiceRoute
        Routes; each prefix begins and ends with a slash.

    Examples
    --------
    >>> RouteTable(routes=[]).find("a.example", "/b/c") is None
    True
    """

    __slots__ = ("_route_by_prefix_by_host",)

    def __init__(self, *, routes):
        self._route_by_prefix_by_host = {}
        for route in routes:
            by_prefix = self._route_by_prefix_by_host.setdefault(route.host, {})
            by_prefix[route.prefix] = route

    def find(self, host, path):
        """Return the route whose prefix is the longest match of a path, or None.

        Parameters
        ----------
        host : str
            Value of the `Host` header.
        path : str
            Path, with or without a query.
        """
        by_prefix = self._route_by_prefix_by_host.get(_host_without_port(host))
        if by_prefix is None:
            return None
        rest = path.partition("?")[0]
        end = rest.rfind("/")
        while end >= 0:
            route = by_prefix.get(rest[: end + 1])
            if route is not None:
                return route
            end = rest.rfind("/", 0, end)
        return None


def _host_without_port(host):
    name, colon, port = host.lower().rpartition(":")
    return name if colon and port.isdigit() else host.lower()
