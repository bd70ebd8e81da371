"""Trials: experiments with real processes that the `trial` command runs by name."""

from magnoliagrade_standins.trials.registry import (
    Check,
    TrialResult,
    run_trial,
    trial_functions,
    trials,
)

__all__ = ["Check", "TrialResult", "run_trial", "trial_functions", "trials"]
