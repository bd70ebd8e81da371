import asyncio

import aiohttp
from magnoliagrade.clock import ManualClock, SystemClock
from magnoliagrade.node import start_site

from magnoliagrade_standins.weights import (
    WeightClient,
    WeightStore,
    make_weights_app,
)


def test_models_load_before_experts():
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


def test_clients_share_the_rate_and_models_load_first():
    asyncio.run(_load_over_http())


async def _load_over_http():
    clock = SystemClock()
    store = WeightStore(clock=clock, bytes_per_s=1e6)
    runner, address = await start_site(make_weights_app(store, clock), "127.0.0.1:0")
    async with aiohttp.ClientSession() as session:
        url = f"http://{address}"
        expert = WeightClient(url=url, session=session).submit("expert", 600_000)
        model = WeightClient(url=url, session=session).submit("model", 200_000)
        while not model.is_done:
            await clock.sleep(0.01)
        assert store.bytes_loaded_by_kind["expert"] < 600_000
        while not expert.is_done:
            await clock.sleep(0.01)
        loaded = {k: round(v) for k, v in store.bytes_loaded_by_kind.items()}
        assert loaded == {"model": 200_000, "expert": 600_000}
    await runner.cleanup()
