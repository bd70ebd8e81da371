"""Requests that arrive at an entry that shuts down, and how they are decided on.

Load pattern: requests of one second and orders with limits of 1.5 and 6.5 s go on to
arrive for 2.5 s at an entry that closes its connections 7.3 s after SIGTERM.
"""

from magnoliagrade.clock import ManualClock
from magnoliagrade.errors import ErrorKind, MagnoliagradeError

from magnoliagrade_entry.shutdown import RecentDurations, Shutdown

CLOSES_AT = 7.3
ORDERS = {"kind": "orders", "is_repeatable": False}
LOOKUPS = {"kind": "lookups", "is_repeatable": True}


def test_everything_is_accepted_before_the_shutdown():
    shutdown = Shutdown(clock=ManualClock())
    assert _is_accepted(shutdown, ORDERS, ends_at=1000.0)


def test_order_is_accepted_only_if_its_deadline_comes_before_the_end():
    shutdown = _begun_shutdown(longest_s=0.1)
    assert _is_accepted(shutdown, ORDERS, ends_at=1.8 + 1.5)
    assert not _is_accepted(shutdown, ORDERS, ends_at=1.8 + 6.5)


def test_repeatable_request_is_accepted_if_its_kind_is_usually_fast_enough():
    for longest_s, is_expected in ((0.05, True), (1.0, True), (4.0, False)):
        shutdown = _begun_shutdown(longest_s=longest_s)
        assert _is_accepted(shutdown, LOOKUPS, ends_at=1.8 + 8.0) == is_expected


def test_repeatable_request_of_an_unknown_duration_counts_as_lasting_to_its_deadline():
    shutdown = _begun_shutdown(longest_s=None)
    assert _is_accepted(shutdown, LOOKUPS, ends_at=7.0)
    assert not _is_accepted(shutdown, LOOKUPS, ends_at=8.0)


def test_rejection_says_that_the_request_has_not_run_and_when_to_come_back():
    shutdown = _begun_shutdown(longest_s=0.1)
    try:
        shutdown.check(**ORDERS, ends_at=8.0)
    except MagnoliagradeError as exc:
        assert exc.kind is ErrorKind.SHUTTING_DOWN
        assert 0 < exc.retry_after < 0.5


def test_long_requests_are_remembered_for_thirty_seconds_and_forgotten_after_sixty():
    clock = ManualClock()
    durations = RecentDurations(clock=clock)
    durations.record("lookups", 5.0)
    clock._time = 29.0
    durations.record("lookups", 0.1)
    assert durations.longest_s("lookups") == 5.0
    clock._time = 45.0
    durations.record("lookups", 0.2)
    assert durations.longest_s("lookups") == 5.0
    clock._time = 70.0
    assert durations.longest_s("lookups") == 0.2
    clock._time = 200.0
    assert durations.longest_s("lookups") == 0.0


def test_kinds_without_requests_take_no_memory():
    clock = ManualClock()
    durations = RecentDurations(clock=clock)
    for number in range(1000):
        durations.record(f"kind {number}", 0.1)
        clock._time += 1.0
    assert len(durations._longest_by_kind) < 100


def _begun_shutdown(*, longest_s):
    clock = ManualClock()
    shutdown = Shutdown(clock=clock)
    if longest_s is not None:
        shutdown.durations.record("lookups", longest_s)
        shutdown.durations.record("orders", longest_s)
    shutdown.begin(CLOSES_AT)
    clock._time = 1.8
    return shutdown


def _is_accepted(shutdown, request, *, ends_at):
    try:
        shutdown.check(**request, ends_at=ends_at)
    except MagnoliagradeError:
        return False
    return True
