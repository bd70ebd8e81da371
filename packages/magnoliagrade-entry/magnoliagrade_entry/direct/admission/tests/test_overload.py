"""Tests of queueing and rejection, with simulations of their load patterns."""

import heapq
import random
from dataclasses import dataclass

from magnoliagrade.world.site import RouteKind, ServiceRoute

from magnoliagrade_entry.direct.admission.overload import (
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

    @property
    def urgency(self):
        return self.priority, self.priority


def test_wait_order_meets_the_objective_more_often_than_oldest_first():
    def oldest_first(request, _now):
        return request.arrived_at

    share = _share_in_objective(wait_order)
    baseline = _share_in_objective(oldest_first)
    assert baseline < 0.25
    assert share > 0.6


def test_retry_after_of_an_outage_brings_callers_back_after_its_end():
    # Callers retry once during or after an outage of 5 s whose end is not known.
    def early(_remaining_s, rng):
        return rng.uniform(0.1, 0.4)

    def by_remaining_time(remaining_s, rng):
        return retry_after_s(remaining_s, remaining_s, rng=rng)

    assert _served_after_outage(early) < 0.1
    assert _served_after_outage(by_remaining_time) > 0.49


def test_predicted_wait_is_short_with_requests_in_flight_but_few_completions():
    # Right after an outage, ten requests that take two seconds have just begun.
    assert predicted_wait_s(3, completion_rate(0.5, 10, 2.0)) < 1.0
    assert predicted_wait_s(3, completion_rate(0.5, 0, 0.0)) > 5.0


def test_retry_after_has_jitter():
    rng = random.Random(3)
    delays = [retry_after_s(1.0, 9.0, rng=rng) for _ in range(200)]
    assert max(delays) - min(delays) > 0.3
    assert max(delays) <= 3.0


def test_longest_retry_after_has_jitter():
    rng = random.Random(3)
    delays = [retry_after_s(8.0, 8.0, rng=rng) for _ in range(200)]
    assert max(delays) - min(delays) > 0.15
    assert max(delays) <= 8.0 / 3


def test_slot_deadline_is_before_the_stream_timeout_of_the_caller():
    request = Arrival(arrived_at=10.0, ends_at=18.0)
    assert slot_deadline(request) == 10.0 + 2.0 - FIRST_EVENT_S
    assert slot_deadline(request, last_event_at=13.0) == 13.0 + 2.0 - FIRST_EVENT_S


def test_predicted_wait_grows_with_the_queue():
    assert predicted_wait_s(9, 10.0) == 1.0
    assert predicted_wait_s(9, 0.0) == 0.0


def _share_in_objective(order):
    """Return the share of requests that meet the objective in a simulated overload.

    For 20 s, requests arrive at 1.25 times the rate that 30 slots complete, with 1 s
    of work for each request.
    """
    rng = random.Random(1)
    slots, work_s, rate = 30, 1.0, 37.5
    arrivals = []
    at = 0.0
    while at < 20.0:
        at += rng.expovariate(rate)
        arrivals.append(Arrival(arrived_at=at, ends_at=at + 8.0))
    running = []
    waiting = []
    good = 0
    events = [(a.arrived_at, 0, i) for i, a in enumerate(arrivals)]
    heapq.heapify(events)
    while events:
        now, kind, index = heapq.heappop(events)
        if kind == 0:
            waiting.append(arrivals[index])
        else:
            running.pop()
        waiting = [a for a in waiting if slot_deadline(a) > now]
        while waiting and len(running) < slots:
            first = min(waiting, key=lambda a: order(a, now))
            waiting.remove(first)
            running.append(first)
            heapq.heappush(events, (now + work_s, 1, 0))
            good += now + FIRST_EVENT_S <= first.arrived_at + OBJECTIVE_S
    return good / len(arrivals)


def _served_after_outage(retry_after):
    """Return the share of callers whose retry comes after the end of the outage."""
    rng = random.Random(2)
    outage_s = 5.0
    arrivals = [rng.uniform(0, outage_s) for _ in range(1000)]
    served = sum(at + retry_after(8.0, rng) >= outage_s for at in arrivals)
    return served / len(arrivals)
