"""A coordinator gathers the counters of 63 ranks over a link of 4 Mbit/s."""

import asyncio
import random
from types import SimpleNamespace

import numpy as np
from magnoliagrade.clock import ManualClock
from magnoliagrade.wire import RankCall
from magnoliagrade.world.site import RankStatus

from magnoliagrade_agent.direct.gathering import Gatherer, gathering_blocks
from magnoliagrade_agent.direct.group_reader import GroupReader
from magnoliagrade_agent.direct.increment_codec import (
    Increments,
    IncrementTracker,
    pack_increments,
    unpack_increments,
)
from magnoliagrade_agent.direct.link_budget import LinkBudget
from magnoliagrade_agent.direct.member import RankMember
from magnoliagrade_agent.direct.planning import (
    load_skew,
    plan_placement,
    round_robin_placement,
)
from magnoliagrade_agent.direct.ports import LocalRankClient, RankUnreachable

RANKS, SETS, EXPERTS, PLACES, SPARE = 63, 8, 252, 5, 2
LINK_MBPS = 4.0
ADDRESSES = [f"10.{rank % 3}.0.{rank}:80" for rank in range(RANKS)]
READ_INTERVAL_S = 0.5


class FakeServer:
    """Server of one rank, whose requests choose the experts of their topics most."""

    def __init__(self, rank, demand):
        self.rank = rank
        self.counters = [0] * (SETS * EXPERTS)
        self.demand = demand
        self.is_silent = False

    def run(self):
        pairs = zip(self.counters, self.demand, strict=True)
        self.counters = [count + added for count, added in pairs]

    async def status(self):
        self._check()
        return RankStatus(group="g", epoch=1, rank=self.rank, size=RANKS)

    async def counts(self):
        self._check()
        return 1, self.counters

    def _check(self):
        if self.is_silent:
            raise RankUnreachable("silent")


class FakeAgentClient(LocalRankClient):
    """Client of another rank's agent, which gathers without a network."""

    def __init__(self, address, agent):
        super().__init__(member=agent.member)
        self.name = address
        self.agent = agent

    async def call(self, call):
        if call.operation == "gather" and self.agent.has_stopped:
            raise RankUnreachable("the agent has stopped")
        if call.operation == "gather":
            return await self.agent.gatherer.execute(call, coordinator=ADDRESSES[0])
        return await super().call(call)


class Group:
    """Ranks with their agents and the reader of the first rank's agent."""

    def __init__(self):
        self.clock = ManualClock(start=5.0)
        self.reader = GroupReader(
            budget=LinkBudget(link_mbps=LINK_MBPS), clock=self.clock
        )
        rng = np.random.default_rng(3)
        common = _popularity(rng)
        topics = [_popularity(rng) for _ in range(9)]
        self.agents = {}
        for rank, address in enumerate(ADDRESSES):
            own = sum(topics[topic] for topic in rng.integers(0, 9, size=3)) / 3
            demand = (40000 * (0.7 * common + 0.3 * own)).astype(int)
            server = FakeServer(rank, demand.ravel().tolist())
            self.agents[address] = SimpleNamespace(
                server=server,
                member=RankMember(server=server, clock=self.clock),
                has_stopped=False,
            )
        for address, agent in self.agents.items():
            agent.gatherer = Gatherer(
                local_client=LocalRankClient(member=agent.member),
                own_address=address,
                dial=self._dial,
            )
        first = LocalRankClient(member=self.agents[ADDRESSES[0]].member)
        self.clients = [first, *(self._dial(a)[0] for a in ADDRESSES[1:])]

    async def read_after(self, interval_s):
        for agent in self.agents.values():
            agent.server.run()
        await self.clock.advance(interval_s)
        return await self.reader.gather(
            self.clients, 1, own_address=ADDRESSES[0], data_centre_of=_data_centre_of
        )

    def demand(self, addresses=ADDRESSES):
        total = sum(np.array(self.agents[a].server.demand) for a in addresses)
        return total.reshape(SETS, EXPERTS).astype(float)

    def _dial(self, address):
        task = SimpleNamespace(cancel=lambda: None)
        return FakeAgentClient(address, self.agents[address]), task


def test_sum_of_all_ranks_is_gathered_twice_a_second_over_the_link():
    async def scenario(group):
        await group.read_after(1.0)
        gathered = []
        for _ in range(40):
            statuses, values = await group.read_after(0.1)
            if statuses is not None:
                assert [status.rank for status in statuses] == list(range(RANKS))
                gathered.append(values)
        assert len(gathered) >= 8
        # What was not read in time is part of the next reading.
        total = np.sum(gathered, axis=0).reshape(SETS, EXPERTS)
        expected = group.demand() * round(total.sum() / group.demand().sum())
        hot = expected > np.quantile(expected, 0.9)
        assert (np.abs(total - expected)[hot] < 0.05 * expected[hot]).all()

    _run(scenario)


def test_plan_from_all_ranks_balances_better_than_one_from_a_few():
    """Load of the fullest rank over the mean, for the demand of all ranks.

    The link allows to count six of the 63 ranks directly.
    """

    async def scenario(group):
        await group.read_after(1.0)
        _, values = await group.read_after(1.0)
        by_few = _planned_skew(group.demand(ADDRESSES[:6]), group.demand())
        gathered = np.reshape(values, (SETS, EXPERTS)).astype(float)
        by_all = _planned_skew(gathered, group.demand())
        assert by_all < 1.1
        assert by_all - 1 < 0.6 * (by_few - 1)

    _run(scenario)


def test_agent_that_does_not_reply_is_replaced_by_another_of_its_block():
    async def scenario(group):
        await group.read_after(1.0)
        _, values = await group.read_after(1.0)
        complete = sum(values)
        group.agents[ADDRESSES[1]].has_stopped = True
        statuses, values = await group.read_after(1.0)
        # The servers of its block reply to the coordinator itself.
        assert len(statuses) == RANKS
        assert sum(values) < 0.95 * complete
        await group.read_after(1.0)
        _, values = await group.read_after(1.0)
        assert sum(values) > 0.99 * complete

    _run(scenario)


def test_rank_that_does_not_reply_fails_the_reading():
    async def scenario(group):
        await group.read_after(1.0)
        group.agents[ADDRESSES[5]].server.is_silent = True
        try:
            await group.read_after(1.0)
        except RankUnreachable:
            return
        raise AssertionError("the reading did not fail")

    _run(scenario)


def test_malformed_call_to_gather_is_refused():
    async def scenario(group):
        gatherer = group.agents[ADDRESSES[1]].gatherer
        for placement in (b"", b"7", b"[[1]]", b'["unknown"]'):
            call = RankCall(operation="gather", epoch=1, placement=placement)
            reply = await gatherer.execute(call, coordinator="")
            assert reply.outcome == "failed"

    _run(scenario)


def test_blocks_stay_in_one_data_centre_and_hold_each_rank_once():
    blocks = gathering_blocks(ADDRESSES[1:], _data_centre_of)
    assert sorted(sum(blocks, [])) == sorted(ADDRESSES[1:])
    assert all(len({_data_centre_of(a) for a in block}) == 1 for block in blocks)
    assert max(len(block) for block in blocks) <= 8
    assert len(blocks) <= 12


def test_rounded_increments_are_within_a_255th_of_the_largest():
    rng = random.Random(2)
    values = [rng.randrange(10**6) for _ in range(500)]
    packed = pack_increments(Increments(snapshot_id=3, values=values))
    unpacked = unpack_increments(packed).values
    unit = max(values) / 255
    assert max(abs(a - b) for a, b in zip(values, unpacked, strict=True)) <= unit
    assert len(packed) < 600


def test_increments_of_an_unknown_base_or_a_restarted_rank_are_empty():
    tracker = IncrementTracker(first_snapshot_id=9)
    first = tracker.read([4, 4], base_id=0)
    assert first.values == []
    assert tracker.read([5, 6], base_id=first.snapshot_id + 7).values == []
    second = tracker.read([6, 6], base_id=0)
    assert tracker.read([1, 9], base_id=second.snapshot_id).values == []


def test_malformed_increments_are_an_error():
    for data in (b"", b"x" * 15, b"x" * 40):
        try:
            unpack_increments(data)
        except ValueError:
            continue
        raise AssertionError(data)


def _data_centre_of(address):
    return address.split(".")[1]


def _planned_skew(rates, demand):
    placement = round_robin_placement(sets=SETS, ranks=RANKS, experts=EXPERTS)
    speeds = np.ones(RANKS)
    for _ in range(2):
        placement = plan_placement(placement, rates, speeds, places=PLACES, spare=SPARE)
    return load_skew(placement, demand)


def _popularity(rng):
    popularity = 1.0 / np.arange(1, EXPERTS + 1) ** 0.66
    popularity /= popularity.sum()
    return np.array([rng.permutation(popularity) for _ in range(SETS)])


def _run(scenario):
    asyncio.run(scenario(Group()))
