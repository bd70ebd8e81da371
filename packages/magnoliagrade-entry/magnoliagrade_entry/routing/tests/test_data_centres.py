import asyncio
import random
from types import SimpleNamespace

from magnoliagrade.clock import ManualClock
from magnoliagrade.wire import PeerSummary, PoolSummary
from magnoliagrade.world import Pool, Request

from magnoliagrade_entry.routing.data_centres import SUMMARY_MAX_AGE_S, PeerSelector

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


def _make_selector(clock, *peers):
    by_name = {p.name: p for p in peers}
    directory = SimpleNamespace(by_name=by_name, candidates=lambda _: list(peers))
    return PeerSelector(
        peers=directory, clock=clock, rng=random.Random(1), data_centre="local"
    )


def _choose(selector, *, local_wait_s, forwarded_from="", excluded=frozenset()):
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
    peer = selector.choose(request, POOL, excluded=excluded, local_wait_s=local_wait_s)
    return peer.name if peer else None


def test_request_is_forwarded_only_if_local_wait_exceeds_hop_and_margin():
    selector = _make_selector(ManualClock(), _peer("x", free=6000))
    assert _choose(selector, local_wait_s=0.0) is None
    assert _choose(selector, local_wait_s=0.05) is None
    assert _choose(selector, local_wait_s=0.5) == "x"


def test_peer_is_chosen_only_if_its_wait_is_shorter_by_the_margin():
    selector = _make_selector(
        ManualClock(),
        _peer("x", wait_s=1.0, waiting=2000),
        _peer("y", wait_s=2.0, waiting=2000),
    )
    assert _choose(selector, local_wait_s=1.2) is None
    assert _choose(selector, local_wait_s=1.5) == "x"
    assert _choose(selector, local_wait_s=float("inf"), excluded={"x"}) == "y"


def test_forwarded_request_is_never_forwarded_again():
    selector = _make_selector(ManualClock(), _peer("x", free=6000))
    wait = float("inf")
    assert _choose(selector, local_wait_s=wait, forwarded_from="remote") is None


def test_cost_forwarded_since_the_summary_reduces_the_free_credit():
    selector = _make_selector(ManualClock(), _peer("x", free=1000))
    # Of the free credit of 1000, 200 are reserved for the other entry's request of
    # the same cost, which leaves enough for four requests.
    chosen = [_choose(selector, local_wait_s=0.06) for _ in range(6)]
    assert chosen == ["x"] * 4 + [None] * 2


def test_peer_with_an_expired_summary_is_not_chosen():
    async def main():
        clock = ManualClock()
        selector = _make_selector(clock, _peer("x", free=6000))
        await clock.advance(SUMMARY_MAX_AGE_S + 0.1)
        assert _choose(selector, local_wait_s=float("inf")) is None

    asyncio.run(main())
