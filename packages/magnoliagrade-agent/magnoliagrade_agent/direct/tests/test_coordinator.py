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
        node = SimpleNamespace(clock=clock, member=None, silent_s=lambda: 0.0)
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
