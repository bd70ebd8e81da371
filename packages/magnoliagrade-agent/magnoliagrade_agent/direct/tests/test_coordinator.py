import asyncio
from types import SimpleNamespace

from magnoliagrade.clock import ManualClock
from magnoliagrade.world.site import RankStatus

from magnoliagrade_agent.direct.coordinator import Coordinator
from magnoliagrade_agent.direct.rank_directory import formation_key
from magnoliagrade_agent.direct.stall_detection import StallDetector


class MalformedRankClient:
    """Rank client whose status cannot be parsed."""

    def __init__(self):
        self.calls = 0

    async def status(self):
        self.calls += 1
        raise ValueError("malformed status")


def test_a_malformed_status_does_not_stop_the_coordinator():
    async def scenario():
        clock = ManualClock()
        node = SimpleNamespace(
            clock=clock,
            member=None,
            settings=SimpleNamespace(link_mbps=1000.0),
            slow_ranks=None,
            seconds_since_call=lambda: 0.0,
        )
        coordinator = Coordinator(node=node)
        coordinator._local_client = client = MalformedRankClient()
        task = asyncio.create_task(coordinator.run())
        for _ in range(5):
            await clock.advance(1.0)
        assert client.calls > 3
        assert not task.done()
        task.cancel()

    asyncio.run(scenario())


def test_a_new_epoch_of_a_group_is_another_formation():
    first = RankStatus(group="g", epoch=1, size=12)
    second = RankStatus(group="g", epoch=2, size=12)
    assert formation_key(first) != formation_key(second)
    assert formation_key(first) == formation_key(
        RankStatus(group="g", epoch=1, size=12)
    )


def test_the_rank_that_holds_the_next_pass_detects_a_stall_within_half_a_second():
    clock = ManualClock(start=10.0)
    detector = StallDetector(clock=clock)
    detected_s = _detection_time_s(detector, clock, _status(rank=1, held_step=8))
    assert detected_s <= 0.5


def test_long_passes_of_a_slow_rank_are_not_detected_as_a_stall():
    clock = ManualClock(start=10.0)
    detector = StallDetector(clock=clock)
    for step in range(7):
        assert not detector.is_stalled(_status(rank=1, step=step))
        clock._time += 0.65
    detected_s = _detection_time_s(detector, clock, _status(rank=1, step=7))
    assert detected_s > 4 * 0.65


def test_a_stall_is_detected_by_a_rank_that_holds_no_pass():
    clock = ManualClock(start=10.0)
    detector = StallDetector(clock=clock)
    detected_s = _detection_time_s(detector, clock, _status(rank=2))
    assert 1.0 < detected_s < 2.5


def test_a_switch_is_pending_until_all_ranks_report_its_map_or_it_times_out():
    clock = ManualClock(start=10.0)
    coordinator = _standby(clock)
    coordinator._pending_version, coordinator._switch_deadline = 7, 12.0
    former = [_status(rank=rank) for rank in range(2)]
    reached = [RankStatus(map_version=7) for _ in range(2)]
    assert coordinator._is_switch_pending(former)
    assert coordinator._is_switch_pending([former[0], reached[0]])
    assert not coordinator._is_switch_pending(reached)
    coordinator._pending_version = 8
    clock._time = 12.5
    assert not coordinator._is_switch_pending(reached)
    assert coordinator._placement_version is None


def _standby(clock):
    node = SimpleNamespace(
        clock=clock,
        member=None,
        settings=SimpleNamespace(link_mbps=1000.0),
        slow_ranks=None,
        seconds_since_call=lambda: 0.0,
    )
    return Coordinator(node=node)


def _detection_time_s(detector, clock, status):
    began = clock.monotonic()
    while not detector.is_stalled(status):
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
