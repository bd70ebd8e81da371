import random

from magnoliagrade.wire import EndpointWork
from magnoliagrade.world.site import SiteEndpoint

from magnoliagrade_entry.direct.admission.retry_budget import RetryBudget
from magnoliagrade_entry.direct.knowledge.route_table import RouteTable
from magnoliagrade_entry.direct.knowledge.site_state import SlowRanks
from magnoliagrade_entry.direct.placement.endpoint_table import EndpointTable
from magnoliagrade_entry.direct.placement.fault_domains import FaultDomain
from magnoliagrade_entry.direct.placement.outages import PROBE_INTERVAL_S

WHOLE_SERVICE = FaultDomain(service="s")


def test_least_loaded_policy_has_a_lower_peak_load_than_random():
    # Forty requests in flight over twelve endpoints.
    assert _peak_load("least-loaded") <= 4
    assert _peak_load("random") >= 6


def test_slow_rank_gets_fewer_requests_and_very_slow_one_none_until_expiry():
    for pace, expected in ((1.6, 3), (5.0, 0), (12.0, 0)):
        table = _table(3)
        notice = SlowRanks(pace_by_address={"10.0.0.0:80": pace}, until=9.0)
        table.update_slow_ranks([notice])
        while (load := table.select_endpoint("s", now=5.0)) is not None:
            load.local_in_flight += 1
        assert table.by_id["i-0"].local_in_flight == expected, pace
        assert (
            table.by_id["i-1"].local_in_flight
            == table.by_id["i-2"].local_in_flight
            == 6
        )
        assert table.select_endpoint("s", now=9.0) is table.by_id["i-0"]


def test_equally_slow_endpoints_use_all_slots():
    table = _table(2)
    paces = {"10.0.0.0:80": 12.0, "10.0.0.1:80": 12.0}
    table.update_slow_ranks([SlowRanks(pace_by_address=paces, until=9.0)])
    for _ in range(12):
        table.select_endpoint("s", now=5.0).local_in_flight += 1
    assert table.select_endpoint("s", now=5.0) is None


def test_full_endpoints_are_not_selected():
    table = _table(2)
    for _ in range(12):
        table.select_endpoint("s", now=0.0).local_in_flight += 1
    assert table.select_endpoint("s", now=0.0) is None


def test_requests_of_a_peer_count_until_the_peer_is_removed():
    table = _table(1)
    rows = [EndpointWork(endpoint="i-0", in_flight=6)]
    table.update_peer_work("peer", rows, is_complete=True, now=0.0)
    assert table.select_endpoint("s", now=0.0) is None
    table.remove_peer("peer")
    assert table.select_endpoint("s", now=0.0) is not None


def test_repeated_failures_eject_an_endpoint_for_longer():
    table = _table(2)
    load = table.by_id["i-0"]
    assert not table.record_failure(load, now=0.0)
    assert table.record_failure(load, now=0.0)
    first = load.ejected_until
    table.record_failure(load, now=0.0)
    assert load.ejected_until > first
    assert table.select_endpoint("s", now=0.0).endpoint.id == "i-1"
    table.record_success(load)
    assert load.failures == 0


def test_time_outs_at_all_endpoints_rarely_eject_one():
    # One in three requests exceeds the time limit of its route.
    rng = random.Random(6)
    table = _table(3)
    ejections = 0
    for number in range(300):
        load = table.select_endpoint("s", now=float(number))
        if rng.random() < 0.33:
            ejections += table.record_failure(load, now=float(number), is_timeout=True)
        else:
            table.record_success(load)
    assert ejections <= 3


def test_endpoint_whose_requests_all_time_out_is_ejected():
    table = _table(2)
    load = table.by_id["i-0"]
    for _ in range(4):
        is_ejected = table.record_failure(load, now=0.0, is_timeout=True)
    assert is_ejected
    assert load.ejected_until > 0.0


def test_replaced_endpoint_is_ejected_at_once():
    table = _table(2)
    table.eject_replaced(table.by_id["i-0"], now=0.0)
    for _ in range(6):
        table.select_endpoint("s", now=0.0).local_in_flight += 1
    assert table.by_id["i-0"].local_in_flight == 0
    assert table.select_endpoint("s", now=0.0) is None


def test_one_broken_endpoint_is_ejected_and_two_begin_an_outage():
    table = _table(4)
    outages = table.outages
    assert not outages.record_broken_group(table.by_id["i-0"], now=0.0)
    assert not outages.is_unavailable("s")
    assert table.select_endpoint("s", now=0.0).endpoint.id != "i-0"
    assert outages.record_broken_group(table.by_id["i-1"], now=0.0)
    assert not outages.record_broken_group(table.by_id["i-2"], now=0.0)
    assert outages.end(WHOLE_SERVICE)
    assert not outages.is_unavailable("s")
    assert not outages.end(WHOLE_SERVICE)


def test_one_request_per_interval_probes_an_unavailable_service():
    outages = _table(2).outages
    outages.begin(WHOLE_SERVICE, now=0.0)
    assert outages.should_reject("s", now=PROBE_INTERVAL_S / 2)
    assert not outages.should_reject("s", now=PROBE_INTERVAL_S)
    assert outages.should_reject("s", now=PROBE_INTERVAL_S)
    outages.end(WHOLE_SERVICE)
    assert not outages.should_reject("s", now=PROBE_INTERVAL_S)


def test_retries_of_all_entries_stay_within_the_shared_budget():
    entries, extra, ratio, requests = 7, 90.0, 0.2, 300
    taken = 0
    for _ in range(entries):
        budget = RetryBudget(
            ratio=ratio, extra=extra, window_s=10.0, count_entries=lambda: entries
        )
        for number in range(requests // entries):
            budget.record_request("s", now=number * 0.01)
            taken += budget.acquire("s", now=number * 0.01)
            taken += budget.acquire("s", now=number * 0.01)
    assert taken <= ratio * requests + extra
    assert taken > 0.5 * (ratio * requests + extra)


def test_route_with_the_longest_matching_prefix_is_found():
    class Route:
        def __init__(self, prefix):
            self.host, self.prefix = "a.example", prefix

    short, long = Route("/a/"), Route("/a/b/")
    table = RouteTable(routes=[short, long])
    assert table.find("A.example:80", "/a/b/c?x=/a/") is long
    assert table.find("a.example", "/a/b") is short
    assert table.find("a.example", "/a") is None
    assert table.find("b.example", "/a/b/") is None


def _peak_load(policy):
    table = _table(12, policy=policy)
    rng = random.Random(4)
    peak = 0
    running = []
    for _ in range(2000):
        if len(running) >= 40:
            running.pop(rng.randrange(len(running))).local_in_flight -= 1
        load = table.select_endpoint("s", now=0.0)
        load.local_in_flight += 1
        running.append(load)
        peak = max(peak, load.local_in_flight)
    return peak


def _table(endpoints, *, policy="least-loaded"):
    table = EndpointTable(data_centre="dc-0", rng=random.Random(5), policy=policy)
    table.update(
        SiteEndpoint(
            id=f"i-{number}",
            service="s",
            address=f"10.0.0.{number}:80",
            data_centre=f"dc-{number % 3}",
            slots=6,
        )
        for number in range(endpoints)
    )
    return table
