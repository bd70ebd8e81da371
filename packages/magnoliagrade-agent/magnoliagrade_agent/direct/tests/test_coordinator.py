import asyncio
from types import SimpleNamespace

from magnoliagrade.clock import ManualClock
from magnoliagrade.world.site import RankStatus

from magnoliagrade_agent.direct.coordinator import Coordinator
from magnoliagrade_agent.direct.rank_directory import formation_of


class OddPort:
    """Port whose answers have another shape than expected."""

    def __init__(self):
        self.calls = 0

    async def status(self):
        self.calls += 1
        raise ValueError("counts of another group")


def test_an_answer_of_another_shape_does_not_end_coordination():
    async def scenario():
        clock = ManualClock()
        node = SimpleNamespace(
            clock=clock, member=None, slow_ranks=None, silent_s=lambda: 0.0
        )
        coordinator = Coordinator(node=node)
        coordinator._own = port = OddPort()
        task = asyncio.create_task(coordinator.run())
        for _ in range(5):
            await clock.advance(1.0)
        assert port.calls > 3
        assert not task.done()
        task.cancel()

    asyncio.run(scenario())


def test_a_group_that_forms_anew_is_another_formation():
    first = RankStatus(group="g", epoch=1, size=12)
    second = RankStatus(group="g", epoch=2, size=12)
    assert formation_of(first) != formation_of(second)
    assert formation_of(first) == formation_of(RankStatus(group="g", epoch=1, size=12))


def test_the_rank_that_holds_a_pass_notices_within_half_a_second_that_it_was_left():
    clock = ManualClock(start=10.0)
    coordinator = _standby(clock)
    noticed_s = _time_to_rescue(coordinator, clock, _status(rank=1, held_step=8))
    assert noticed_s <= 0.5


def test_long_passes_of_a_slow_rank_are_not_taken_for_a_held_one():
    clock = ManualClock(start=10.0)
    coordinator = _standby(clock)
    for step in range(7):
        assert not coordinator._is_left_standing(_status(rank=1, step=step))
        clock._time += 0.65
    noticed_s = _time_to_rescue(coordinator, clock, _status(rank=1, step=7))
    assert noticed_s > 4 * 0.65


def test_a_group_that_stands_without_a_pass_held_here_is_rescued_too():
    clock = ManualClock(start=10.0)
    noticed_s = _time_to_rescue(_standby(clock), clock, _status(rank=2))
    assert 1.0 < noticed_s < 2.5


def test_a_switch_that_is_under_way_does_not_stop_the_coordinator_from_looking():
    clock = ManualClock(start=10.0)
    coordinator = _standby(clock)
    coordinator._due_version, coordinator._due_until = 7, 12.0
    former = [_status(rank=rank) for rank in range(2)]
    reached = [RankStatus(map_version=7) for _ in range(2)]
    assert coordinator._awaits_switch(former)
    assert coordinator._awaits_switch([former[0], reached[0]])
    assert not coordinator._awaits_switch(reached)
    coordinator._due_version = 8
    clock._time = 12.5
    assert not coordinator._awaits_switch(reached)
    assert coordinator._placement_version is None


def _standby(clock):
    node = SimpleNamespace(
        clock=clock, member=None, slow_ranks=None, silent_s=lambda: 0.0
    )
    return Coordinator(node=node)


def _time_to_rescue(coordinator, clock, status):
    began = clock.monotonic()
    while not coordinator._is_left_standing(status):
        clock._time += 0.05
        assert clock.monotonic() < began + 10.0
    return clock.monotonic() - began


def _status(*, rank, step=7, held_step=None):
    return RankStatus(
        group="g",
        epoch=1,
        rank=rank,
        size=12,
        is_open=True,
        step=step,
        held_step=held_step,
        running=3,
    )
