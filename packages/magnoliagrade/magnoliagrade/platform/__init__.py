"""Adapter of the operators' platform: its names, formats and calls.

No other package knows the platform's keys, field names and headers.
"""

from magnoliagrade.platform.configuration import decode_configuration
from magnoliagrade.platform.endpoints import decode_endpoint
from magnoliagrade.platform.fields import FormatError
from magnoliagrade.platform.headers import (
    EndpointNotice,
    api_key_of,
    deadline_of,
    endpoint_headers,
    event_id_of,
    has_not_run,
    is_group_broken,
    is_replaced,
    notice_of,
    prompt_parts_of,
    request_id_of,
    requested_pause_s,
    response_headers,
    response_identity,
)
from magnoliagrade.platform.items import (
    BLOCKED_PROMPT_LIFE_S,
    SLOW_RANKS_LIFE_S,
    BlockedPromptItem,
    ConfigurationItem,
    EndpointItem,
    EvacuationItem,
    InstanceItem,
    SlowRanksItem,
    blocked_prompt_key,
    decode_item,
    encode_instance,
    encode_slow_ranks,
    fetch_configuration,
    instance_key,
    list_endpoints,
    slow_ranks_key,
)
from magnoliagrade.platform.ranks import OrderOutcome, RankServer
from magnoliagrade.platform.store import (
    HistoryLost,
    PlatformStore,
    StoreEvent,
    StoreLease,
    StorePosition,
)

__all__ = [
    "BLOCKED_PROMPT_LIFE_S",
    "SLOW_RANKS_LIFE_S",
    "BlockedPromptItem",
    "ConfigurationItem",
    "EndpointItem",
    "EndpointNotice",
    "EvacuationItem",
    "FormatError",
    "HistoryLost",
    "InstanceItem",
    "OrderOutcome",
    "PlatformStore",
    "RankServer",
    "SlowRanksItem",
    "StoreEvent",
    "StoreLease",
    "StorePosition",
    "blocked_prompt_key",
    "deadline_of",
    "decode_configuration",
    "decode_endpoint",
    "decode_item",
    "encode_instance",
    "encode_slow_ranks",
    "endpoint_headers",
    "event_id_of",
    "fetch_configuration",
    "has_not_run",
    "instance_key",
    "is_group_broken",
    "is_replaced",
    "api_key_of",
    "list_endpoints",
    "notice_of",
    "prompt_parts_of",
    "request_id_of",
    "requested_pause_s",
    "response_headers",
    "response_identity",
    "slow_ranks_key",
]
