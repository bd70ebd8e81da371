"""Placement by many entries whose reports of their work arrive late.

Each entry has a table of its own. Reports take effect at all other entries after the
interval of reports; a request that reaches a full endpoint waits there.
"""

import heapq
import random
from dataclasses import dataclass, field

from magnoliagrade.wire import EndpointWork
from magnoliagrade.world.site import SiteEndpoint

from magnoliagrade_entry.direct.placement.endpoint_table import EndpointTable
from magnoliagrade_entry.direct.placement.policies import PlacementRate
from magnoliagrade_entry.direct.scope import Scope

MEAN_STREAM_S = 1.5
DURATION_S = 8.0


@dataclass(slots=True, kw_only=True)
class _Fleet:
    """A fleet and its load, with the mean number of occupied slots as a fraction."""

    entries: int
    endpoints: int
    slots: int
    data_centres: int
    report_interval_s: float
    remote_report_interval_s: float
    occupied: float = 0.6

    def interval_s(self, scope):
        """Return the interval of reports to entries of a scope, in seconds."""
        return (
            self.report_interval_s
            if scope is Scope.LOCAL
            else self.remote_report_interval_s
        )

    @property
    def per_s(self):
        """Requests per second."""
        return self.occupied * self.endpoints * self.slots / MEAN_STREAM_S


LARGE = _Fleet(
    entries=40,
    endpoints=52,
    slots=3,
    data_centres=5,
    report_interval_s=0.39,
    remote_report_interval_s=0.39,
)
LARGE_RARE_REMOTE_REPORTS = _Fleet(
    entries=40,
    endpoints=52,
    slots=3,
    data_centres=5,
    report_interval_s=0.08,
    remote_report_interval_s=1.57,
)
SMALL = _Fleet(
    entries=7,
    endpoints=12,
    slots=6,
    data_centres=3,
    report_interval_s=0.05,
    remote_report_interval_s=0.1,
)


def test_sampling_sends_fewer_requests_to_full_endpoints_of_a_large_fleet():
    for seed in (1, 2):
        former = _fraction_waiting(LARGE, "least-loaded", seed)
        assert former > 0.15
        assert _fraction_waiting(LARGE, "sampled", seed) < former / 3


def test_rare_reports_to_other_data_centres_keep_the_gain_of_sampling():
    for seed in (1, 2):
        former = _fraction_waiting(LARGE, "least-loaded", seed)
        rare = _fraction_waiting(LARGE_RARE_REMOTE_REPORTS, "sampled", seed)
        assert rare < former / 3


def test_sampling_is_no_worse_for_a_small_fleet():
    for seed in (1, 2):
        former = _fraction_waiting(SMALL, "least-loaded", seed)
        assert _fraction_waiting(SMALL, "sampled", seed) <= former + 0.01


def test_rate_of_placements_falls_once_no_more_are_reported():
    rate = PlacementRate()
    for number in range(100):
        rate.record(2, now=number * 0.1)
    assert 18 < rate.per_s(now=10.0) < 22
    assert rate.per_s(now=16.0) < 0.5


@dataclass(slots=True, kw_only=True)
class _Replay:
    """State of a replay; `waited` counts the requests at full endpoints."""

    tables: list
    running: dict = field(default_factory=dict)
    changed: dict = field(default_factory=dict)
    sent: int = 0
    waited: int = 0


def _fraction_waiting(fleet, policy, seed):
    rng = random.Random(seed)
    endpoints = [_endpoint(number, fleet) for number in range(fleet.endpoints)]
    replay = _Replay(tables=[])
    for number in range(fleet.entries):
        table = EndpointTable(
            data_centre=f"dc-{number % fleet.data_centres}",
            rng=random.Random(f"{seed}-{number}"),
            policy=policy,
            report_interval_s=fleet.interval_s,
        )
        table.update(endpoints)
        replay.tables.append(table)
    events = [(rng.expovariate(fleet.per_s), 0, "arrival", 0, "")]
    for number in range(fleet.entries):
        for index, scope in enumerate(Scope):
            at = rng.uniform(0, fleet.interval_s(scope))
            events.append((at, number + 0.5 * index + 1, scope, number, ""))
    heapq.heapify(events)
    count = len(events)
    while events:
        now, _, kind, number, endpoint_id = heapq.heappop(events)
        if now > DURATION_S:
            break
        count += 1
        if isinstance(kind, Scope):
            _report(replay, fleet, number, kind, now)
            at = now + fleet.interval_s(kind)
            heapq.heappush(events, (at, count, kind, number, ""))
        elif kind == "end":
            _end(replay, number, endpoint_id)
        else:
            number = rng.randrange(fleet.entries)
            endpoint_id = _place(replay, fleet, number, now)
            ends_at = now + rng.expovariate(1 / MEAN_STREAM_S)
            if endpoint_id:
                heapq.heappush(events, (ends_at, count, "end", number, endpoint_id))
            at = now + rng.expovariate(fleet.per_s)
            heapq.heappush(events, (at, count + 0.5, "arrival", 0, ""))
    assert replay.sent > 100
    return replay.waited / replay.sent


def _place(replay, fleet, number, now):
    replay.sent += 1
    load = replay.tables[number].select_endpoint("s", now=now)
    if load is None:
        replay.waited += 1
        return ""
    load.acquire_slot(now)
    endpoint_id = load.endpoint.id
    _mark_changed(replay, number, endpoint_id)
    replay.waited += replay.running.get(endpoint_id, 0) >= fleet.slots
    replay.running[endpoint_id] = replay.running.get(endpoint_id, 0) + 1
    return endpoint_id


def _end(replay, number, endpoint_id):
    replay.running[endpoint_id] -= 1
    replay.tables[number].by_id[endpoint_id].local_in_flight -= 1
    _mark_changed(replay, number, endpoint_id)


def _mark_changed(replay, number, endpoint_id):
    for scope in Scope:
        replay.changed.setdefault((number, scope), set()).add(endpoint_id)


def _report(replay, fleet, number, scope, now):
    by_id = replay.tables[number].by_id
    rows = [
        EndpointWork(endpoint=i, in_flight=by_id[i].local_in_flight)
        for i in sorted(replay.changed.pop((number, scope), ()))
    ]
    for other, table in enumerate(replay.tables):
        is_local = (other - number) % fleet.data_centres == 0
        if other != number and is_local == (scope is Scope.LOCAL):
            table.update_peer_work(
                f"entry-{number}", rows, is_complete=False, scope=scope, now=now
            )


def _endpoint(number, fleet):
    return SiteEndpoint(
        id=f"i-{number}",
        service="s",
        address=f"10.0.0.{number}:80",
        data_centre=f"dc-{number % fleet.data_centres}",
        slots=fleet.slots,
    )
