"""Messages between entries that send work straight to endpoints."""

from dataclasses import dataclass, field

from magnoliagrade.wire.message_table import message

__all__ = ["EndpointWork", "WorkInFlight"]


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
