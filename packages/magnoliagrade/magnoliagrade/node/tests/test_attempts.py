"""Attempt table: starts, revocations and the effect of evictions."""

from hypothesis import given
from hypothesis import strategies as st

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.node import AttemptTable


def _kind(table, attempt):
    try:
        table.begin(attempt)
    except MagnoliagradeError as exc:
        return exc.kind
    return None


def test_revoked_attempt_never_begins():
    table = AttemptTable()
    assert table.revoke("e.1.1")
    assert _kind(table, "e.1.1") is ErrorKind.NOT_RUN


def test_attempt_that_did_not_reach_the_endpoint_counts_as_never_started():
    table = AttemptTable()
    table.begin("e.1.1")
    table.record_undelivered("e.1.1")
    assert table.revoke("e.1.1")


def test_second_begin_of_an_attempt_is_rejected():
    table = AttemptTable()
    table.begin("e.1.1")
    assert _kind(table, "e.1.1") is ErrorKind.OUTCOME_UNKNOWN


_STEPS = st.lists(st.tuples(st.booleans(), st.integers(1, 6)), max_size=40)


@given(_STEPS, st.integers(1, 4))
def test_forgetting_never_allows_what_was_denied(steps, kept):
    """`revoke` returns True only for attempts that never start, at any table size."""
    table = AttemptTable(max_attempts=kept)
    begun, promised = set(), set()
    for is_begin, number in steps:
        attempt = f"e.1.{number}"
        if is_begin:
            if _kind(table, attempt) is None:
                assert attempt not in begun
                begun.add(attempt)
        elif table.revoke(attempt):
            promised.add(attempt)
    assert not begun & promised
