import asyncio

from magnoliagrade.clock import ManualClock
from magnoliagrade.world import Instance, Role

from magnoliagrade_entry.membership import KnownInstances


def _instance(name):
    return Instance(
        name=name, role=Role.AGENT, data_centre="d", control_address=f"{name}:1"
    )


def test_unlisted_instance_is_kept_for_the_retention_period():
    async def main():
        clock = ManualClock()
        known = KnownInstances(clock=clock)
        known.update([_instance("a"), _instance("b")])
        await clock.advance(30)
        known.update([_instance("a")])
        assert sorted(known.by_name) == ["a", "b"]
        await clock.advance(40)
        known.update([_instance("a")])
        assert sorted(known.by_name) == ["a"]

    asyncio.run(main())


def test_list_older_than_the_known_one_is_ignored():
    async def main():
        clock = ManualClock()
        known = KnownInstances(clock=clock)
        assert known.update([_instance("a")], age_s=5.0)
        assert not known.update([_instance("b")], age_s=6.0)
        await clock.advance(10)
        assert known.update([_instance("b")], age_s=6.0)
        assert known.age_s == 6.0

    asyncio.run(main())
