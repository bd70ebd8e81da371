import random

from magnoliagrade.wire import EndpointWork
from magnoliagrade.world.site import SiteEndpoint

from magnoliagrade_entry.direct.knowledge import SlowRanks
from magnoliagrade_entry.direct.outages import PROBE_INTERVAL_S
from magnoliagrade_entry.direct.placement import EndpointTable
from magnoliagrade_entry.direct.retry_budget import RetryBudget
from magnoliagrade_entry.direct.route_table import RouteTable


def test_work_of_all_entries_spreads_evenly_where_chance_piles_it_up():
    # Forty requests at a time over twelve endpoints, as on a calm day.
    assert _peak_load("least-loaded") <= 4
    assert _peak_load("random") >= 6


def test_a_slow_rank_gets_less_and_a_very_slow_one_nothing_until_the_notice_ends():
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


def test_endpoints_that_are_all_slow_are_used_evenly():
    table = _table(2)
    paces = {"10.0.0.0:80": 12.0, "10.0.0.1:80": 12.0}
    table.update_slow_ranks([SlowRanks(pace_by_address=paces, until=9.0)])
    for _ in range(12):
        table.select_endpoint("s", now=5.0).local_in_flight += 1
    assert table.select_endpoint("s", now=5.0) is None


def test_a_full_endpoint_gets_nothing_more():
    table = _table(2)
    for _ in range(12):
        table.select_endpoint("s", now=0.0).local_in_flight += 1
    assert table.select_endpoint("s", now=0.0) is None


def test_what_peers_have_in_flight_counts_until_they_are_gone():
    table = _table(1)
    rows = [EndpointWork(endpoint="i-0", in_flight=6)]
    table.update_peer_work("peer", rows, is_complete=True)
    assert table.select_endpoint("s", now=0.0) is None
    table.remove_peer("peer")
    assert table.select_endpoint("s", now=0.0) is not None


def test_an_endpoint_that_fails_again_and_again_is_left_out_longer():
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


def test_requests_that_are_too_long_anywhere_leave_no_sound_endpoint_out():
    # One in three requests of a route lasts longer than the route allows.
    rng = random.Random(6)
    table = _table(3)
    left_out = 0
    for number in range(300):
        load = table.select_endpoint("s", now=float(number))
        if rng.random() < 0.33:
            left_out += table.record_failure(load, now=float(number), is_timeout=True)
        else:
            table.record_success(load)
    assert left_out <= 3


def test_an_endpoint_that_never_answers_is_left_out():
    table = _table(2)
    load = table.by_id["i-0"]
    for _ in range(4):
        is_ejected = table.record_failure(load, now=0.0, is_timeout=True)
    assert is_ejected
    assert load.ejected_until > 0.0


def test_an_endpoint_whose_address_another_has_is_left_out_at_once():
    table = _table(2)
    table.eject_replaced(table.by_id["i-0"], now=0.0)
    for _ in range(6):
        table.select_endpoint("s", now=0.0).local_in_flight += 1
    assert table.by_id["i-0"].local_in_flight == 0
    assert table.select_endpoint("s", now=0.0) is None


def test_one_broken_endpoint_is_left_out_and_several_are_an_outage():
    table = _table(4)
    assert not table.record_broken_group(table.by_id["i-0"], now=0.0)
    assert not table.is_unavailable("s")
    assert table.select_endpoint("s", now=0.0).endpoint.id != "i-0"
    assert table.record_broken_group(table.by_id["i-1"], now=0.0)
    assert not table.record_broken_group(table.by_id["i-2"], now=0.0)
    assert table.record_response("s")
    assert not table.is_unavailable("s")
    assert not table.record_response("s")


def test_one_request_finds_out_whether_a_group_is_back():
    table = _table(2)
    table.record_outage("s", now=0.0)
    assert table.should_reject("s", now=PROBE_INTERVAL_S / 2)
    assert not table.should_reject("s", now=PROBE_INTERVAL_S)
    assert table.should_reject("s", now=PROBE_INTERVAL_S)
    table.record_response("s")
    assert not table.should_reject("s", now=PROBE_INTERVAL_S)


def test_budgets_of_all_entries_add_up_to_less_than_the_whole():
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


def test_the_longest_prefix_of_a_path_wins():
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
