"""Objects of the operators' platform: routes, services and their endpoints."""

import enum
from dataclasses import dataclass, field

__all__ = [
    "BackEndService",
    "EngineProfile",
    "RankGroup",
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
    """Whether the requests of a route may be retried, and whether they stream."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclass(slots=True, kw_only=True)
class ServiceShare:
    """Weight of one service among those that share the requests of a route."""

    service: str
    weight: float


@dataclass(slots=True, kw_only=True)
class ServiceRoute:
    """Rule for the requests to one host whose paths begin with one prefix.

    Parameters
    ----------
    name, host, prefix : str
        Name of the route, host and path prefix that it matches.
    kind : RouteKind
        Whether requests may be retried, and whether responses are streams.
    shares : list of ServiceShare
        Services that the requests are distributed over, with their weights.
    timeout_s : float
        Timeout of a request, in seconds.
    objective_s : float
        Latency objective, in seconds; for a stream, the time to its first event.
    gap_objective_s : float
        Objective for the longest gap between two events of a stream, in seconds.
    priority : int
        Priority of the requests; 0 is served first, unlike `Request.priority`, of
        which a higher value is more urgent.
    max_endpoints : int
        Maximum number of endpoints that one request is sent to.
    is_public : bool
        Whether requests are accepted without an API key.
    is_resumable : bool
        Whether a broken stream may be resumed at another endpoint.
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
        """Whether responses are streams of events."""
        return self.kind is RouteKind.STREAM

    @property
    def is_idempotent(self):
        """Whether a request may be executed more than once."""
        return self.kind is RouteKind.SAFE or (self.is_stream and self.is_resumable)


@dataclass(slots=True, kw_only=True)
class EngineProfile:
    """Parameters of the cost model of a model engine.

    Parameters
    ----------
    slots : int
        Maximum number of requests that run at the same time.
    step_s, sequence_s, context_1000_s : float
        Time in seconds of one step, and the time that each sequence and each thousand
        tokens of a sequence's context add to it.
    read_tokens_per_s : float
        Prompt tokens processed per second.
    steps_per_pass : int
        Number of steps in one decoding pass.
    usual_prompt, usual_answer : float
        Mean number of tokens of a prompt and of a response.
    sets, experts, places, spare : int
        Number of sets of layers, of experts in a set, of experts of a set that a rank
        holds, and of further experts that a rank may prepare.
    expert_share : float
        Fraction of the work on a token that is done by experts.
    expert_mb : float
        Size of one expert, in megabytes.
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
        Maximum number of connections that one endpoint accepts from all its clients.
    cold_per_s : float
        Requests per second that a cold endpoint sustains; 0 means no limit.
    cold_start_s : float
        Time in seconds that an endpoint is cold after its start.
    engine : EngineProfile or None
        Cost model if the service is a model engine, else None.
    """

    name: str
    max_connections: int = 0
    cold_per_s: float = 0.0
    cold_start_s: float = 0.0
    engine: EngineProfile | None = None


@dataclass(slots=True, kw_only=True)
class SiteOrganisation:
    """A customer as described by the operators' platform.

    Parameters
    ----------
    name : str
        Name of the organisation.
    priority : int or None
        Priority that overrides that of the route; None keeps that of the route.
    """

    name: str
    priority: int | None = None


@dataclass(slots=True, kw_only=True)
class SiteLimits:
    """Limits on the size of requests and on the idle time of connections."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(slots=True, kw_only=True)
class SiteConfiguration:
    """One version of the site configuration.

    Parameters
    ----------
    version : int
        Version number, strictly increasing with each change.
    routes : list of ServiceRoute
        Routes.
    service_by_name : dict of str to BackEndService
        Services.
    organisation_by_key : dict of str to SiteOrganisation or None
        Organisations by API key; None if requests need no key.
    limits : SiteLimits
        Limits on the requests and connections of callers.
    """

    version: int
    routes: list
    service_by_name: dict
    organisation_by_key: dict | None
    limits: SiteLimits = field(default_factory=SiteLimits)


@dataclass(slots=True, kw_only=True)
class SiteEndpoint:
    """An endpoint as registered by its server.

    Parameters
    ----------
    id : str
        Id of its incarnation.
    service : str
        Name of the service that it belongs to.
    address : str
        `host:port`.
    data_centre : str
        Name of the data centre that it runs in.
    slots : int
        Number of requests that it runs at the same time.
    is_draining : bool
        Whether it is about to leave and takes no new requests.
    cold_s : float
        Time in seconds that it is cold after its registration was written.
    born_ms : int
        Unix time of the start of the server, in milliseconds; 0 if unknown.
    sequence : int
        Number of the registration since the start of the server.
    """

    id: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_draining: bool = False
    cold_s: float = 0.0
    born_ms: int = 0
    sequence: int = 0

    @property
    def registration_order(self):
        """Key that orders the registrations of one id as its server wrote them."""
        return self.born_ms, self.sequence


@dataclass(slots=True, kw_only=True)
class RankGroup:
    """A group of servers that run their passes together, as its ranks' agents report.

    Parameters
    ----------
    name : str
        Name of the group.
    epoch : int
        Number of its formation.
    is_open : bool
        Whether it runs passes; it does not while it has lost a rank.
    addresses : tuple of str
        Server addresses of its ranks, ordered by rank.
    """

    name: str
    epoch: int
    is_open: bool
    addresses: tuple


@dataclass(slots=True, kw_only=True)
class RankStatus:
    """Status that a rank of an expert-parallel group reports.

    A rank changes its expert map in three stages: the experts of the new map are
    copied (prepared), the number of the pass to switch at is set (armed), and the rank
    switches at the start of that pass. `step`, `armed_step` and `held_step` are numbers
    of passes, not of the steps of `EngineProfile`.

    Parameters
    ----------
    group : str
        Name of the group; empty for a server that belongs to no group.
    epoch : int
        Number of the group's current formation. Expert maps, armed switches and holds
        are valid in one epoch only.
    rank, size : int
        Index within the group, and number of ranks of the group.
    is_open : bool
        Whether the group runs passes.
    born_ms : int
        Unix time of the start of the server, in milliseconds.
    step : int
        Number of the last pass that was started.
    map_version : int
        Version of the expert map in use.
    prepared_version : int or None
        Version of the expert map that has been copied and may be armed; None if none.
    armed_version, armed_step : int or None
        Version of the expert map to switch to, and number of the pass at whose start
        it is switched to; None if no switch is armed.
    held_step : int or None
        Number of the pass that the group does not start before it is released; None
        if no pass is held.
    running, waiting : int
        Number of running and of waiting requests at the rank.
    pace : float
        Time per pass relative to normal: 1 is normal, 2.0 is twice as slow.
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
