"""Placement while nearly all slots are in use and requests wait at the entries.

Reports of the entries' work take effect at the others after their interval. A request
that reaches a full endpoint waits there, maybe while another endpoint has a free slot.
"""

import heapq
import itertools
import random

from magnoliagrade.wire import EndpointWork
from magnoliagrade.world.site import SiteEndpoint

from magnoliagrade_entry.direct.placement.endpoint_table import EndpointTable
from magnoliagrade_entry.direct.scope import Scope

WORK_S = 2.0
DURATION_S = 8.0
WAKE_INTERVAL_S = 0.05
SLOTS = 5
DATA_CENTRES = 3
SEEDS = (3, 4, 5)


def test_claims_send_fewer_requests_to_full_endpoints_than_samples():
    for occupied in (0.95, 1.1):
        sampled, claimed = _compare(36, 63, occupied, remote_interval_s=0.48)
        assert claimed["at full"] < 0.9 * sampled["at full"], occupied
        assert claimed["wait p99"] < 1.05 * sampled["wait p99"], occupied


def test_claims_change_nothing_while_slots_are_free():
    sampled, claimed = _compare(36, 63, 0.5, remote_interval_s=0.48)
    assert claimed["at full"] <= 0.01
    assert claimed["wait p99"] == sampled["wait p99"] == 0.0


def test_claims_serve_a_small_fleet_as_well_as_samples():
    sampled, claimed = _compare(7, 12, 0.95, remote_interval_s=0.1)
    assert claimed["wait p99"] < 1.2 * sampled["wait p99"]


def _compare(entries, endpoints, occupied, *, remote_interval_s):
    """Return the mean figures of the policies `sampled` and `claimed`."""
    means = []
    for policy in ("sampled", "claimed"):
        runs = [
            _Replay(entries, endpoints, occupied, remote_interval_s, policy, seed).run()
            for seed in SEEDS
        ]
        means.append({key: sum(r[key] for r in runs) / len(runs) for key in runs[0]})
    return means


class _Replay:
    """One run; an entry's requests wait in the order of their arrival."""

    def __init__(self, entries, endpoints, occupied, remote_interval_s, policy, seed):
        self.rng = random.Random(seed)
        self.interval_s_by_scope = {
            Scope.LOCAL: 0.05,
            Scope.REMOTE: remote_interval_s,
        }
        self.rate_per_s = occupied * endpoints * SLOTS / WORK_S
        registered = [
            SiteEndpoint(
                id=f"i-{number}",
                service="s",
                address=f"10.0.0.{number}:80",
                data_centre=f"dc-{number % DATA_CENTRES}",
                slots=SLOTS,
            )
            for number in range(endpoints)
        ]
        self.tables = []
        for number in range(entries):
            table = EndpointTable(
                data_centre=f"dc-{number % DATA_CENTRES}",
                rng=random.Random(f"{seed}-{number}"),
                policy=policy,
                report_interval_s=self.interval_s_by_scope.get,
                count_entries=lambda: entries,
            )
            table.update(registered)
            self.tables.append(table)
        self.waiting = [[] for _ in range(entries)]
        self.changed = {(n, scope): set() for n in range(entries) for scope in Scope}
        self.running_by_id = {endpoint.id: 0 for endpoint in registered}
        self.queue_by_id = {endpoint.id: [] for endpoint in registered}
        self.waits_s, self.sent, self.at_full = [], 0, 0
        self.events, self.order, self.now = [], itertools.count(), 0.0

    def run(self):
        self._push(0.0, self._arrive)
        for number in range(len(self.tables)):
            self._push(self.rng.uniform(0, WAKE_INTERVAL_S), self._wake, number)
            for scope, interval_s in self.interval_s_by_scope.items():
                at = self.rng.uniform(0, interval_s)
                self._push(at, self._report, number, scope)
        while self.events[0][0] < DURATION_S:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        p99 = sorted(self.waits_s)[int(0.99 * (len(self.waits_s) - 1))]
        return {"at full": self.at_full / self.sent, "wait p99": p99}

    def _push(self, at, action, *arguments):
        heapq.heappush(self.events, (at, next(self.order), action, arguments))

    def _arrive(self):
        number = self.rng.randrange(len(self.tables))
        self.waiting[number].append(self.now)
        self._push(self.now + self.rng.expovariate(self.rate_per_s), self._arrive)
        self._place(number)

    def _wake(self, number):
        self._push(self.now + WAKE_INTERVAL_S, self._wake, number)
        self._place(number)

    def _place(self, number):
        table = self.tables[number]
        while self.waiting[number]:
            load = table.select_endpoint("s", now=self.now)
            if load is None:
                return
            load.acquire_slot(self.now)
            self._mark_changed(number, load)
            arrived_at = self.waiting[number].pop(0)
            endpoint_id = load.endpoint.id
            self.sent += 1
            if self.running_by_id[endpoint_id] < SLOTS:
                self._start(endpoint_id, number, arrived_at)
            else:
                self.at_full += 1
                self.queue_by_id[endpoint_id].append((number, arrived_at))

    def _start(self, endpoint_id, number, arrived_at):
        self.running_by_id[endpoint_id] += 1
        self.waits_s.append(self.now - arrived_at)
        ends_at = self.now + WORK_S * self.rng.uniform(0.3, 1.7)
        self._push(ends_at, self._end, endpoint_id, number)

    def _end(self, endpoint_id, number):
        self.running_by_id[endpoint_id] -= 1
        if self.queue_by_id[endpoint_id]:
            self._start(endpoint_id, *self.queue_by_id[endpoint_id].pop(0))
        load = self.tables[number].by_id[endpoint_id]
        load.release_slot()
        self._mark_changed(number, load)
        self._place(number)

    def _mark_changed(self, number, load):
        for scope in Scope:
            self.changed[number, scope].add(load.endpoint.id)

    def _report(self, number, scope):
        self._push(
            self.now + self.interval_s_by_scope[scope], self._report, number, scope
        )
        table = self.tables[number]
        rows = [
            EndpointWork(endpoint=i, in_flight=table.by_id[i].local_in_flight)
            for i in sorted(self.changed[number, scope])
        ]
        self.changed[number, scope].clear()
        if scope is Scope.LOCAL:
            table.record_report()
        for other, peer_table in enumerate(self.tables):
            is_local = (other - number) % DATA_CENTRES == 0
            if other != number and is_local is (scope is Scope.LOCAL) and rows:
                peer_table.update_peer_work(
                    f"entry-{number}",
                    rows,
                    is_complete=False,
                    scope=scope,
                    now=self.now,
                )
