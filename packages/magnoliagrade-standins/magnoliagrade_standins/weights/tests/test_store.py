import asyncio

from magnoliagrade.clock import ManualClock

from magnoliagrade_standins.weights import WeightStore


def test_models_go_before_experts():
    async def main():
        clock = ManualClock()
        store = WeightStore(clock=clock, bytes_per_s=100.0)
        expert = store.submit("expert", 100)
        model = store.submit("model", 100)
        await clock.advance(1.0)
        store.progress()
        assert (model.is_done, expert.is_done) == (True, False)
        await clock.advance(1.0)
        store.progress()
        assert expert.is_done

    asyncio.run(main())
