"""The command that explores the switch of a map."""

import dataclasses
import json

from magnoliagrade_standins.explore.exploration import ExplorationPlan, explore

__all__ = ["explore_command"]


def explore_command(**bounds):
    """Print what the walks show and return the exit code.

    Parameters
    ----------
    **bounds
        Fields of `ExplorationPlan`.

    Returns
    -------
    code : int
        1 if a step had two maps or a group did not run again.
    """
    finding = explore(ExplorationPlan(**bounds))
    print(json.dumps(dataclasses.asdict(finding), indent=1))
    return int(bool(finding.two_maps or finding.stuck_seeds))
