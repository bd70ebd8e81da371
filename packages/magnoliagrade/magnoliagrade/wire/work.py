"""Messages between direct entries, and between the agents of a group's ranks."""

from dataclasses import dataclass, field

from magnoliagrade.wire.message_table import message

__all__ = [
    "EndpointLimit",
    "EndpointWork",
    "Permit",
    "PermitRequest",
    "RankCall",
    "RankReply",
    "RequestCrash",
    "RequestServed",
    "ServiceOutage",
    "SiteChange",
    "SiteChanges",
    "SiteChangesPull",
    "SiteConfigurationCopy",
    "SiteConfigurationPull",
    "WorkInFlight",
]


@dataclass(slots=True, kw_only=True)
class EndpointWork:
    """Number of requests that the sender has in flight at one endpoint."""

    endpoint: str = ""
    in_flight: int = 0


@message("work", "inFlight")
class WorkInFlight:
    """An entry reports its requests in flight to a peer.

    Endpoints that are not listed have none if `is_complete`, else they are unchanged.
    """

    is_complete: bool = False
    endpoints: list = field(default_factory=list, metadata={"of": EndpointWork})


@message("work", "rankCall")
class RankCall:
    """A coordinator calls an operation on an agent's rank."""

    call: int = 0
    operation: str = ""
    epoch: int = 0
    version: int = 0
    step: int = 0
    placement: bytes = b""
    base: int = 0


@message("work", "rankReply")
class RankReply:
    """Result of a coordinator's call at an agent's rank."""

    call: int = 0
    outcome: str = ""
    status: bytes = b""
    counts: bytes = b""
    tries: int = 0


@message("work", "serviceOutage")
class ServiceOutage:
    """An entry reports that a group of a service is unavailable, or available again.

    Without a group, the entry does not know which group an endpoint belongs to, and the
    whole service is meant.
    """

    service: str = ""
    is_out: bool = False
    group: str = ""


@message("work", "siteConfigurationPull")
class SiteConfigurationPull:
    """An entry asks a peer for the site configuration if the peer's is newer."""

    version: int = 0


@message("work", "siteConfigurationCopy")
class SiteConfigurationCopy:
    """The site configuration that an entry has in force, encoded as in the store."""

    data: bytes = b""


@message("work", "requestCrash")
class RequestCrash:
    """A server ended while it ran a request with these traits."""

    endpoint: str = ""
    parts: list = field(default_factory=list)
    age_seconds: float = 0.0
    request: str = ""
    variant: str = ""
    caller: str = ""
    lasted_seconds: float = 0.0
    silent_seconds: float = 0.0


@message("work", "requestServed")
class RequestServed:
    """A request with these traits, under which a server had ended, was served."""

    parts: list = field(default_factory=list)
    request: str = ""
    variant: str = ""
    caller: str = ""


@message("work", "endpointLimit")
class EndpointLimit:
    """An endpoint names a limit on the requests that it takes per second, or none."""

    endpoint: str = ""
    per_second: float = 0.0


@message("work", "permitRequest")
class PermitRequest:
    """An entry asks the issuer for a permit to send a request to an endpoint."""

    endpoint: str = ""
    per_second: float = 0.0


@message("work", "permit")
class Permit:
    """The receiver may send one request to an endpoint."""

    endpoint: str = ""


@dataclass(slots=True, kw_only=True)
class SiteChange:
    """A change of a key of the store."""

    key: str = ""
    value: bytes = b""
    is_deleted: bool = False
    revision: int = 0


@message("work", "siteChangesPull")
class SiteChangesPull:
    """An entry asks a peer for the store's changes after a position."""

    call: int = 0
    era: int = 0
    revision: int = 0


@message("work", "siteChanges")
class SiteChanges:
    """The changes after the position of a pull.

    The sender cannot answer unless `is_known`. If `is_confirmed`, it has read the store
    after the pull arrived. If `is_relaying`, it can answer pulls of later changes.
    """

    call: int = 0
    is_known: bool = False
    is_confirmed: bool = False
    revision: int = 0
    changes: list = field(default_factory=list, metadata={"of": SiteChange})
    is_relaying: bool = False
