"""Messages about credit, load and shared rates."""

from dataclasses import dataclass, field

from magnoliagrade.wire.message_table import message

__all__ = [
    "CreditGrant",
    "CreditRequest",
    "EngineLoad",
    "OrganisationUsage",
    "UsageReport",
]


@message("capacity", "creditRequest")
class CreditRequest:
    """An entry requests credit for one request from an agent, or returns credit."""

    wanted: float = 0.0
    in_use: float = 0.0
    returned: float = 0.0
    is_surplus: bool = False
    unused: float = 0.0


@message("capacity", "creditGrant")
class CreditGrant:
    """An agent grants an entry the credit of one `CreditRequest`."""

    amount: float = 0.0
    lease_seconds: float = 0.0
    engine_boot: str = ""
    limit: float = 0.0
    held: float = 0.0
    is_surplus: bool = False
    headroom: float = 0.0


@message("capacity", "loadReport")
class EngineLoad:
    """An agent reports the load and the limit of its endpoint."""

    boot_id: str = ""
    running: int = 0
    waiting: int = 0
    tokens_in_flight: int = 0
    cache_used: float = 0.0
    age_seconds: float = 0.0
    limit: float = 0.0
    held: float = 0.0
    asked: float = 0.0
    headroom: float = 0.0


@dataclass(slots=True, kw_only=True)
class OrganisationUsage:
    """Usage of one organisation, at one entry or at the entries of a data centre."""

    organisation: str = ""
    cost: float = 0.0
    backlog: float = 0.0


@message("capacity", "usageReport")
class UsageReport:
    """An entry reports to its peers the usage of organisations that have a ceiling.

    The report covers the last `interval_seconds`; the cost of an organisation is its
    demand per second, smoothed over several reports. Peers in the same data centre
    receive the figures of the sender alone, peers in remote data centres the sums over
    the entries of the sender's data centre.
    """

    interval_seconds: float = 0.0
    usages: list = field(default_factory=list, metadata={"of": OrganisationUsage})
    data_centre: str = ""
    entries: int = 0
