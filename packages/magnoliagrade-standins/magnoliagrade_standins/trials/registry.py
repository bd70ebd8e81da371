"""Registry of trials, and the result that a trial returns."""

import asyncio
import importlib
import json
from dataclasses import asdict, dataclass, field

from magnoliagrade.registry import Registry

__all__ = ["Check", "TrialResult", "run_trial", "trial_functions", "trials"]

trials = Registry(family="trial")

# Modules that register their trials on import.
TRIAL_MODULES = (
    "magnoliagrade_standins.trials.capacity",
    "magnoliagrade_standins.trials.claim_cost",
    "magnoliagrade_standins.trials.data_centre_move",
    "magnoliagrade_standins.trials.fairness",
    "magnoliagrade_standins.trials.group_faults",
    "magnoliagrade_standins.trials.outcomes",
    "magnoliagrade_standins.trials.overload",
    "magnoliagrade_standins.trials.retries",
    "magnoliagrade_standins.trials.routing",
)


@dataclass(slots=True, kw_only=True)
class Check:
    """One condition that a trial checked.

    Parameters
    ----------
    name : str
        Condition that must hold.
    passed : bool
        Whether it held.
    detail : str
        Observed value.
    """

    name: str
    passed: bool
    detail: str = ""


@dataclass(slots=True, kw_only=True)
class TrialResult:
    """Checks and figures of one trial.

    Parameters
    ----------
    trial : str
        Name of the trial.
    seed : int
        Seed of the run.
    checks : list of Check
        Checks in the order in which they were made.
    figures : dict of str to float
        Measured values by name; names carry the unit.
    """

    trial: str
    seed: int
    checks: list = field(default_factory=list)
    figures: dict = field(default_factory=dict)

    def check(self, name, passed, detail=""):
        """Add a check with its outcome and the observed value."""
        self.checks.append(Check(name=name, passed=bool(passed), detail=str(detail)))

    @property
    def passed(self):
        """Whether every check passed."""
        return all(c.passed for c in self.checks)

    def lines(self):
        """Return the result as lines of text."""
        rows = [f"trial {self.trial}, seed {self.seed}"]
        rows += [
            f"  {'pass' if c.passed else 'FAIL'}  {c.name}  {c.detail}".rstrip()
            for c in self.checks
        ]
        rows += [f"  {name} = {value:g}" for name, value in self.figures.items()]
        return rows


def run_trial(name, *, seed, as_json=False, **options):
    """Run a trial, print its result and return it.

    Parameters
    ----------
    name : str
        Name of the trial in the registry.
    seed : int
        Seed of all random choices of the trial.
    as_json : bool
        Whether to print JSON instead of text.
    **options
        Keyword arguments of the trial.

    Returns
    -------
    result : TrialResult
        Checks and figures of the trial.
    """
    _import_trials()
    result = asyncio.run(trials.get(name)(seed=seed, **options))
    text = json.dumps(asdict(result)) if as_json else "\n".join(result.lines())
    print(text)
    return result


def trial_functions():
    """Return the functions of all registered trials in the order of their names."""
    _import_trials()
    return [trials.get(name) for name in trials.names()]


def _import_trials():
    for module in TRIAL_MODULES:
        importlib.import_module(module)
