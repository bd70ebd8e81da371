import asyncio
from types import SimpleNamespace

from magnoliagrade.clock import ManualClock
from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.platform import decode_item, rank_group_key
from magnoliagrade.world.site import RankStatus

from magnoliagrade_agent.direct.group_notices import (
    DELAY_PER_RANK_S,
    RETRY_DELAY_S,
    GroupNoticePublisher,
)

ADDRESSES = ("a:1", "b:1", "c:1")


class FakeStore:
    def __init__(self):
        self.era = 1
        self.is_down = False
        self.value = None
        self.calls = []

    async def get(self, key, **_fields):
        self._note("get")
        return self.value

    async def put(self, key, value, *, expected_revision, **_fields):
        self._note("put")
        revision = self.value.revision if self.value else 0
        if expected_revision != revision:
            raise MagnoliagradeError(ErrorKind.CONFLICT, "another revision")
        self.value = SimpleNamespace(value=value, revision=revision + 1)

    def notice(self):
        return decode_item(rank_group_key("g"), self.value.value).group

    def _note(self, call):
        self.calls.append(call)
        if self.is_down:
            raise MagnoliagradeError(ErrorKind.STORE_UNAVAILABLE, "down")


class Rank:
    def __init__(self, rank, clock, store):
        self.status = RankStatus(group="g", epoch=1, rank=rank, size=3, is_open=True)
        self.publisher = GroupNoticePublisher(
            member=SimpleNamespace(read_status=self._read), store=store, clock=clock
        )

    async def _read(self):
        return self.status


def test_each_state_of_a_group_is_published_once():
    async def scenario(store, clock, ranks):
        await _advance(clock, 2.0)
        assert store.notice().is_open and store.notice().addresses == ADDRESSES
        _set_state(ranks, is_open=False)
        await _advance(clock, 0.2)
        assert not store.notice().is_open
        _set_state(ranks, is_open=True, epoch=2)
        await _advance(clock, 2.0)
        assert store.notice().is_open and store.notice().epoch == 2
        assert store.calls.count("put") == 3

    _run(scenario, ranks=3)


def test_next_rank_publishes_if_the_first_one_is_gone():
    async def scenario(store, clock, ranks):
        await _advance(clock, 2.0)
        ranks[0].publisher.set_ranks(())
        _set_state(ranks, is_open=False)
        await _advance(clock, DELAY_PER_RANK_S - 0.1)
        assert store.notice().is_open
        await _advance(clock, 0.4)
        assert not store.notice().is_open

    _run(scenario, ranks=3)


def test_only_group_of_a_service_publishes_nothing():
    async def scenario(store, clock, ranks):
        ranks[0].publisher.set_ranks(())
        await _advance(clock, 2.0)
        assert not store.calls

    _run(scenario, ranks=1)


def test_notice_is_published_once_the_store_responds_or_has_lost_it():
    async def scenario(store, clock, ranks):
        store.is_down = True
        await _advance(clock, 1.0)
        assert len(store.calls) == 1
        store.is_down = False
        await _advance(clock, 2 * RETRY_DELAY_S)
        assert store.notice().is_open
        store.value, store.era = None, 2
        await _advance(clock, 0.3)
        assert store.notice().is_open

    _run(scenario, ranks=1)


def test_unreadable_notice_is_replaced():
    async def scenario(store, clock, ranks):
        store.value = SimpleNamespace(value=b"[", revision=7)
        await _advance(clock, 1.0)
        assert store.notice().is_open

    _run(scenario, ranks=1)


def _set_state(ranks, *, is_open, epoch=1):
    for rank in ranks:
        rank.status.is_open = is_open
        rank.status.epoch = epoch


def _run(scenario, *, ranks):
    async def run():
        clock = ManualClock(start=5.0)
        store = FakeStore()
        running = [Rank(rank, clock, store) for rank in range(ranks)]
        for rank in running:
            rank.publisher.set_ranks(ADDRESSES)
        tasks = [asyncio.ensure_future(rank.publisher.run()) for rank in running]
        await scenario(store, clock, running)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    asyncio.run(run())


async def _advance(clock, seconds):
    await asyncio.sleep(0)
    for _ in range(round(seconds / 0.05)):
        await clock.advance(0.05)
