import asyncio

from magnoliagrade.clock import ManualClock

from magnoliagrade_standins.engine import Engine, EngineProfile, EngineRequest
from magnoliagrade_standins.engine.engine import EngineFell

PROFILE = EngineProfile(cold_tokens=100, warm_tokens=400, warm_after_tokens=30)


def _request(number, tokens=40):
    return EngineRequest(
        id=f"r{number}", attempt="a", prompt_tokens=10, output_tokens=tokens - 10
    )


def test_cold_engine_falls_over_what_it_bears():
    engine = Engine(profile=PROFILE, clock=ManualClock())
    requests = [_request(i) for i in range(3)]
    boot = engine.boot_id
    for request in requests:
        engine.submit(request)
    assert engine.falls == 1 and engine.boot_id != boot
    assert engine.peak_load == 1.2
    assert isinstance(requests[0].tokens.get_nowait(), EngineFell)


def test_engine_bears_more_once_warm():
    async def main():
        clock = ManualClock()
        engine = Engine(profile=PROFILE, clock=clock)
        task = asyncio.create_task(engine.run())
        engine.submit(_request(0))
        await asyncio.sleep(0)
        await clock.advance(5)
        assert engine.bears_tokens == 400
        for i in range(1, 9):
            engine.submit(_request(i))
        assert engine.falls == 0
        task.cancel()

    asyncio.run(main())
