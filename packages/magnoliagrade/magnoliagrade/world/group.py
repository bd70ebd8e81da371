"""Expert-parallel groups, their ranks and expert maps."""

from dataclasses import dataclass, field

__all__ = [
    "OPTION_PREFIX",
    "REBALANCING_POLICIES",
    "ExpertMap",
    "Group",
    "GroupOptions",
    "Rank",
]

OPTION_PREFIX = "option."
# Named here as well as in the registry, so that checking a configuration needs none
# of the policies' libraries.
REBALANCING_POLICIES = ("full-repack", "greedy", "static", "weighed")


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
class GroupOptions:
    """Options of a group's rebalancing.

    Parameters
    ----------
    interval_s : float
        Seconds between plans.
    half_life_s : float
        Age in seconds at which a report of counts weighs half.
    horizon_s : float
        Seconds for which a better map is expected to stay better.
    expert_bytes : float
        Size of one expert of one layer.
    store_bytes_per_s : float
        Rate of the weight store in the data centre.
    store_share : float
        Part of that rate which all rebalancing may use.
    """

    interval_s: float = 300.0
    half_life_s: float = 300.0
    horizon_s: float = 1800.0
    expert_bytes: float = 44e6
    store_bytes_per_s: float = 1e9
    store_share: float = 0.25


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
        Options of its rebalancing as they are configured, with their prefix.
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

    def rebalancing_options(self):
        """Return the options of rebalancing, those not configured at their default.

        Examples
        --------
        >>> group = Group(name="experts", options={"option.horizon_s": "60"})
        >>> group.rebalancing_options().horizon_s
        60.0
        """
        values = {
            key.removeprefix(OPTION_PREFIX): float(text)
            for key, text in self.options.items()
        }
        return GroupOptions(**values)
