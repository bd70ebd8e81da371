"""Weighted fair queue over flows."""

import heapq
import itertools
from dataclasses import dataclass, field

__all__ = ["FairQueue", "QueueItem"]

# Neither idle flows nor outdated heap entries are removed below this number, so that
# small queues spend no time on cleanups.
MIN_FLOWS_FOR_CLEANUP = 64


@dataclass(slots=True, kw_only=True, eq=False)
class QueueItem:
    """One item that waits in a fair queue.

    Parameters
    ----------
    flow : str
        Name of its flow.
    cost : float
        Cost of serving it; above 0.
    value : object
        Payload of the caller.
    priority : int
        Items of higher priority are served first within their flow.
    is_removed : bool
        Whether it is no longer in the queue.
    """

    flow: str
    cost: float
    value: object = None
    priority: int = 0
    is_removed: bool = False


@dataclass(slots=True, kw_only=True, eq=False)
class _Flow:
    # `start` is the virtual start time of the next item. `items` is a heap of (negated
    # priority, sequence number, item) that may still hold removed items. An entry of
    # the queue's heap is valid only if it has the current `version`.
    name: str
    weight: float
    start: float
    items: list = field(default_factory=list)
    count: int = 0
    cost: float = 0.0
    version: int = 0


class FairQueue:
    """Queue that serves items of many flows in proportion to the flows' weights.

    Attributes
    ----------
    cost : float
        Total cost of the waiting items.
    count : int
        Number of waiting items.
    virtual_time : float
        Virtual start time of the item taken last; never decreases.
    weight : float
        Total weight of the flows that have waiting items.

    Notes
    -----
    Start-time fair queueing [1]_: each flow has a virtual start time that advances by
    cost over weight with every item taken, and the flow with the earliest start time
    is served next. An idle flow resumes at the virtual time of the item taken last,
    so that idleness gives it no advantage. Each operation takes O(log n) for n flows
    and waiting items. A flow without items whose start time is not later than the
    virtual time is dropped by the next cleanup; a cleanup runs whenever the number of
    flows has doubled.

    References
    ----------
    .. [1] P. Goyal, H. Vin, H. Cheng, "Start-time fair queuing: a scheduling
       algorithm for integrated services packet switching networks", SIGCOMM 1996.

    Examples
    --------
    >>> queue = FairQueue()
    >>> for i in range(3):
    ...     _ = queue.push("large", 10, value=f"large {i}")
    >>> _ = queue.push("small", 10, value="small 0")
    >>> [queue.pop().value for _ in range(len(queue))]
    ['large 0', 'small 0', 'large 1', 'large 2']
    """

    __slots__ = (
        "_cleanup_flow_count",
        "_flow_by_name",
        "_heap",
        "_latest_start",
        "_sequence",
        "cost",
        "count",
        "virtual_time",
        "weight",
    )

    def __init__(self):
        self._flow_by_name = {}
        self._heap = []
        self._latest_start = 0.0
        self._sequence = itertools.count()
        self._cleanup_flow_count = MIN_FLOWS_FOR_CLEANUP
        self.cost = 0.0
        self.count = 0
        self.virtual_time = 0.0
        self.weight = 0.0

    def __len__(self):
        """Return the number of waiting items."""
        return self.count

    def push(self, flow, cost, *, value=None, weight=1.0, priority=0):
        """Add an item to a flow.

        Parameters
        ----------
        flow : str
            Name of the flow.
        cost : float
            Cost of serving the item; above 0.
        value : object
            Payload of the caller.
        weight : float
            Weight that the flow has from now on; above 0.
        priority : int
            Items of higher priority are served first within the flow.

        Returns
        -------
        item : QueueItem
            Added item, for `remove` and `take`.
        """
        item = QueueItem(flow=flow, cost=cost, value=value, priority=priority)
        state = self._flow_of(flow, weight)
        heapq.heappush(state.items, (-priority, next(self._sequence), item))
        state.count += 1
        state.cost += cost
        if state.count == 1:
            self.weight += state.weight
        self.count += 1
        self.cost += cost
        if state.count == 1:
            self._schedule(state)
        return item

    def remove(self, item):
        """Remove an item without serving it; the order of the others is unchanged."""
        if not item.is_removed:
            self._subtract(self._flow_by_name[item.flow], item)
            self._drop_idle_flows()

    def take(self, item):
        """Remove an item and charge its cost to its flow, whatever its position."""
        state = self._flow_by_name[item.flow]
        self.virtual_time = max(self.virtual_time, state.start)
        state.start += item.cost / state.weight
        self._latest_start = max(self._latest_start, state.start)
        self._subtract(state, item)
        if state.count:
            self._schedule(state)
        if not self.count:
            self.virtual_time = self._latest_start
        self._drop_idle_flows()

    def pop(self):
        """Remove and return the next item; None if the queue is empty."""
        heads = self.heads(1)
        if not heads:
            return None
        self.take(heads[0])
        return heads[0]

    def heads(self, count, *, slack=float("inf")):
        """Return the first items of the flows with the earliest start times.

        Parameters
        ----------
        count : int
            Maximum number of flows.
        slack : float
            Maximum difference in virtual start time to the first flow.

        Returns
        -------
        items : list of QueueItem
            At most one of each flow, in the order of service. O(count log n).
        """
        found = []
        popped = []
        while self._heap and len(found) < count:
            entry = heapq.heappop(self._heap)
            start, _, state, version = entry
            if version != state.version or not state.count:
                continue
            popped.append(entry)
            if start > popped[0][0] + slack:
                break
            found.append(_first_item(state))
        for entry in popped:
            heapq.heappush(self._heap, entry)
        return found

    def flow_cost(self, flow):
        """Return the total cost of the items that wait in a flow."""
        state = self._flow_by_name.get(flow)
        return state.cost if state else 0.0

    def flow_count(self, flow):
        """Return the number of items that wait in a flow."""
        state = self._flow_by_name.get(flow)
        return state.count if state else 0

    @property
    def flow_total(self):
        """Return the number of flows that the queue keeps, with or without items."""
        return len(self._flow_by_name)

    def _flow_of(self, name, weight):
        state = self._flow_by_name.get(name)
        if state is None:
            state = _Flow(name=name, weight=weight, start=self.virtual_time)
            self._flow_by_name[name] = state
        if not state.count:
            state.start = max(state.start, self.virtual_time)
        else:
            self.weight += weight - state.weight
        state.weight = weight
        return state

    def _schedule(self, state):
        state.version += 1
        entry = (state.start, next(self._sequence), state, state.version)
        heapq.heappush(self._heap, entry)
        if len(self._heap) > 2 * len(self._flow_by_name) + MIN_FLOWS_FOR_CLEANUP:
            self._heap = [e for e in self._heap if e[3] == e[2].version and e[2].count]
            heapq.heapify(self._heap)

    def _subtract(self, state, item):
        item.is_removed = True
        state.count -= 1
        state.cost -= item.cost
        self.count -= 1
        self.cost -= item.cost
        if not state.count:
            state.cost = 0.0
            state.items.clear()
            self.weight -= state.weight
        if not self.count:
            self.cost = 0.0
            self.weight = 0.0

    def _drop_idle_flows(self):
        # Amortised O(1): the next cleanup runs when the number of flows has doubled.
        if len(self._flow_by_name) < self._cleanup_flow_count:
            return
        now = self.virtual_time
        self._flow_by_name = {
            name: flow
            for name, flow in self._flow_by_name.items()
            if flow.count or flow.start > now
        }
        self._cleanup_flow_count = max(
            MIN_FLOWS_FOR_CLEANUP, 2 * len(self._flow_by_name)
        )


def _first_item(state):
    while state.items[0][2].is_removed:
        heapq.heappop(state.items)
    return state.items[0][2]
