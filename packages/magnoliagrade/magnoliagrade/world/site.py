"""What an operator's platform describes: routes, services and their endpoints."""

import enum
from dataclasses import dataclass, field

__all__ = [
    "BackEndService",
    "EngineProfile",
    "RankStatus",
    "RouteKind",
    "ServiceRoute",
    "ServiceShare",
    "SiteConfiguration",
    "SiteEndpoint",
    "SiteLimits",
    "SiteOrganisation",
]


class RouteKind(enum.Enum):
    """What may be repeated of a route's requests."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclass(slots=True, kw_only=True)
class ServiceShare:
    """Part of a route's requests that goes to one service."""

    service: str
    weight: float


@dataclass(slots=True, kw_only=True)
class ServiceRoute:
    """Requests of one host whose paths begin with one prefix.

    Parameters
    ----------
    name, host, prefix : str
        Name, host and path prefix.
    kind : RouteKind
        What may be repeated.
    shares : list of ServiceShare
        Services that the route's requests are spread over.
    timeout_s : float
        Longest time to an answer, in seconds.
    objective_s : float
        Latency objective, in seconds; of a stream, to its first event.
    gap_objective_s : float
        Longest pause between events that counts as in time, in seconds.
    priority : int
        Rank of the route; 0 goes first.
    max_endpoints : int
        Endpoints that one request may be sent to.
    is_public : bool
        Whether requests need no key.
    is_resumable : bool
        Whether a broken stream may be continued at another endpoint.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: list
    timeout_s: float
    objective_s: float
    gap_objective_s: float = 0.0
    priority: int = 5
    max_endpoints: int = 1
    is_public: bool = False
    is_resumable: bool = False

    @property
    def is_stream(self):
        """Whether answers are streams of events."""
        return self.kind is RouteKind.STREAM

    @property
    def is_idempotent(self):
        """Whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or (self.is_stream and self.is_resumable)


@dataclass(slots=True, kw_only=True)
class EngineProfile:
    """How a model engine turns work into time.

    Parameters
    ----------
    slots : int
        Requests that run at once.
    step_s, sequence_s, context_1000_s : float
        Seconds of one step, of each sequence in it, and of each thousand tokens of a
        sequence's context.
    read_tokens_per_s : float
        Prompt tokens that are read a second.
    steps_per_pass : int
        Steps of a pass that writes.
    usual_prompt, usual_answer : float
        Mean tokens of prompts and of answers.
    sets, experts, places, spare : int
        Sets of layers, experts of a set, experts that a rank holds of a set, and those
        that may be prepared besides.
    expert_share : float
        Part of a token's work that the experts do.
    expert_mb : float
        Megabytes of one expert.
    """

    slots: int
    step_s: float
    sequence_s: float
    context_1000_s: float
    read_tokens_per_s: float
    steps_per_pass: int = 1
    usual_prompt: float = 0.0
    usual_answer: float = 0.0
    sets: int = 0
    experts: int = 0
    places: int = 0
    spare: int = 0
    expert_share: float = 0.0
    expert_mb: float = 0.0


@dataclass(slots=True, kw_only=True)
class BackEndService:
    """A service whose endpoints are interchangeable.

    Parameters
    ----------
    name : str
        Name of the service.
    max_connections : int
        Connections that one endpoint accepts from all callers together.
    cold_per_s : float
        Requests a second that a cold endpoint bears; 0 means no limit.
    engine : EngineProfile or None
        Set for model engines.
    """

    name: str
    max_connections: int = 0
    cold_per_s: float = 0.0
    engine: EngineProfile | None = None


@dataclass(slots=True, kw_only=True)
class SiteOrganisation:
    """A customer with its keys.

    Parameters
    ----------
    name : str
        Name of the organisation.
    priority : int or None
        Rank that goes before a route's; None leaves that.
    """

    name: str
    priority: int | None = None


@dataclass(slots=True, kw_only=True)
class SiteLimits:
    """What a caller's connection may ask."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(slots=True, kw_only=True)
class SiteConfiguration:
    """One version of what the operators ask for.

    Parameters
    ----------
    version : int
        Number that rises with each change.
    routes : list of ServiceRoute
        Routes.
    service_by_name : dict of str to BackEndService
        Services.
    organisation_by_key : dict of str to SiteOrganisation or None
        Organisations by each of their keys; None where requests need no key.
    limits : SiteLimits
        Limits on callers.
    """

    version: int
    routes: list
    service_by_name: dict
    organisation_by_key: dict | None
    limits: SiteLimits = field(default_factory=SiteLimits)


@dataclass(slots=True, kw_only=True)
class SiteEndpoint:
    """A server that registered itself.

    Parameters
    ----------
    id : str
        Id of its incarnation.
    service : str
        Service that it belongs to.
    address : str
        `host:port`.
    data_centre : str
        Data centre that it stands in.
    slots : int
        Requests that it runs at once.
    is_draining : bool
        Whether it is leaving.
    cold_s : float
        Seconds that it stayed cold after the entry was written.
    """

    id: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_draining: bool = False
    cold_s: float = 0.0


@dataclass(slots=True, kw_only=True)
class RankStatus:
    """What a rank of an expert-parallel group says of itself.

    Parameters
    ----------
    group : str
        Name of the group; empty for a server that is in none.
    epoch : int
        Number of the group's formation; maps, arms and holds end with it.
    rank, size : int
        Position in the group and number of its ranks.
    is_open : bool
        Whether the group runs passes.
    born_ms : int
        Unix time of the server's start, in milliseconds.
    step : int
        Last pass that was begun.
    map_version : int
        Expert map in use.
    prepared_version : int or None
        Expert map that has been copied and may be armed.
    armed_version, armed_step : int or None
        Expert map that is switched to as a pass begins, and that pass.
    held_step : int or None
        Pass that the group does not begin until it is released.
    running, waiting : int
        Requests that run and that wait at the rank.
    pace : float
        Time that its work takes, as a multiple of the usual; above 1 it is slow.
    """

    group: str = ""
    epoch: int = 0
    rank: int = 0
    size: int = 0
    is_open: bool = False
    born_ms: int = 0
    step: int = 0
    map_version: int = 0
    prepared_version: int | None = None
    armed_version: int | None = None
    armed_step: int | None = None
    held_step: int | None = None
    running: int = 0
    waiting: int = 0
    pace: float = 1.0
