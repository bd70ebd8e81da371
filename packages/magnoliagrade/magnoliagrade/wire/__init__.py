"""Messages between own processes: schema, codec, links."""

from magnoliagrade.wire.capacity import (
    CreditGrant,
    CreditRequest,
    EngineLoad,
    OrganisationUsage,
    UsageReport,
)
from magnoliagrade.wire.codec import Envelope, decode, encode
from magnoliagrade.wire.configuration import (
    ConfigurationChunk,
    ConfigurationOffer,
    ConfigurationPull,
    ConfigurationWatch,
    StatusPull,
    StatusReport,
)
from magnoliagrade.wire.connect import keep_linked, serve_links
from magnoliagrade.wire.group import (
    ArmAck,
    ArmSwitch,
    ExpertCounts,
    GenerationAnswer,
    GenerationJoin,
    OutcomeKnown,
    OutcomeQuery,
    StageAck,
    StageMap,
    SwitchOutcome,
)
from magnoliagrade.wire.link import MAX_MESSAGE_BYTES, Link, LinkCounters
from magnoliagrade.wire.membership import (
    Heartbeat,
    Hello,
    InstanceRow,
    InstanceRows,
    InstanceRowsPull,
    Label,
    Leaving,
    PeerSummary,
    PoolSummary,
)
from magnoliagrade.wire.outcome import (
    ClaimAnswer,
    ClaimChange,
    Revoke,
    RevokeAnswer,
)

__all__ = [
    "MAX_MESSAGE_BYTES",
    "ArmAck",
    "ArmSwitch",
    "ClaimAnswer",
    "ClaimChange",
    "ConfigurationChunk",
    "ConfigurationOffer",
    "ConfigurationPull",
    "ConfigurationWatch",
    "StatusPull",
    "StatusReport",
    "CreditGrant",
    "CreditRequest",
    "EngineLoad",
    "Envelope",
    "ExpertCounts",
    "GenerationAnswer",
    "GenerationJoin",
    "Heartbeat",
    "Hello",
    "InstanceRow",
    "InstanceRows",
    "InstanceRowsPull",
    "Label",
    "Leaving",
    "Link",
    "LinkCounters",
    "OrganisationUsage",
    "OutcomeKnown",
    "OutcomeQuery",
    "PeerSummary",
    "PoolSummary",
    "Revoke",
    "RevokeAnswer",
    "StageAck",
    "StageMap",
    "SwitchOutcome",
    "UsageReport",
    "decode",
    "encode",
    "keep_linked",
    "serve_links",
]
