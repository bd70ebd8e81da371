import asyncio

from magnoliagrade_standins.trials.capacity import run_capacity


def test_engines_stay_within_capacity_through_cold_start_and_restarts():
    result = asyncio.run(
        run_capacity(
            seed=3,
            duration_s=8.0,
            engines={"kamloops": 1, "kelowna": 1, "vernon": 1},
            fault_pause_s=2.0,
        )
    )
    assert result.passed, result.lines()
