import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st
from magnoliagrade.clock import ManualClock

from magnoliagrade_agent.capacity.grants import (
    CONTENTION_WINDOW_S,
    CREDIT_LEASE_S,
    GrantTable,
)

STEPS = st.lists(
    st.tuples(
        st.sampled_from(["request", "withdraw", "use", "wait", "limit", "drop"]),
        st.integers(0, 6),
        st.sampled_from([50, 100, 200, 300]),
    ),
    max_size=60,
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(STEPS)
def test_grants_never_exceed_the_free_capacity(steps):
    asyncio.run(_run_steps(steps))


async def _run_steps(steps):
    clock = ManualClock()
    table = GrantTable(clock=clock)
    limit = 600.0
    unexpired = []  # granted (amount, expires_at), tracked independently of the table
    for action, entry, amount in steps:
        if action == "request":
            table.request_credit(entry, amount)
        elif action == "withdraw":
            table.withdraw(entry, amount)
        elif action == "use":
            table.use(entry, amount)
        elif action == "wait":
            await clock.advance(amount / 200)
        elif action == "limit":
            limit = amount * 2.0
        else:
            table.drop_pending(entry)
        reserved = table.reserved
        exclusive_limit = 0.0 if reserved else 2 * limit
        grants = table.distribute(limit - reserved, exclusive_limit=exclusive_limit)
        unexpired += [(g.amount, g.expires_at) for g in grants]
        unexpired = [
            (a, expires_at)
            for a, expires_at in unexpired
            if expires_at > clock.monotonic()
        ]
        assert table.reserved <= sum(a for a, _ in unexpired)
        granted = sum(g.amount for g in grants)
        is_exclusive = len(grants) == 1 and reserved == 0
        assert not grants or granted <= limit - reserved or is_exclusive


def test_seven_entries_are_granted_round_robin_at_a_limit_of_one_request():
    table = GrantTable(clock=ManualClock())
    for _ in range(3):
        for entry in range(7):
            table.request_credit(entry, 200)
    served = []
    while grants := table.distribute(200 - table.reserved):
        served += [g.entry for g in grants]
        for grant in grants:
            table.use(grant.entry, grant.amount)
    assert served == list(range(7)) * 3


def test_unused_grant_expires_with_its_lease():
    async def main():
        clock = ManualClock()
        table = GrantTable(clock=clock)
        table.request_credit("a", 200)
        table.distribute(200)
        await clock.advance(CREDIT_LEASE_S - 0.01)
        assert table.reserved == 200
        await clock.advance(0.02)
        assert table.reserved == 0

    asyncio.run(main())


def test_surplus_requests_are_granted_last_and_leave_headroom():
    table = GrantTable(clock=ManualClock())
    for _ in range(3):
        table.request_credit("a", 200, is_surplus=True)
    table.request_credit("b", 200)
    grants = table.distribute(800, headroom=200)
    assert [(g.entry, g.is_surplus) for g in grants] == [
        ("b", False),
        ("a", True),
        ("a", True),
    ]
    table.request_credit("c", 200)
    assert [g.entry for g in table.distribute(200, headroom=200)] == ["c"]


def test_withdrawal_of_a_granted_request_releases_its_credit():
    table = GrantTable(clock=ManualClock())
    table.request_credit("a", 200)
    table.distribute(200)
    table.withdraw("a", 200)
    assert table.reserved == 0


def test_contention_lasts_10_s_after_a_request_within_its_share_waited():
    async def main():
        clock = ManualClock()
        table = GrantTable(clock=clock)
        table.request_credit("a", 200, is_surplus=True)
        table.distribute(100)
        assert not table.is_contended
        table.request_credit("b", 200)
        table.distribute(100)
        assert table.is_contended
        table.distribute(200)
        await clock.advance(CONTENTION_WINDOW_S - 0.1)
        assert table.is_contended
        await clock.advance(0.2)
        assert not table.is_contended

    asyncio.run(main())
