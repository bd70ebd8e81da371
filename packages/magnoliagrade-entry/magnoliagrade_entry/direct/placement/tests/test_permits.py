import math
import random

from magnoliagrade.clock import ManualClock
from magnoliagrade.world.site import SiteEndpoint

from magnoliagrade_entry.direct.admission.overload import limited_wait_s
from magnoliagrade_entry.direct.placement.endpoint_limits import (
    IGNORED_CHANGE,
    UNREGISTERED_LIFE_S,
    EndpointLimits,
)
from magnoliagrade_entry.direct.placement.endpoint_table import EndpointTable
from magnoliagrade_entry.direct.placement.permits import (
    MIN_RATE_PER_S,
    PERMIT_LIFE_S,
    REPEAT_S,
    REQUEST_LIFE_S,
    PermitIssuer,
    PermitRequests,
    issue_rate,
    issuer_of,
)

# The platform's bound: in any window of this length, this multiple of what the limit
# allows, and some more.
WINDOW_S = 4.0
MAX_FACTOR = 1.5
MAX_EXTRA = 5


def test_entries_that_always_ask_get_no_more_than_the_limit_and_equal_parts():
    for limit_per_s in (0.4, 1.2, 6.0, 40.0):
        clock = ManualClock(start=50.0)
        issuer = PermitIssuer(clock=clock)
        names = [f"entry-{number}" for number in range(33)]
        rate_per_s = issue_rate(limit_per_s, linked=33, known=33)
        issued = []
        for _ in range(4000):
            for name in names:
                issuer.request("i-1", name, rate_per_s)
            issued += [(clock.monotonic(), name) for name, _ in issuer.issue_due()]
            clock._time += 0.02
        _check_rate([at for at, _ in issued], limit_per_s)
        assert len(issued) > 0.85 * limit_per_s * 80.0
        counts = [sum(name == n for _, name in issued) for n in names]
        assert max(counts) - min(counts) <= 1


def test_changes_of_the_issuer_do_not_exceed_the_limit():
    clock = ManualClock(start=50.0)
    rate_per_s = issue_rate(2.0, linked=7, known=7)
    issued_at = []
    for _ in range(20):
        issuer = PermitIssuer(clock=clock)
        for _ in range(100):
            issuer.request("i-1", "entry-0", rate_per_s)
            issued_at += [clock.monotonic() for _ in issuer.issue_due()]
            clock._time += 0.02
    _check_rate(issued_at, 2.0)


def test_parts_of_a_partition_keep_to_the_limit_together():
    for sizes in ((6, 1), (4, 3), (1,) * 7):
        total = sum(issue_rate(7.0, linked=size, known=7) for size in sizes)
        assert total <= 7.0


def test_endpoint_that_takes_no_requests_is_still_asked_now_and_then():
    assert issue_rate(0.0, linked=7, known=7) == MIN_RATE_PER_S
    assert MIN_RATE_PER_S * WINDOW_S <= MAX_EXTRA


def test_request_for_a_permit_that_is_not_repeated_is_forgotten():
    clock = ManualClock(start=50.0)
    issuer = PermitIssuer(clock=clock)
    issuer.request("i-1", "entry-0", 0.5)
    clock._time += REQUEST_LIFE_S
    issuer.request("i-1", "entry-1", 0.5)
    clock._time += REPEAT_S
    issuer.request("i-1", "entry-1", 0.5)
    clock._time += 0.75
    assert issuer.issue_due() == [("entry-1", "i-1")]
    assert REPEAT_S < REQUEST_LIFE_S


def test_all_linked_entries_ask_the_same_issuer():
    names = [f"entry-{number}" for number in range(7)]
    issuers = {issuer_of("i-1", random.Random(n).sample(names, 7)) for n in range(9)}
    assert len(issuers) == 1
    assert len({issuer_of(f"i-{n}", names) for n in range(60)}) == 7


def test_permit_is_asked_for_again_only_after_a_while():
    clock = ManualClock(start=50.0)
    requests = PermitRequests(clock=clock)
    requests.begin("i-1")
    assert requests.pending_ids() == {"i-1"}
    clock._time += REPEAT_S
    assert not requests.pending_ids()
    requests.begin("i-1")
    requests.end("i-1")
    assert not requests.pending_ids()


def test_limited_endpoint_is_selected_once_for_each_permit():
    table = _table(2)
    now = 50.0
    table.update_limits({"i-0": 2.0, "i-1": math.inf}.get)
    assert table.total_limit_per_s("model") == math.inf
    assert table.select_endpoint("model", now=now).endpoint.id == "i-1"
    table.by_id["i-1"].local_in_flight = 3
    rival = table.by_id["i-1"]
    limited = table.select_limited_endpoint("model", now=now, excluded=(), rival=rival)
    assert limited.endpoint.id == "i-0"
    limited.permitted_until = now + PERMIT_LIFE_S
    assert table.select_endpoint("model", now=now) is limited
    limited.acquire_slot(now)
    assert table.select_endpoint("model", now=now) is rival
    limited.permitted_until = now + PERMIT_LIFE_S
    assert table.select_endpoint("model", now=now + PERMIT_LIFE_S) is rival


def test_response_to_an_older_request_does_not_end_a_limit():
    clock = ManualClock(start=50.0)
    limits = EndpointLimits(clock=clock)
    assert limits.record_response("i-1", 3.0, sent_at=49.0)
    assert not limits.record_response("i-1", 3.0, sent_at=49.5)
    assert not limits.record_response("i-1", math.inf, sent_at=49.9)
    assert not limits.record_response("i-1", None, sent_at=51.0)
    assert limits.limit_of("i-1") == 3.0
    assert limits.record_response("i-1", math.inf, sent_at=51.0)
    assert limits.limit_of("i-1") == math.inf


def test_small_changes_of_a_limit_are_ignored():
    limits = EndpointLimits(clock=ManualClock(start=50.0))
    changes = [limits.record("i-1", 2.0 + 0.01 * number) for number in range(20)]
    assert changes == [True] + 19 * [False]
    assert limits.record("i-1", 3.0)
    assert limits.record("i-1", 0.0)
    assert not limits.record("i-1", 0.0)
    # Permits stay within a limit that is ignored.
    assert issue_rate(1.0, linked=1, known=1) <= 1.0 - IGNORED_CHANGE


def test_limits_of_endpoints_that_are_gone_are_forgotten():
    clock = ManualClock(start=50.0)
    limits = EndpointLimits(clock=clock)
    limits.record("i-1", 3.0)
    limits.record("i-2", 3.0)
    limits.drop_unregistered({"i-2"})
    assert set(limits.limit_by_id) == {"i-1", "i-2"}
    clock._time += UNREGISTERED_LIFE_S + 1.0
    limits.drop_unregistered({"i-2"})
    assert set(limits.limit_by_id) == {"i-2"}


def test_queue_before_limited_endpoints_does_not_grow_without_end():
    waits_s = [
        limited_wait_s(waiting, 0.0, limit_per_s=9.0, entries=5) for waiting in range(9)
    ]
    assert waits_s[0] == 0.0
    assert waits_s == sorted(waits_s)
    assert waits_s[4] > 2.0
    # More than the share if the other entries have little to send.
    assert limited_wait_s(4, 8.0, limit_per_s=9.0, entries=5) < 1.0


def _check_rate(times, limit_per_s):
    most = max(sum(begin <= at < begin + WINDOW_S for at in times) for begin in times)
    assert most <= MAX_FACTOR * limit_per_s * WINDOW_S + MAX_EXTRA, (limit_per_s, most)


def _table(count):
    table = EndpointTable(data_centre="dc-0", rng=random.Random(1))
    table.update(
        SiteEndpoint(
            id=f"i-{number}",
            service="model",
            address=f"10.0.0.{number}:80",
            data_centre="dc-0",
            slots=6,
        )
        for number in range(count)
    )
    return table
