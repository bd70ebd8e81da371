"""Trials: experiments with real processes, run by one command each."""

from magnoliagrade_standins.trials.registry import (
    Check,
    TrialResult,
    run_trial,
    trial_functions,
    trials,
)

__all__ = ["Check", "TrialResult", "run_trial", "trial_functions", "trials"]
