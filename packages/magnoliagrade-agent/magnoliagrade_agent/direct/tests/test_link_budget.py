"""A coordinator reads no more of its group than fits its machine's link."""

import asyncio

from magnoliagrade.clock import ManualClock
from magnoliagrade.world.site import RankStatus

from magnoliagrade_agent.direct.group_reader import GroupReader
from magnoliagrade_agent.direct.link_budget import STATUS_BYTES, LinkBudget
from magnoliagrade_agent.direct.ports import RankUnreachable

RANKS, COUNTERS, LINK_MBPS = 129, 16 * 258, 3.0
INTERVAL_S = 0.4
# Fraction of the link that reading a group may take.
MAX_LINK_FRACTION = 0.3


def test_reads_of_a_large_group_leave_most_of_the_link_to_the_model_server():
    read = _read_for(10.0, reply_bytes=3300)
    assert read.bytes <= MAX_LINK_FRACTION * LINK_MBPS * 1e6 / 8 * 10.0
    # Every status is read about once a second, and the same ranks are counted.
    assert 5 <= read.full_reads <= 15
    assert len(read.counted_at_end) >= 4
    assert read.counted_at_end[-1] <= read.counted_at_end[0] + 1


def test_first_reads_which_hold_whole_counters_fit_the_link_too():
    read = _read_for(2.0, reply_bytes=8200)
    assert read.bytes <= MAX_LINK_FRACTION * LINK_MBPS * 1e6 / 8 * 2.0 + 129 * 600


def test_all_ranks_of_a_small_group_are_read_each_time():
    budget = LinkBudget(link_mbps=10.0)
    for number in range(5):
        ranks = budget.counted_ranks(12, counters=288, interval_s=INTERVAL_S)
        assert ranks == list(range(12))
        assert budget.acquire_full_read(12, now=number * INTERVAL_S)
        budget.record_reply(400)


def test_counted_ranks_stay_the_same_while_the_budget_does():
    budget = LinkBudget(link_mbps=LINK_MBPS)
    drawn = []
    for size_bytes in (8000, 3000, 3000, 3000):
        drawn.append(
            set(budget.counted_ranks(RANKS, counters=COUNTERS, interval_s=INTERVAL_S))
        )
        budget.record_reply(size_bytes)
    assert all(former <= later for former, later in zip(drawn, drawn[1:], strict=False))


def test_only_one_rank_is_counted_while_the_number_of_counters_is_unknown():
    budget = LinkBudget(link_mbps=LINK_MBPS)
    assert len(budget.counted_ranks(RANKS, counters=0, interval_s=INTERVAL_S)) == 1


def test_map_that_would_block_the_link_is_not_sent():
    budget = LinkBudget(link_mbps=LINK_MBPS)
    assert not budget.may_send_map(RANKS, 12_000)
    assert budget.may_send_map(RANKS, 2_500)
    assert LinkBudget(link_mbps=10.0).may_send_map(12, 12_000)


def test_rank_in_another_epoch_ends_the_reading():
    async def scenario():
        reader = GroupReader(
            budget=LinkBudget(link_mbps=LINK_MBPS), clock=ManualClock()
        )
        clients = [_Client(epoch=1) for _ in range(RANKS)]
        statuses, counts_by_rank = await _read(reader, clients)
        assert len(statuses) == RANKS
        assert 0 < len(counts_by_rank) < RANKS
        statuses, _ = await _read(reader, clients)
        assert statuses is None
        reader.budget.reset()
        clients[77].epoch = 2
        try:
            await _read(reader, clients)
        except RankUnreachable:
            return
        raise AssertionError("a rank in another epoch was accepted")

    asyncio.run(scenario())


class _Reads:
    def __init__(self):
        self.bytes = 0
        self.full_reads = 0
        self.counted_at_end = []


def _read_for(duration_s, *, reply_bytes):
    budget = LinkBudget(link_mbps=LINK_MBPS)
    reads = _Reads()
    now = 0.0
    while now < duration_s:
        counted = budget.counted_ranks(RANKS, counters=COUNTERS, interval_s=INTERVAL_S)
        reads.bytes += len(counted) * (reply_bytes + STATUS_BYTES)
        for _ in counted:
            budget.record_reply(reply_bytes)
        if budget.acquire_full_read(RANKS, now=now):
            reads.full_reads += 1
            reads.bytes += (RANKS - len(counted)) * STATUS_BYTES
        reads.counted_at_end = [*reads.counted_at_end, len(counted)][-5:]
        now += INTERVAL_S
    return reads


def _read(reader, clients):
    return reader.read(clients, 1, counters=COUNTERS, interval_s=INTERVAL_S)


class _Client:
    last_counts_bytes = 3000

    def __init__(self, *, epoch):
        self.epoch = epoch

    async def status(self):
        return RankStatus(group="g", epoch=self.epoch, size=RANKS)

    async def counts(self, _epoch):
        return await self.status(), b""
