"""Messages about who is there and in which state."""

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
    """One label."""

    name: str = ""
    value: str = ""


@message("membership", "hello")
class Hello:
    """First message of each side of a link: who is speaking."""

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
    """Sign of life that echoes the newest sequence number received."""

    echo_sequence: int = 0


@message("membership", "leaving")
class Leaving:
    """Notice that an instance takes no new work any more."""

    subject: str = ""
    subject_incarnation: int = 0
    reason: str = ""


@dataclass(slots=True, kw_only=True)
class InstanceRow:
    """One row of the platform's list, passed on between peers."""

    name: str = ""
    role: str = ""
    data_centre: str = ""
    control_address: str = ""
    state: str = ""


@dataclass(slots=True, kw_only=True)
class PoolSummary:
    """What one data centre could take for one pool."""

    pool: str = ""
    free_credits: float = 0.0
    waiting: float = 0.0
    estimated_wait_seconds: float = 0.0
    ready_endpoints: int = 0


@message("membership", "peerSummary")
class PeerSummary:
    """Periodic summary that an entry sends to its peers."""

    data_centre: str = ""
    pools: list = field(default_factory=list, metadata={"of": PoolSummary})
    instances: list = field(default_factory=list, metadata={"of": InstanceRow})


@message("membership", "instanceRowsPull")
class InstanceRowsPull:
    """An entry whose list is old asks a peer for a newer one."""

    age_seconds: float = 0.0


@message("membership", "instanceRows")
class InstanceRows:
    """The platform's list as an entry knows it, with its age."""

    age_seconds: float = 0.0
    rows: list = field(default_factory=list, metadata={"of": InstanceRow})
