"""Keys of the platform's store and the types that their values decode to."""

import json
import logging
from dataclasses import dataclass

from magnoliagrade.observability import log_event
from magnoliagrade.platform.configuration import decode_configuration
from magnoliagrade.platform.endpoints import decode_endpoint
from magnoliagrade.platform.fields import (
    FormatError,
    boolean_field,
    decoder,
    load_object,
    number_field,
    optional_object,
    string_field,
)
from magnoliagrade.world.site import RankGroup, SiteConfiguration, SiteEndpoint

__all__ = [
    "BLOCKED_REQUEST_LIFE_S",
    "SLOW_RANKS_LIFE_S",
    "BlockedRequestItem",
    "ConfigurationItem",
    "EndpointItem",
    "EvacuationItem",
    "InstanceItem",
    "RankGroupItem",
    "SlowRanksItem",
    "blocked_request_key",
    "decode_item",
    "encode_instance",
    "encode_rank_group",
    "encode_slow_ranks",
    "fetch_configuration",
    "instance_key",
    "list_endpoints",
    "rank_group_key",
    "slow_ranks_key",
]

_log = logging.getLogger(__name__)

_CONFIGURATION_KEY = "op/config"
_EVACUATION_PREFIX = "op/evacuate/"
_ENDPOINT_PREFIX = "servers/"
_INSTANCE_PREFIX = "magnoliagrade/instances/"
_RANK_GROUP_PREFIX = "magnoliagrade/rank-groups/"
_SLOW_RANKS_PREFIX = "magnoliagrade/slow-ranks/"
_BLOCKED_REQUEST_PREFIX = "magnoliagrade/blocked-requests/"
# Life of the record of blocked requests; the longest that the platform allows.
BLOCKED_REQUEST_LIFE_S = 600.0
# A notice of slow ranks expires this long after it was received, in case the
# coordinator that renews it has stopped. Servers are slow for 4 to 9 s at a time.
SLOW_RANKS_LIFE_S = 6.0


@dataclass(slots=True, kw_only=True)
class ConfigurationItem:
    """The operators' configuration, or None if its key was deleted."""

    configuration: SiteConfiguration | None


@dataclass(slots=True, kw_only=True)
class EndpointItem:
    """The registration of an endpoint; `endpoint` is None if it was deleted."""

    id: str
    endpoint: SiteEndpoint | None


@dataclass(slots=True, kw_only=True)
class EvacuationItem:
    """Whether a data centre is evacuated: its endpoints get no requests."""

    data_centre: str
    is_evacuated: bool


@dataclass(slots=True, kw_only=True)
class InstanceItem:
    """A process of this system; its link `address` is empty if it has ended."""

    name: str
    address: str


@dataclass(slots=True, kw_only=True)
class SlowRanksItem:
    """Pace of the slow ranks of a group by server address; 2.0 is twice as slow."""

    group: str
    pace_by_address: dict


@dataclass(slots=True, kw_only=True)
class RankGroupItem:
    """A group and its ranks; `group` is None if the key was deleted."""

    name: str
    group: RankGroup | None


@dataclass(slots=True, kw_only=True)
class BlockedRequestItem:
    """A group of requests under which servers crash; it may be blocked no longer."""

    group: str
    is_blocked: bool


@decoder
def decode_item(key, value):
    """Return the decoded value of a key of the store.

    Parameters
    ----------
    key : str
        Key.
    value : bytes or None
        Value; None if the key was deleted.

    Returns
    -------
    item : object or None
        One of the item classes of this module; None for a key that this module does
        not know.

    Raises
    ------
    FormatError
        If the value is malformed.
    """
    if key == _CONFIGURATION_KEY:
        decoded = None if value is None else decode_configuration(value)
        return ConfigurationItem(configuration=decoded)
    if key.startswith(_EVACUATION_PREFIX):
        data_centre = key.removeprefix(_EVACUATION_PREFIX)
        return EvacuationItem(data_centre=data_centre, is_evacuated=value is not None)
    if key.startswith(_ENDPOINT_PREFIX):
        endpoint_id = key.removeprefix(_ENDPOINT_PREFIX)
        endpoint = None if value is None else decode_endpoint(endpoint_id, value)
        return EndpointItem(id=endpoint_id, endpoint=endpoint)
    if key.startswith(_INSTANCE_PREFIX):
        name = key.removeprefix(_INSTANCE_PREFIX)
        address = (
            "" if value is None else string_field(load_object(value), "link_address")
        )
        return InstanceItem(name=name, address=address)
    if key.startswith(_SLOW_RANKS_PREFIX):
        return SlowRanksItem(
            group=key.removeprefix(_SLOW_RANKS_PREFIX),
            pace_by_address={} if value is None else _paces(load_object(value)),
        )
    if key.startswith(_RANK_GROUP_PREFIX):
        name = key.removeprefix(_RANK_GROUP_PREFIX)
        group = None if value is None else _rank_group(name, load_object(value))
        return RankGroupItem(name=name, group=group)
    if key.startswith(_BLOCKED_REQUEST_PREFIX):
        group = key.removeprefix(_BLOCKED_REQUEST_PREFIX)
        return BlockedRequestItem(group=group, is_blocked=value is not None)
    return None


async def list_endpoints(store, *, purpose):
    """Return the endpoints that the store lists, without malformed registrations.

    Parameters
    ----------
    store : PlatformStore
        The store.
    purpose : str
        Label under which the call is counted.
    """
    values, _ = await store.list(_ENDPOINT_PREFIX, purpose=purpose)
    endpoints = []
    for value in values:
        try:
            endpoints.append(decode_item(value.key, value.value).endpoint)
        except FormatError as exc:
            log_event(_log, "site.item.refused", key=value.key, detail=exc.detail)
    return endpoints


async def fetch_configuration(store, *, purpose):
    """Return the operators' configuration in the store, or None if there is none.

    Parameters
    ----------
    store : PlatformStore
        The store.
    purpose : str
        Label under which the call is counted.
    """
    value = await store.get(_CONFIGURATION_KEY, purpose=purpose)
    return None if value is None else decode_configuration(value.value)


def instance_key(name):
    """Return the key under which a process of this system registers."""
    return _INSTANCE_PREFIX + name


def slow_ranks_key(group):
    """Return the key that lists the slow ranks of a group."""
    return _SLOW_RANKS_PREFIX + group


def rank_group_key(name):
    """Return the key that describes a group and its ranks."""
    return _RANK_GROUP_PREFIX + name


def blocked_request_key(group):
    """Return the key that records that a group of requests is blocked."""
    return _BLOCKED_REQUEST_PREFIX + group


def encode_rank_group(group):
    """Return the encoded value that describes a `RankGroup`."""
    document = {
        "epoch": group.epoch,
        "is_open": group.is_open,
        "addresses": list(group.addresses),
    }
    return json.dumps(document).encode()


def encode_slow_ranks(pace_by_address):
    """Return the encoded value that lists slow ranks and their pace."""
    return json.dumps({"pace_by_address": pace_by_address}).encode()


def _rank_group(name, document):
    addresses = document.get("addresses")
    if not isinstance(addresses, list) or not all(
        isinstance(address, str) for address in addresses
    ):
        raise FormatError(f"addresses: expected a list of texts, got {addresses!r}")
    return RankGroup(
        name=name,
        epoch=int(number_field(document, "epoch")),
        is_open=boolean_field(document, "is_open"),
        addresses=tuple(addresses),
    )


def _paces(document):
    paces = optional_object(document, "pace_by_address") or {}
    return {address: number_field(paces, address, minimum=0.1) for address in paces}


def encode_instance(link_address):
    """Return the encoded value that a process registers for itself."""
    return json.dumps({"link_address": link_address}).encode()
