"""Pools of endpoints and the applications that callers address."""

import enum
from dataclasses import dataclass, field

__all__ = ["ROUTING_NAMES", "Application", "Pool", "Work"]

# Names that the entries' routing policies are registered under.
ROUTING_NAMES = ("least-loaded", "prefix-affinity", "random", "two-choices")


class Work(enum.Enum):
    """Kind of work that an application sends to its back ends."""

    MODEL = "model"
    SERVICE = "service"


@dataclass(slots=True, kw_only=True)
class Pool:
    """Endpoints that are interchangeable for some requests.

    Parameters
    ----------
    name : str
        Name of the pool.
    endpoint_selector : str
        Label selector over endpoints.
    data_centre_selector : str
        Label selector over data centres; empty selects all.
    routing : str
        Name of the routing policy, one of `ROUTING_NAMES`.
    cold_limit : int
        Tokens (or requests, for services) in flight that a cold endpoint bears.
    full_limit : int
        The same for an endpoint that is warm.
    retry_budget : float
        Retries allowed as a fraction of recent requests.
    options : dict of str to str
        Options of policies, by dotted name.
    """

    name: str
    endpoint_selector: str
    data_centre_selector: str = ""
    routing: str = "prefix-affinity"
    cold_limit: int = 2
    full_limit: int = 16
    retry_budget: float = 0.1
    options: dict = field(default_factory=dict)


@dataclass(slots=True, kw_only=True)
class Application:
    """Something callers address.

    Parameters
    ----------
    name : str
        Model name for model work, first path segment for services.
    work : Work
        Kind of back end.
    idempotent_paths : list of str
        Paths of a service whose calls may be repeated whatever their method.
    deadline_s : float
        Deadline in seconds when the caller sets none.
    """

    name: str
    work: Work
    idempotent_paths: list = field(default_factory=list)
    deadline_s: float = 60.0
