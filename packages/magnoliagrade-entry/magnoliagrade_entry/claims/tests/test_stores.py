"""Both claim stores against the stand-in, with lost responses and several writers."""

import asyncio
import random
from datetime import timedelta
from types import SimpleNamespace
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st
from magnoliagrade.clock import SystemClock
from magnoliagrade.errors import MagnoliagradeError
from magnoliagrade.identity import InstanceIdentity
from magnoliagrade.node import Tasks
from magnoliagrade_standins.platform import MemoryStore, StoreFaults

from magnoliagrade_entry.claims import Claim, claim_stores, shard

LIFETIME_S = 3600.0


class ShiftedClock(SystemClock):
    """Clock with an adjustable wall-clock offset; sleeps last at most 1 ms."""

    def __init__(self):
        self.shift_s = 0.0

    def now(self):
        return super().now() + timedelta(seconds=self.shift_s)

    async def sleep(self, seconds):
        await asyncio.sleep(min(seconds, 0.001))


def _node(store, number=0):
    return SimpleNamespace(
        clock=ShiftedClock(),
        store=store,
        rng=random.Random(number),
        tasks=Tasks(),
        identity=InstanceIdentity(
            instance=f"entry-{number}", incarnation=number, data_centre="kamloops"
        ),
        links=SimpleNamespace(of_role=lambda role: []),
        settings=SimpleNamespace(claims_lifetime_s=LIFETIME_S, claims_shards=1),
    )


def _claim(node, key="k"):
    until = node.clock.now().timestamp() + LIFETIME_S
    operation = node.identity.new_attempt_id()
    return Claim(key=key, digest="d", operation=operation, until=until)


async def _claim_or_none(claim_store, claim):
    try:
        return await claim_store.claim(claim)
    except MagnoliagradeError:
        return None


async def _race(name, copies, lost):
    store = MemoryStore(clock=SystemClock())
    store.set_faults(StoreFaults(lose_write_answers=lost))
    nodes = [_node(store, i) for i in range(3)]
    store_by_number = [claim_stores.get(name)(node=node) for node in nodes]
    claims = [_claim(nodes[i % 3], key=f"k{i % 2}") for i in range(copies)]
    held = await asyncio.gather(
        *(_claim_or_none(store_by_number[i % 3], c) for i, c in enumerate(claims))
    )
    return [(c, h) for c, h in zip(claims, held, strict=True) if h is not None]


@settings(max_examples=15, deadline=None)
@given(st.sampled_from(["single", "batched"]), st.integers(2, 12), st.integers(0, 6))
def test_one_creator_for_each_key(name, copies, lost):
    results = asyncio.run(_race(name, copies, lost))
    for key in ("k0", "k1"):
        of_key = [(c, h) for c, h in results if c.key == key]
        creators = [c for c, h in of_key if h.operation == c.operation]
        assert len(creators) <= 1
        assert len({h.operation for _, h in of_key}) <= 1
        assert creators or not of_key


def test_outcome_is_replayed_until_release_frees_the_key():
    async def run(name):
        node = _node(MemoryStore(clock=SystemClock()))
        claim_store = claim_stores.get(name)(node=node)
        first = await claim_store.claim(_claim(node))
        first.status, first.body = 200, b"3 books"
        await claim_store.record_outcome(first)
        copy = await claim_store.claim(_claim(node))
        assert (copy.operation, copy.status) == (first.operation, 200)
        assert copy.body == b"3 books"
        await claim_store.release(first)
        fresh = _claim(node)
        assert (await claim_store.claim(fresh)).operation == fresh.operation

    for name in claim_stores.names():
        asyncio.run(run(name))


def test_shard_drops_claims_only_after_their_lifetime():
    async def run():
        node = _node(MemoryStore(clock=SystemClock()))
        claim_store = claim_stores.get("batched")(node=node)
        first = await claim_store.claim(_claim(node))
        node.clock.shift_s = LIFETIME_S - 1
        assert (await claim_store.claim(_claim(node))).operation == first.operation
        node.clock.shift_s = LIFETIME_S + 1
        again = _claim(node)
        assert (await claim_store.claim(again)).operation == again.operation

    asyncio.run(run())


@mock.patch.object(shard, "MAX_VALUE_BYTES", 2000)
def test_full_shard_drops_bodies_and_rejects_new_claims_but_keeps_the_old():
    async def fill():
        node = _node(MemoryStore(clock=SystemClock()))
        claim_store = claim_stores.get("batched")(node=node)
        kept = []
        for i in range(100):
            claim = await _claim_or_none(claim_store, _claim(node, key=f"k{i}"))
            if claim is None:
                break
            claim.status, claim.content_type, claim.body = 200, "text/plain", b"x" * 99
            await claim_store.record_outcome(claim)
            kept.append(claim)
        assert 5 < len(kept) < 100
        for claim in kept:
            copy = await claim_store.claim(_claim(node, key=claim.key))
            assert copy.operation == claim.operation
            assert copy.body == b"x" * 99 or copy.content_type == "-"

    asyncio.run(fill())


def test_claim_holds_after_the_store_has_returned_from_a_copy():
    for name in claim_stores.names():

        async def main(name=name):
            store = MemoryStore(clock=SystemClock())
            state = store.make_copy()
            nodes = [_node(store, number) for number in range(2)]
            first, second = (claim_stores.get(name)(node=node) for node in nodes)
            claim = _claim(nodes[0])
            assert (await first.claim(claim)).operation == claim.operation
            store.return_from(state)
            held = await _claim_or_none(second, _claim(nodes[1]))
            assert held is None or held.operation == claim.operation, name

        asyncio.run(main())
