from magnoliagrade_standins.trials import TrialResult, run_trial, trials


@trials.register("example")
async def _example(*, seed, factor=1):
    result = TrialResult(trial="example", seed=seed)
    result.check("factor is small", factor < 3, factor)
    result.figures["factor"] = factor
    return result


def test_trial_fails_if_a_check_fails():
    assert run_trial("example", seed=1).passed
    assert not run_trial("example", seed=1, as_json=True, factor=3).passed
