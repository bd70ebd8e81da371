import asyncio

from magnoliagrade.clock import ManualClock

from magnoliagrade_standins.engine import Engine, EngineProfile, EngineRequest
from magnoliagrade_standins.engine.engine import EngineCrashed

PROFILE = EngineProfile(cold_tokens=100, warm_tokens=400, warm_after_tokens=30)


def _request(number, tokens=40):
    return EngineRequest(
        id=f"r{number}", attempt="a", prompt_tokens=10, output_tokens=tokens - 10
    )


def test_cold_engine_crashes_above_its_capacity():
    engine = Engine(profile=PROFILE, clock=ManualClock())
    requests = [_request(i) for i in range(3)]
    first_boot_id = engine.boot_id
    for request in requests:
        engine.submit(request)
    assert engine.falls == 1 and engine.boot_id != first_boot_id
    assert engine.peak_load == 1.2
    assert isinstance(requests[0].tokens.get_nowait(), EngineCrashed)


def test_warm_engine_has_more_capacity():
    async def main():
        clock = ManualClock()
        engine = Engine(profile=PROFILE, clock=clock)
        task = asyncio.create_task(engine.run())
        engine.submit(_request(0))
        await asyncio.sleep(0)
        await clock.advance(5)
        assert engine.capacity_tokens == 400
        for i in range(1, 9):
            engine.submit(_request(i))
        assert engine.falls == 0
        task.cancel()

    asyncio.run(main())
