"""A weighted fair queue over flows."""

import heapq
import itertools
from dataclasses import dataclass, field

__all__ = ["FairQueue", "QueueItem"]

MIN_FLOWS_SWEPT = 64


@dataclass(slots=True, kw_only=True, eq=False)
class QueueItem:
    """One item that waits in a fair queue.

    Parameters
    ----------
    flow : str
        Name of the flow it belongs to.
    cost : float
        What it weighs; above 0.
    value : object
        What waits.
    priority : int
        Higher goes first within its flow.
    """

    flow: str
    cost: float
    value: object = None
    priority: int = 0
    is_removed: bool = False


@dataclass(slots=True, kw_only=True, eq=False)
class _Flow:
    name: str
    weight: float
    start: float
    items: list = field(default_factory=list)
    count: int = 0
    cost: float = 0.0
    version: int = 0


class FairQueue:
    """Items of many flows, served in proportion to the flows' weights.

    Attributes
    ----------
    cost : float
        What the waiting items weigh together.
    count : int
        Number of waiting items.
    virtual_time : float
        Start time of the newest item taken.
    weight : float
        Weights of the flows that have items, in all.

    Notes
    -----
    Start-time fair queueing [1]_: each flow has a virtual start time that moves on
    by cost over weight with every item taken, and the flow that is furthest back
    goes next. A flow that was idle starts at the virtual time of the newest item
    taken, so that it gains nothing from its idleness. Each operation takes
    O(log n) for n flows and items that wait; flows without items keep their start
    time only for as long as it lies ahead of the virtual time.

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
        "_flow_by_name",
        "_heap",
        "_newest_start",
        "_order",
        "_sweep_at",
        "cost",
        "count",
        "virtual_time",
        "weight",
    )

    def __init__(self):
        self._flow_by_name = {}
        self._heap = []
        self._newest_start = 0.0
        self._order = itertools.count()
        self._sweep_at = MIN_FLOWS_SWEPT
        self.cost = 0.0
        self.count = 0
        self.virtual_time = 0.0
        self.weight = 0.0

    def __len__(self):
        """Return the number of items that wait."""
        return self.count

    def push(self, flow, cost, *, value=None, weight=1.0, priority=0):
        """Add an item.

        Parameters
        ----------
        flow : str
            Flow of the item.
        cost : float
            What it weighs; above 0.
        value : object
            What waits.
        weight : float
            Weight of the flow from now on; above 0.
        priority : int
            Higher goes first within the flow.

        Returns
        -------
        item : QueueItem
            To remove it by.
        """
        item = QueueItem(flow=flow, cost=cost, value=value, priority=priority)
        state = self._flow_of(flow, weight)
        heapq.heappush(state.items, (-priority, next(self._order), item))
        state.count += 1
        state.cost += cost
        if state.count == 1:
            self.weight += state.weight
        self.count += 1
        self.cost += cost
        if state.count == 1:
            self._file(state)
        return item

    def remove(self, item):
        """Take an item out that no longer waits; the rest keep their places."""
        if not item.is_removed:
            self._discount(self._flow_by_name[item.flow], item)
            self._sweep()

    def take(self, item):
        """Take an item out as served, whatever its place."""
        state = self._flow_by_name[item.flow]
        self.virtual_time = max(self.virtual_time, state.start)
        state.start += item.cost / state.weight
        self._newest_start = max(self._newest_start, state.start)
        self._discount(state, item)
        if state.count:
            self._file(state)
        if not self.count:
            self.virtual_time = self._newest_start
        self._sweep()

    def pop(self):
        """Take the item out that is next; None if there is none."""
        heads = self.heads(1)
        if not heads:
            return None
        self.take(heads[0])
        return heads[0]

    def heads(self, count, *, slack=float("inf")):
        """Return the next items of the flows that are furthest back.

        Parameters
        ----------
        count : int
            How many flows to look at.
        slack : float
            How far in virtual time a flow may be ahead of the first.

        Returns
        -------
        items : list of QueueItem
            At most one of each flow, the next one first. O(count log n).
        """
        found = []
        seen = []
        while self._heap and len(found) < count:
            entry = heapq.heappop(self._heap)
            start, _, state, version = entry
            if version != state.version or not state.count:
                continue
            seen.append(entry)
            if start > seen[0][0] + slack:
                break
            found.append(_head_of(state))
        for entry in seen:
            heapq.heappush(self._heap, entry)
        return found

    def flow_cost(self, flow):
        """Return the cost that waits in a flow."""
        state = self._flow_by_name.get(flow)
        return state.cost if state else 0.0

    def flow_count(self, flow):
        """Return the number of items that wait in a flow."""
        state = self._flow_by_name.get(flow)
        return state.count if state else 0

    @property
    def flow_total(self):
        """Return the number of flows that the queue remembers."""
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

    def _file(self, state):
        state.version += 1
        entry = (state.start, next(self._order), state, state.version)
        heapq.heappush(self._heap, entry)
        if len(self._heap) > 2 * len(self._flow_by_name) + MIN_FLOWS_SWEPT:
            self._heap = [e for e in self._heap if e[3] == e[2].version and e[2].count]
            heapq.heapify(self._heap)

    def _discount(self, state, item):
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

    def _sweep(self):
        # Amortised O(1): the next sweep waits until the flows have doubled.
        if len(self._flow_by_name) < self._sweep_at:
            return
        now = self.virtual_time
        self._flow_by_name = {
            name: flow
            for name, flow in self._flow_by_name.items()
            if flow.count or flow.start > now
        }
        self._sweep_at = max(MIN_FLOWS_SWEPT, 2 * len(self._flow_by_name))


def _head_of(state):
    while state.items[0][2].is_removed:
        heapq.heappop(state.items)
    return state.items[0][2]
