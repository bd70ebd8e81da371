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
# Names of the rebalancing policies. They repeat those of the policy registry so that a
# configuration can be checked without importing the libraries of the policies.
REBALANCING_POLICIES = ("full-repack", "greedy", "static", "weighed")


@dataclass(slots=True, kw_only=True)
class Rank:
    """One rank of a group, and the endpoint that runs it.

    Parameters
    ----------
    index : int
        Index within the group, from 0.
    endpoint : str
        Name of the endpoint that runs it.
    """

    index: int
    endpoint: str


@dataclass(slots=True, kw_only=True)
class ExpertMap:
    """Placement of the experts of each layer on the ranks of a group.

    Parameters
    ----------
    version : int
        Version number, strictly increasing within the group.
    placement : list of list of list of int
        `placement[layer][rank]` lists the indices of the experts that the rank holds.
    """

    version: int
    placement: list = field(default_factory=list)


@dataclass(slots=True, kw_only=True)
class GroupOptions:
    """Options of the rebalancing of a group.

    Parameters
    ----------
    interval_s : float
        Interval in seconds between rebalancing plans.
    half_life_s : float
        Half-life in seconds of the weight of a report of expert counts.
    horizon_s : float
        Time in seconds over which the gain of a better map is expected to last.
    expert_bytes : float
        Size in bytes of the weights of one expert in one layer.
    store_bytes_per_s : float
        Throughput of the weight store of the data centre, in bytes per second.
    store_share : float
        Fraction of `store_bytes_per_s` that all rebalancing together may use.
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
        Number of experts in each layer.
    layers : int
        Number of layers with experts.
    slots_per_rank : int
        Number of experts of one layer that fit into the memory of a rank.
    rebalancing : str
        Name of the rebalancing policy, one of `REBALANCING_POLICIES`.
    is_frozen : bool
        Whether operators have stopped rebalancing.
    pinned_version : int
        Version of the expert map that operators have pinned; 0 for none.
    options : dict of str to str
        Configured options of rebalancing, by name with `OPTION_PREFIX`.
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
        """Return the options of rebalancing, with defaults for those not configured.

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
