import asyncio
import random
from types import SimpleNamespace

from magnoliagrade.clock import ManualClock
from magnoliagrade.wire import PeerSummary, PoolSummary
from magnoliagrade.world import Pool, Request

from magnoliagrade_entry.routing.data_centres import SUMMARY_MAX_AGE_S, RemoteOffers

POOL = Pool(name="p", endpoint_selector="")


def _peer(name, *, free=0.0, wait_s=0.0, waiting=0.0):
    row = PoolSummary(
        pool="p",
        ready_endpoints=1,
        free_credits=free,
        estimated_wait_seconds=wait_s,
        waiting=waiting,
    )
    return SimpleNamespace(
        name=name,
        data_centre=name,
        summary=PeerSummary(pools=[row]),
        summary_at=0.0,
    )


def _offers(clock, *peers):
    by_name = {p.name: p for p in peers}
    directory = SimpleNamespace(by_name=by_name, candidates=lambda _: list(peers))
    return RemoteOffers(
        peers=directory, clock=clock, rng=random.Random(1), data_centre="here"
    )


def _choose(offers, *, local_wait_s, forwarded_from="", excluded=frozenset()):
    request = Request(
        id="r",
        organisation="o",
        application="a",
        method="POST",
        path="/",
        prompt_tokens=100,
        output_tokens=100,
        forwarded_from=forwarded_from,
    )
    peer = offers.choose(request, POOL, excluded=excluded, local_wait_s=local_wait_s)
    return peer.name if peer else None


def test_request_stays_while_the_local_wait_is_about_the_hop():
    offers = _offers(ManualClock(), _peer("x", free=6000))
    assert _choose(offers, local_wait_s=0.0) is None
    assert _choose(offers, local_wait_s=0.05) is None
    assert _choose(offers, local_wait_s=0.5) == "x"


def test_shorter_remote_wait_wins_only_beyond_its_margin():
    offers = _offers(
        ManualClock(),
        _peer("x", wait_s=1.0, waiting=2000),
        _peer("y", wait_s=2.0, waiting=2000),
    )
    assert _choose(offers, local_wait_s=1.2) is None
    assert _choose(offers, local_wait_s=1.5) == "x"
    assert _choose(offers, local_wait_s=float("inf"), excluded={"x"}) == "y"


def test_forwarded_request_is_never_forwarded_again():
    offers = _offers(ManualClock(), _peer("x", free=6000))
    wait = float("inf")
    assert _choose(offers, local_wait_s=wait, forwarded_from="there") is None


def test_credit_that_was_used_since_the_summary_is_not_counted_again():
    offers = _offers(ManualClock(), _peer("x", free=1000))
    # 200 for the other entry leave room for four.
    chosen = [_choose(offers, local_wait_s=0.06) for _ in range(6)]
    assert chosen == ["x"] * 4 + [None] * 2


def test_old_summary_is_no_offer():
    async def main():
        clock = ManualClock()
        offers = _offers(clock, _peer("x", free=6000))
        await clock.advance(SUMMARY_MAX_AGE_S + 0.1)
        assert _choose(offers, local_wait_s=float("inf")) is None

    asyncio.run(main())
