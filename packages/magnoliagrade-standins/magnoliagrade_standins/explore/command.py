"""Command that checks the switch of an expert map by random walks."""

import dataclasses
import json

from magnoliagrade_standins.explore.exploration import ExplorationPlan, explore

__all__ = ["explore_command"]


def explore_command(**bounds):
    """Print the finding of the random walks as JSON and return the exit code.

    Parameters
    ----------
    **bounds
        Fields of `ExplorationPlan`.

    Returns
    -------
    code : int
        1 if a step was begun with two maps or a group did not recover; 0 otherwise.
    """
    finding = explore(ExplorationPlan(**bounds))
    print(json.dumps(dataclasses.asdict(finding), indent=1))
    return int(bool(finding.two_maps or finding.stuck_seeds))
