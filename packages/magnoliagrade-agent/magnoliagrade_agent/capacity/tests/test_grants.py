import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st
from magnoliagrade.clock import ManualClock

from magnoliagrade_agent.capacity.grants import CONTENDED_S, CREDIT_LEASE_S, GrantTable

STEPS = st.lists(
    st.tuples(
        st.sampled_from(["ask", "withdraw", "use", "wait", "limit", "forget"]),
        st.integers(0, 6),
        st.sampled_from([50, 100, 200, 300]),
    ),
    max_size=60,
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(STEPS)
def test_grants_never_exceed_what_was_free(steps):
    asyncio.run(_grant(steps))


async def _grant(steps):
    clock = ManualClock()
    book = GrantTable(clock=clock)
    limit = 600.0
    live = []  # the oracle's own list of (entry, amount left, lapses at)
    for action, entry, amount in steps:
        if action == "ask":
            book.request_credit(entry, amount)
        elif action == "withdraw":
            book.withdraw(entry, amount)
        elif action == "use":
            book.use(entry, amount)
        elif action == "wait":
            await clock.advance(amount / 200)
        elif action == "limit":
            limit = amount * 2.0
        else:
            book.drop_pending(entry)
        reserved = book.reserved
        lone_limit = 0.0 if reserved else 2 * limit
        grants = book.distribute(limit - reserved, lone_limit=lone_limit)
        live += [(g.amount, g.until) for g in grants]
        live = [(a, until) for a, until in live if until > clock.monotonic()]
        assert book.reserved <= sum(a for a, _ in live)
        granted = sum(g.amount for g in grants)
        is_alone = len(grants) == 1 and reserved == 0
        assert not grants or granted <= limit - reserved or is_alone


def test_seven_entries_take_turns_at_a_limit_of_one_request():
    book = GrantTable(clock=ManualClock())
    for _ in range(3):
        for entry in range(7):
            book.request_credit(entry, 200)
    served = []
    while grants := book.distribute(200 - book.reserved):
        served += [g.entry for g in grants]
        for grant in grants:
            book.use(grant.entry, grant.amount)
    assert served == list(range(7)) * 3


def test_lost_grant_lapses_with_its_lease():
    async def main():
        clock = ManualClock()
        book = GrantTable(clock=clock)
        book.request_credit("a", 200)
        book.distribute(200)
        await clock.advance(CREDIT_LEASE_S - 0.01)
        assert book.reserved == 200
        await clock.advance(0.02)
        assert book.reserved == 0

    asyncio.run(main())


def test_asks_above_a_share_come_last_and_leave_headroom():
    book = GrantTable(clock=ManualClock())
    for _ in range(3):
        book.request_credit("a", 200, is_surplus=True)
    book.request_credit("b", 200)
    grants = book.distribute(800, headroom=200)
    assert [(g.entry, g.is_surplus) for g in grants] == [
        ("b", False),
        ("a", True),
        ("a", True),
    ]
    book.request_credit("c", 200)
    assert [g.entry for g in book.distribute(200, headroom=200)] == ["c"]


def test_withdrawn_ask_that_was_granted_meanwhile_frees_its_credit():
    book = GrantTable(clock=ManualClock())
    book.request_credit("a", 200)
    book.distribute(200)
    book.withdraw("a", 200)
    assert book.reserved == 0


def test_contention_is_an_ask_within_a_share_that_had_to_wait_lately():
    async def main():
        clock = ManualClock()
        book = GrantTable(clock=clock)
        book.request_credit("a", 200, is_surplus=True)
        book.distribute(100)
        assert not book.is_contended
        book.request_credit("b", 200)
        book.distribute(100)
        assert book.is_contended
        book.distribute(200)
        await clock.advance(CONTENDED_S - 0.1)
        assert book.is_contended
        await clock.advance(0.2)
        assert not book.is_contended

    asyncio.run(main())
