"""Replays of the load patterns that waiting and turning away answer."""

import heapq
import random
from dataclasses import dataclass

from magnoliagrade.world.site import RouteKind, ServiceRoute

from magnoliagrade_entry.direct.overload import (
    FIRST_EVENT_S,
    completion_rate,
    predicted_wait_s,
    retry_after_s,
    slot_deadline,
    wait_order,
)

OBJECTIVE_S = 0.4
STREAM = ServiceRoute(
    name="s",
    host="a",
    prefix="/",
    kind=RouteKind.STREAM,
    shares=[],
    timeout_s=8.0,
    objective_s=OBJECTIVE_S,
)


@dataclass
class Arrival:
    arrived_at: float
    ends_at: float
    priority: int = 1

    @property
    def route(self):
        return STREAM


def test_lasting_overload_answers_more_within_the_objective_than_oldest_first():
    def oldest_first(request, _now):
        return request.arrived_at

    ours = _in_objective(wait_order)
    baseline = _in_objective(oldest_first)
    assert baseline < 0.25
    assert ours > 0.6


def test_callers_who_come_back_after_an_outage_are_served_once_it_is_over():
    # An outage of 5 s that nobody can foresee the end of; callers come back once.
    def soon(_left_s, rng):
        return rng.uniform(0.1, 0.4)

    def ours(remaining_s, rng):
        return retry_after_s(remaining_s, remaining_s, rng=rng)

    assert _served_after_outage(soon) < 0.1
    assert _served_after_outage(ours) > 0.49


def test_a_backlog_is_not_held_to_be_hopeless_because_nothing_was_completed_lately():
    # Right after an outage: ten requests that take two seconds have just begun.
    assert predicted_wait_s(3, completion_rate(0.5, 10, 2.0)) < 1.0
    assert predicted_wait_s(3, completion_rate(0.5, 0, 0.0)) > 5.0


def test_returns_are_spread():
    rng = random.Random(3)
    returns = [retry_after_s(1.0, 9.0, rng=rng) for _ in range(200)]
    assert max(returns) - min(returns) > 0.3
    assert max(returns) <= 3.0


def test_callers_who_are_told_to_come_back_as_late_as_they_can_do_not_come_at_once():
    rng = random.Random(3)
    returns = [retry_after_s(8.0, 8.0, rng=rng) for _ in range(200)]
    assert max(returns) - min(returns) > 0.15
    assert max(returns) <= 8.0 / 3


def test_waiting_ends_before_the_caller_of_a_stream_gives_up():
    request = Arrival(arrived_at=10.0, ends_at=18.0)
    assert slot_deadline(request) == 10.0 + 2.0 - FIRST_EVENT_S
    assert slot_deadline(request, last_event_at=13.0) == 13.0 + 2.0 - FIRST_EVENT_S


def test_wait_grows_with_the_queue():
    assert predicted_wait_s(9, 10.0) == 1.0
    assert predicted_wait_s(9, 0.0) == 0.0


def _in_objective(order):
    """Play 20 s of 1.25 times what 30 places of 1 s complete; return the share."""
    rng = random.Random(1)
    slots, work_s, rate = 30, 1.0, 37.5
    arrivals = []
    at = 0.0
    while at < 20.0:
        at += rng.expovariate(rate)
        arrivals.append(Arrival(arrived_at=at, ends_at=at + 8.0))
    ends = []
    waiting = []
    good = 0
    events = [(a.arrived_at, 0, i) for i, a in enumerate(arrivals)]
    heapq.heapify(events)
    while events:
        now, kind, index = heapq.heappop(events)
        if kind == 0:
            waiting.append(arrivals[index])
        else:
            ends.pop()
        waiting = [a for a in waiting if slot_deadline(a) > now]
        while waiting and len(ends) < slots:
            first = min(waiting, key=lambda a: order(a, now))
            waiting.remove(first)
            ends.append(first)
            heapq.heappush(events, (now + work_s, 1, 0))
            good += now + FIRST_EVENT_S <= first.arrived_at + OBJECTIVE_S
    return good / len(arrivals)


def _served_after_outage(retry_after):
    rng = random.Random(2)
    outage_s = 5.0
    arrivals = [rng.uniform(0, outage_s) for _ in range(1000)]
    served = sum(at + retry_after(8.0, rng) >= outage_s for at in arrivals)
    return served / len(arrivals)
