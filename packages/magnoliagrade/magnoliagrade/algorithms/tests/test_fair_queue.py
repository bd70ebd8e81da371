from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliagrade.algorithms import FairQueue


def test_priority_orders_items_within_their_flow_only():
    queue = FairQueue()
    for i in range(4):
        queue.push("busy", 1, value=f"busy {i}", priority=100)
    queue.push("calm", 1, value="late", priority=-1)
    queue.push("calm", 1, value="soon", priority=5)
    order = [queue.pop().value for _ in range(4)]
    assert order == ["busy 0", "soon", "busy 1", "late"]


def test_flow_that_was_idle_is_not_served_ahead_of_others():
    queue = FairQueue()
    queue.push("steady", 1)
    queue.push("steady", 1)
    queue.push("returning", 1)
    queue.pop()
    queue.pop()
    for _ in range(10):
        queue.push("steady", 1)
        queue.pop()
    for _ in range(6):
        queue.push("returning", 1, value="returning")
        queue.push("steady", 1, value="steady")
    served = [queue.pop().value for _ in range(6)]
    assert served.count("returning") <= 4


def test_queue_keeps_at_most_128_flows_without_items():
    queue = FairQueue()
    for i in range(10_000):
        queue.push(f"flow {i}", 1)
        queue.pop()
    assert queue.flow_total <= 128


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    weights=st.lists(st.integers(1, 8), min_size=2, max_size=6),
    costs=st.lists(st.integers(1, 50), min_size=40, max_size=80),
)
def test_backlogged_flows_are_served_by_weight(weights, costs):
    queue = FairQueue()
    for flow, weight in enumerate(weights):
        for cost in costs:
            queue.push(flow, cost, weight=weight)
    served = [0.0] * len(weights)
    for _ in range(len(costs)):
        item = queue.pop()
        served[item.flow] += item.cost / weights[item.flow]
    # Fairness bound of start-time fair queueing: the largest item of each of two flows.
    assert max(served) - min(served) <= 2 * max(costs)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(0, 3), st.integers(1, 9), st.booleans())))
def test_totals_match_the_waiting_items_after_every_operation(steps):
    queue = FairQueue()
    waiting = []
    for flow, cost, removes in steps:
        waiting.append(queue.push(flow, cost))
        if removes:
            queue.remove(waiting.pop(cost % len(waiting)))
    assert len(queue) == len(waiting)
    assert queue.cost == sum(i.cost for i in waiting)
    while (item := queue.pop()) is not None:
        waiting.remove(item)
    assert not waiting and queue.weight == 0
