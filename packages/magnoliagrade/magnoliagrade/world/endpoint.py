"""Endpoints, the instances that run a model engine or a plain service."""

import enum
from dataclasses import dataclass, field

__all__ = ["Endpoint", "EndpointState", "LoadReport"]


class EndpointState(enum.Enum):
    """State of an endpoint; only a ready one may be given new work."""

    READY = "ready"
    DRAINING = "draining"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(slots=True, kw_only=True)
class LoadReport:
    """Load that an engine reported.

    Parameters
    ----------
    boot_id : str
        Id of the engine's start; changes whenever the engine restarts.
    running : int
        Requests in the current batch.
    waiting : int
        Requests waiting inside the engine.
    tokens_in_flight : int
        Tokens of running and waiting requests.
    cache_used : float
        Fraction of the prefix cache in use, from 0 to 1.
    age_s : float
        Age of the report in seconds when it was received.
    """

    boot_id: str = ""
    running: int = 0
    waiting: int = 0
    tokens_in_flight: int = 0
    cache_used: float = 0.0
    age_s: float = 0.0


@dataclass(slots=True, kw_only=True)
class Endpoint:
    """State of one endpoint as known to an entry.

    Parameters
    ----------
    name : str
        Name of the endpoint.
    data_centre : str
        Name of the data centre that it runs in.
    data_address : str
        `host:port` of its agent's HTTP listener.
    incarnation : int
        Incarnation of its agent, a number that tells its restarts apart.
    labels : dict of str to str
        Labels from its settings, overridden by those of the operators.
    state : EndpointState
        State; only a ready endpoint may be given new work.
    report : LoadReport
        Latest load report.
    group : str
        Name of the expert-parallel group it belongs to, or empty.
    group_generation : int
        Generation of the group that its agent runs in; 0 while the group is
        incomplete.
    is_group_complete : bool
        Whether all known ranks of the group run in the same generation.
    """

    name: str
    data_centre: str
    data_address: str = ""
    incarnation: int = 0
    labels: dict = field(default_factory=dict)
    state: EndpointState = EndpointState.READY
    report: LoadReport = field(default_factory=LoadReport)
    group: str = ""
    group_generation: int = 0
    is_group_complete: bool = False
