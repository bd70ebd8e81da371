"""Order of the registrations of endpoints, independent of the store's revisions."""

__all__ = ["RegistrationOrders"]

# Number of endpoints that have ended whose order is kept; more than start and end
# within the seconds that the store may lose.
MAX_ENDED = 1000


class RegistrationOrders:
    """Newest known registration of each endpoint, also of those that have ended.

    A copy that the store returns from may list an endpoint as it was before its end.

    Examples
    --------
    >>> orders = RegistrationOrders()
    >>> orders.record("i-1", (0, 5))
    >>> orders.is_outdated("i-1", (0, 4)), orders.is_outdated("i-1", (0, 5))
    (True, False)
    >>> orders.end("i-1")
    >>> orders.is_outdated("i-1", (0, 5)), orders.is_outdated("i-1", (1, 0))
    (True, False)
    """

    __slots__ = ("_ended_order_by_id", "_order_by_id")

    def __init__(self):
        self._order_by_id = {}
        self._ended_order_by_id = {}

    def record(self, endpoint_id, order):
        """Record the order of an endpoint's registration."""
        self._order_by_id[endpoint_id] = order
        self._ended_order_by_id.pop(endpoint_id, None)

    def end(self, endpoint_id):
        """Record that an endpoint has ended with its last registration."""
        order = self._order_by_id.pop(endpoint_id, None)
        if order is None:
            return
        self._ended_order_by_id[endpoint_id] = order
        if len(self._ended_order_by_id) > MAX_ENDED:
            del self._ended_order_by_id[next(iter(self._ended_order_by_id))]

    def is_outdated(self, endpoint_id, order):
        """Return whether a registration is older than what is known of its endpoint."""
        if endpoint_id in self._ended_order_by_id:
            return order <= self._ended_order_by_id[endpoint_id]
        known = self._order_by_id.get(endpoint_id)
        return known is not None and order < known
