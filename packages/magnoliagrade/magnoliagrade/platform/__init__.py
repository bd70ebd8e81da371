"""Adapter of the operators' platform: its names, formats and calls."""

from magnoliagrade.platform.configuration import decode_configuration
from magnoliagrade.platform.endpoints import decode_endpoint
from magnoliagrade.platform.fields import FormatError
from magnoliagrade.platform.headers import (
    answer_headers,
    answer_identity,
    deadline_of,
    endpoint_headers,
    event_id_of,
    has_not_run,
    is_group_broken,
    is_replaced,
    key_of,
    request_id_of,
)
from magnoliagrade.platform.items import (
    ConfigurationItem,
    EndpointItem,
    EvacuationItem,
    InstanceItem,
    decode_item,
    encode_instance,
    fetch_configuration,
    instance_key,
    list_endpoints,
)
from magnoliagrade.platform.ranks import OrderOutcome, RankServer
from magnoliagrade.platform.store import HistoryLost, PlatformStore, StoreEvent

__all__ = [
    "ConfigurationItem",
    "EndpointItem",
    "EvacuationItem",
    "FormatError",
    "HistoryLost",
    "InstanceItem",
    "OrderOutcome",
    "PlatformStore",
    "RankServer",
    "StoreEvent",
    "answer_headers",
    "answer_identity",
    "deadline_of",
    "decode_configuration",
    "decode_endpoint",
    "decode_item",
    "encode_instance",
    "endpoint_headers",
    "event_id_of",
    "fetch_configuration",
    "has_not_run",
    "is_group_broken",
    "is_replaced",
    "instance_key",
    "key_of",
    "list_endpoints",
    "request_id_of",
]
