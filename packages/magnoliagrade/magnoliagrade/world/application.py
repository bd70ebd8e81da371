"""Pools of endpoints, and the applications that callers send requests to."""

import enum
from dataclasses import dataclass, field

__all__ = ["ROUTING_NAMES", "Application", "Pool", "Work"]

# Names of the routing policies in the registry of the entries.
ROUTING_NAMES = ("least-loaded", "prefix-affinity", "random", "two-choices")


class Work(enum.Enum):
    """Kind of back end that serves an application's requests."""

    MODEL = "model"
    SERVICE = "service"


@dataclass(slots=True, kw_only=True)
class Pool:
    """Set of endpoints any of which can serve the requests routed to the pool.

    Parameters
    ----------
    name : str
        Name of the pool.
    endpoint_selector : str
        Label selector over endpoints.
    data_centre_selector : str
        Label selector over data centres; an empty one selects all.
    routing : str
        Name of the routing policy, one of `ROUTING_NAMES`.
    cold_limit : int
        Limit on the work in flight at a cold endpoint, in tokens for model engines
        and in requests for services.
    full_limit : int
        Limit on the work in flight at a warm endpoint, in the units of `cold_limit`.
    retry_budget : float
        Maximum number of retries as a fraction of recent requests.
    options : dict of str to str
        Options of the pool's policies, by dotted name.
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
    """A model or service that callers send requests to.

    Parameters
    ----------
    name : str
        Name of the model, or first path segment of a service.
    work : Work
        Kind of back end.
    idempotent_paths : list of str
        Paths of a service whose requests may be retried regardless of method.
    deadline_s : float
        Time in seconds within which a request must be served if the caller sets no
        deadline.
    """

    name: str
    work: Work
    idempotent_paths: list = field(default_factory=list)
    deadline_s: float = 60.0
