"""Expert-parallel groups, their ranks and expert maps."""

from dataclasses import dataclass, field

__all__ = ["ExpertMap", "Group", "Rank"]


@dataclass(slots=True, kw_only=True)
class Rank:
    """One rank of a group and the endpoint that runs it.

    Parameters
    ----------
    index : int
        Position in the group, from 0.
    endpoint : str
        Name of the endpoint that runs it.
    """

    index: int
    endpoint: str


@dataclass(slots=True, kw_only=True)
class ExpertMap:
    """Placement of experts on ranks, per layer.

    Parameters
    ----------
    version : int
        Strictly increasing number within the group.
    placement : list of list of list of int
        `placement[layer][rank]` lists the experts that the rank holds.
    """

    version: int
    placement: list = field(default_factory=list)


@dataclass(slots=True, kw_only=True)
class Group:
    """Ranks that run in lock-step on one expert map.

    Parameters
    ----------
    name : str
        Name of the group.
    ranks : int
        Number of ranks.
    experts : int
        Experts in each layer.
    layers : int
        Layers with experts.
    slots_per_rank : int
        Experts of one layer that a rank's memory holds.
    rebalancing : str
        Name of the rebalancing policy.
    is_frozen : bool
        Whether operators have stopped rebalancing.
    pinned_version : int
        Map version that operators have pinned; 0 for none.
    options : dict of str to str
        Options of the policy, by dotted name.
    """

    name: str
    ranks: int = 0
    experts: int = 0
    layers: int = 0
    slots_per_rank: int = 0
    rebalancing: str = "static"
    is_frozen: bool = False
    pinned_version: int = 0
    options: dict = field(default_factory=dict)
