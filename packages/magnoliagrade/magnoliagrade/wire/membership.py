"""Messages about the instances of the system and their states."""

from dataclasses import dataclass, field

from magnoliagrade.wire.message_table import message

__all__ = [
    "Heartbeat",
    "Hello",
    "InstanceRow",
    "InstanceRows",
    "InstanceRowsPull",
    "Label",
    "Leaving",
    "PeerSummary",
    "PoolSummary",
]

PROTOCOL_VERSION = 1


@dataclass(slots=True, kw_only=True)
class Label:
    """Label of an instance."""

    name: str = ""
    value: str = ""


@message("membership", "hello")
class Hello:
    """First message of each side of a link, which identifies the sender."""

    protocol_version: int = PROTOCOL_VERSION
    role: str = ""
    data_centre: str = ""
    data_address: str = ""
    control_address: str = ""
    labels: list = field(default_factory=list, metadata={"of": Label})
    group: str = ""
    rank: int = -1


@message("membership", "heartbeat")
class Heartbeat:
    """Heartbeat that echoes the newest sequence number received."""

    echo_sequence: int = 0


@message("membership", "leaving")
class Leaving:
    """Notice that an instance accepts no new work from now on."""

    subject: str = ""
    subject_incarnation: int = 0
    reason: str = ""


@dataclass(slots=True, kw_only=True)
class InstanceRow:
    """Row of the platform's list of instances, as peers send it to each other."""

    name: str = ""
    role: str = ""
    data_centre: str = ""
    control_address: str = ""
    state: str = ""


@dataclass(slots=True, kw_only=True)
class PoolSummary:
    """Free capacity and queue of one pool in one data centre."""

    pool: str = ""
    free_credits: float = 0.0
    waiting: float = 0.0
    estimated_wait_seconds: float = 0.0
    ready_endpoints: int = 0


@message("membership", "peerSummary")
class PeerSummary:
    """Summary of pools and instances that an entry periodically sends to its peers."""

    data_centre: str = ""
    pools: list = field(default_factory=list, metadata={"of": PoolSummary})
    instances: list = field(default_factory=list, metadata={"of": InstanceRow})


@message("membership", "instanceRowsPull")
class InstanceRowsPull:
    """An entry with an outdated list of instances requests a newer one from a peer."""

    age_seconds: float = 0.0


@message("membership", "instanceRows")
class InstanceRows:
    """The platform's list of instances as last received by an entry, with its age."""

    age_seconds: float = 0.0
    rows: list = field(default_factory=list, metadata={"of": InstanceRow})
