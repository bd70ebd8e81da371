"""Messages between direct entries, and between agents of a group's ranks."""

from dataclasses import dataclass, field

from magnoliagrade.wire.message_table import message

__all__ = ["EndpointWork", "RankCall", "RankReply", "ServiceOutage", "WorkInFlight"]


@dataclass(slots=True, kw_only=True)
class EndpointWork:
    """How many requests the sender has in flight at one endpoint."""

    endpoint: str = ""
    in_flight: int = 0


@message("work", "inFlight")
class WorkInFlight:
    """An entry tells a peer what it has in flight; unlisted rows are unchanged."""

    is_complete: bool = False
    endpoints: list = field(default_factory=list, metadata={"of": EndpointWork})


@message("work", "rankCall")
class RankCall:
    """A coordinator asks an agent for something about its rank."""

    call: int = 0
    operation: str = ""
    epoch: int = 0
    version: int = 0
    step: int = 0
    placement: bytes = b""


@message("work", "rankReply")
class RankReply:
    """What an agent found or did at its rank."""

    call: int = 0
    outcome: str = ""
    status: bytes = b""
    counts: bytes = b""
    tries: int = 0


@message("work", "serviceOutage")
class ServiceOutage:
    """An entry tells its peers that a service's group is broken, or back."""

    service: str = ""
    is_out: bool = False
