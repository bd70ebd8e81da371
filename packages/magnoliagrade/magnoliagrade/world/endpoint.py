"""Endpoints: machines that run a model server or a plain service."""

import enum
from dataclasses import dataclass, field

__all__ = ["Endpoint", "EndpointState", "LoadReport"]


class EndpointState(enum.Enum):
    """Whether an endpoint may be given new work."""

    READY = "ready"
    DRAINING = "draining"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(slots=True, kw_only=True)
class LoadReport:
    """What an engine said of its load, some time ago.

    Parameters
    ----------
    boot_id : str
        Changes whenever the engine starts anew.
    running : int
        Requests in the current batch.
    waiting : int
        Requests waiting inside the engine.
    tokens_in_flight : int
        Tokens held by running and waiting requests.
    cache_used : float
        Fraction of the prefix cache in use.
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
    """One endpoint as an entry sees it.

    Parameters
    ----------
    name : str
        Name of the endpoint instance.
    data_centre : str
        Where it stands.
    data_address : str
        `host:port` of its agent's HTTP listener.
    incarnation : int
        Incarnation of its agent.
    labels : dict of str to str
        Labels from its settings, overridden by the operators'.
    state : EndpointState
        Whether it may be given new work.
    report : LoadReport
        Newest load report.
    group : str
        Name of the expert-parallel group it belongs to, or empty.
    group_generation : int
        Generation that its agent runs in; 0 while the group is not complete.
    is_group_complete : bool
        Whether all ranks of the group that are seen run in one generation.
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
