"""Keys of the platform's store and what stands under each."""

import json
import logging
from dataclasses import dataclass

from magnoliagrade.observability import log_event
from magnoliagrade.platform.configuration import decode_configuration
from magnoliagrade.platform.endpoints import decode_endpoint
from magnoliagrade.platform.fields import FormatError, load, number, optional, text
from magnoliagrade.world.site import SiteConfiguration, SiteEndpoint

__all__ = [
    "SLOW_RANKS_LIFE_S",
    "ConfigurationItem",
    "EndpointItem",
    "EvacuationItem",
    "InstanceItem",
    "SlowRanksItem",
    "decode_item",
    "encode_instance",
    "encode_slow_ranks",
    "fetch_configuration",
    "instance_key",
    "list_endpoints",
    "slow_ranks_key",
]

_log = logging.getLogger(__name__)

_CONFIGURATION_KEY = "op/config"
_EVACUATION_PREFIX = "op/evacuate/"
_ENDPOINT_PREFIX = "servers/"
_INSTANCE_PREFIX = "magnoliagrade/instances/"
_SLOW_RANKS_PREFIX = "magnoliagrade/slow-ranks/"
# A notice of slow ranks holds for so long after it was seen, should its coordinator
# stop; servers of the sites' days are slow for 4 to 9 s.
SLOW_RANKS_LIFE_S = 6.0


@dataclass(slots=True, kw_only=True)
class ConfigurationItem:
    """The configuration, or None if it was deleted."""

    configuration: SiteConfiguration | None


@dataclass(slots=True, kw_only=True)
class EndpointItem:
    """An endpoint by id, or None if its entry is gone."""

    id: str
    endpoint: SiteEndpoint | None


@dataclass(slots=True, kw_only=True)
class EvacuationItem:
    """Whether a data centre's endpoints are to get nothing."""

    data_centre: str
    is_evacuated: bool


@dataclass(slots=True, kw_only=True)
class InstanceItem:
    """An own process by name; its link address, or empty if it is gone."""

    name: str
    address: str


@dataclass(slots=True, kw_only=True)
class SlowRanksItem:
    """Pace of the slow ranks of a group, by their servers' addresses."""

    group: str
    pace_by_address: dict


def decode_item(key, value):
    """Return what a key of the store says.

    Parameters
    ----------
    key : str
        Key.
    value : bytes or None
        Value; None if the key was deleted.

    Returns
    -------
    item : object or None
        One of the item classes of this module; None for keys of others.

    Raises
    ------
    FormatError
        If the value cannot be read.
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
        address = "" if value is None else text(load(value), "link_address")
        return InstanceItem(name=name, address=address)
    if key.startswith(_SLOW_RANKS_PREFIX):
        return SlowRanksItem(
            group=key.removeprefix(_SLOW_RANKS_PREFIX),
            pace_by_address={} if value is None else _paces(load(value)),
        )
    return None


async def list_endpoints(store, *, purpose):
    """Return the endpoints that the store lists; unreadable entries are left out.

    Parameters
    ----------
    store : PlatformStore
        The store.
    purpose : str
        What the call is counted under.
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
    """Return the configuration that the store holds now, or None.

    Parameters
    ----------
    store : PlatformStore
        The store.
    purpose : str
        What the call is counted under.
    """
    value = await store.get(_CONFIGURATION_KEY, purpose=purpose)
    return None if value is None else decode_configuration(value.value)


def instance_key(name):
    """Return the key under which an own process stands."""
    return _INSTANCE_PREFIX + name


def slow_ranks_key(group):
    """Return the key under which the slow ranks of a group stand."""
    return _SLOW_RANKS_PREFIX + group


def encode_slow_ranks(pace_by_address):
    """Return the value that names slow ranks."""
    return json.dumps({"pace_by_address": pace_by_address}).encode()


def _paces(document):
    paces = optional(document, "pace_by_address") or {}
    return {address: number(paces, address, low=0.1) for address in paces}


def encode_instance(link_address):
    """Return the value that an own process writes of itself."""
    return json.dumps({"link_address": link_address}).encode()
