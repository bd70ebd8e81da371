"""State of the site as an entry knows it, and the time it was last confirmed."""

import logging
from dataclasses import dataclass

from magnoliagrade.observability import log_event
from magnoliagrade.platform import (
    SLOW_RANKS_LIFE_S,
    ConfigurationItem,
    EndpointItem,
    EvacuationItem,
    FormatError,
    InstanceItem,
    SlowRanksItem,
    decode_item,
)
from prometheus_client import Counter

from magnoliagrade_entry.direct.route_table import RouteTable

__all__ = ["STORE_SETTLE_S", "SiteState"]

# Time after the end of a store outage for which endpoints whose leases expired are
# kept: they register again about two seconds after its end; this is that time less the
# duration of a call.
STORE_SETTLE_S = 1.8

CHANGES = Counter(
    "magnoliagrade_site_changes_total", "Changes of keys of the store", ["result"]
)
_log = logging.getLogger(__name__)


@dataclass(slots=True, kw_only=True)
class SlowRanks:
    """Pace of a group's slow ranks by address, valid until a time in seconds."""

    pace_by_address: dict
    until: float


class SiteState:
    """Configuration, endpoints, evacuated data centres and other entries of a site.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = (
        "_clock",
        "_cold_until_by_id",
        "_remove_at_by_id",
        "_revision_by_id",
        "_revision_by_key",
        "configuration",
        "confirmed_at",
        "endpoint_by_id",
        "evacuated",
        "link_address_by_name",
        "route_table",
        "slow_ranks_by_group",
        "store_returned_at",
    )

    def __init__(self, *, clock):
        self._clock = clock
        self._cold_until_by_id = {}
        self._revision_by_key = {}
        self._remove_at_by_id = {}
        self._revision_by_id = {}
        self.configuration = None
        self.confirmed_at = float("-inf")
        self.endpoint_by_id = {}
        self.evacuated = set()
        self.link_address_by_name = {}
        self.route_table = RouteTable(routes=[])
        self.slow_ranks_by_group = {}
        self.store_returned_at = float("-inf")

    @property
    def version(self):
        """Version of the configuration in force, 0 without one."""
        return self.configuration.version if self.configuration else 0

    def age_s(self):
        """Return the seconds since the state was last confirmed to be up to date."""
        return self._clock.boot_time() - self.confirmed_at

    def confirm(self, as_of):
        """Record that all changes up to a time have been applied.

        Parameters
        ----------
        as_of : float
            Boot time at which a linearizable read began.
        """
        self.confirmed_at = max(self.confirmed_at, as_of)

    def record_store_return(self):
        """Record that the store responds again after an outage."""
        self.store_returned_at = self._clock.monotonic()

    def apply(self, key, value, revision):
        """Apply a key's value unless a newer revision of the key has been applied.

        Parameters
        ----------
        key : str
            Key.
        value : bytes or None
            Value; None if it was deleted.
        revision : int
            Revision of the change.

        Returns
        -------
        has_changed : bool
            Whether anything changed.
        """
        known_revision = self._revision_by_key.get(key, 0)
        if revision <= known_revision:
            CHANGES.labels("outdated").inc()
            if revision < known_revision:
                log_event(
                    _log,
                    "site.item.outdated",
                    key=key,
                    revision=revision,
                    known_revision=known_revision,
                )
            return False
        self._revision_by_key[key] = revision
        try:
            item = decode_item(key, value)
        except FormatError as exc:
            log_event(
                _log,
                "site.item.refused",
                level=logging.WARNING,
                key=key,
                revision=revision,
                detail=exc.detail,
            )
            CHANGES.labels("refused").inc()
            item = _unreadable_item(key)
        if item is None:
            return False
        CHANGES.labels("applied").inc()
        self._apply_item(item, revision)
        return True

    def replace(self, values, revision):
        """Apply a complete listing; keys that it lacks are deleted.

        Parameters
        ----------
        values : list of StoreValue
            All keys.
        revision : int
            Revision of the store up to which the listing contains all changes; it may
            contain later ones.
        """
        listed = {value.key for value in values}
        for value in values:
            self.apply(value.key, value.value, value.revision)
        for key in [k for k in self._revision_by_key if k not in listed]:
            if self._revision_by_key[key] <= revision:
                self.apply(key, None, revision + 1)
                self._revision_by_key[key] = revision

    def is_cold(self, endpoint_id):
        """Return whether an endpoint is cold as far as its registration tells."""
        return self._clock.monotonic() < self._cold_until_by_id.get(endpoint_id, 0.0)

    def drop_missing_endpoints(self):
        """Remove endpoints that did not register again in time.

        Returns
        -------
        has_changed : bool
            Whether an endpoint was removed.
        """
        now = self._clock.monotonic()
        due = [i for i, at in self._remove_at_by_id.items() if at <= now]
        for endpoint_id in due:
            del self._remove_at_by_id[endpoint_id]
            self._remove(endpoint_id, "it did not register again after a store outage")
        return bool(due)

    def endpoints_of(self, service):
        """Return the endpoints of a service that may be given new requests."""
        return [
            endpoint
            for endpoint in self.endpoint_by_id.values()
            if endpoint.service == service
            and not endpoint.is_draining
            and endpoint.data_centre not in self.evacuated
        ]

    def _apply_item(self, item, revision):
        if isinstance(item, ConfigurationItem):
            self._apply_configuration(item.configuration, revision)
        elif isinstance(item, EndpointItem):
            self._apply_endpoint(item, revision)
        elif isinstance(item, EvacuationItem):
            change = self.evacuated.add if item.is_evacuated else self.evacuated.discard
            change(item.data_centre)
            log_event(
                _log,
                "site.data_centre.out"
                if item.is_evacuated
                else "site.data_centre.back",
                data_centre_changed=item.data_centre,
                revision=revision,
            )
        elif isinstance(item, SlowRanksItem):
            self._apply_slow_ranks(item, revision)
        elif isinstance(item, InstanceItem) and item.address:
            self.link_address_by_name[item.name] = item.address
        elif isinstance(item, InstanceItem):
            self.link_address_by_name.pop(item.name, None)

    def _apply_slow_ranks(self, item, revision):
        known = self.slow_ranks_by_group.pop(item.group, None)
        if item.pace_by_address:
            self.slow_ranks_by_group[item.group] = SlowRanks(
                pace_by_address=item.pace_by_address,
                until=self._clock.monotonic() + SLOW_RANKS_LIFE_S,
            )
        if known is None or known.pace_by_address != item.pace_by_address:
            log_event(
                _log,
                "site.slow_ranks",
                group=item.group,
                pace_by_address=item.pace_by_address,
                revision=revision,
            )

    def _apply_configuration(self, configuration, revision):
        if configuration is None or configuration.version <= self.version:
            # The version never decreases during the life of a process.
            return
        self.configuration = configuration
        self.route_table = RouteTable(routes=configuration.routes)
        log_event(
            _log,
            "site.configuration.applied",
            version=configuration.version,
            routes=len(configuration.routes),
            revision=revision,
        )

    def _apply_endpoint(self, item, revision):
        if item.endpoint is None:
            self._handle_deregistration(item.id)
            return
        if not self._supersede_at_address(item, revision):
            return
        self._remove_at_by_id.pop(item.id, None)
        known = self.endpoint_by_id.get(item.id)
        self.endpoint_by_id[item.id] = item.endpoint
        self._revision_by_id[item.id] = revision
        self._cold_until_by_id[item.id] = self._clock.monotonic() + item.endpoint.cold_s
        if known is None or known.is_draining != item.endpoint.is_draining:
            log_event(
                _log,
                "site.endpoint.draining"
                if item.endpoint.is_draining
                else "site.endpoint.ready",
                endpoint=item.id,
                service=item.endpoint.service,
                revision=revision,
                cold_s=item.endpoint.cold_s,
            )

    def _supersede_at_address(self, item, revision):
        """Remove older endpoints at an item's address; return whether it is the newest.

        The registration of a crashed server remains for a few heartbeats, while the
        next server at its address has already registered.
        """
        if (
            self.configuration is None
            or item.endpoint.service not in self.configuration.service_by_name
        ):
            return True
        others = [
            endpoint
            for endpoint in self.endpoint_by_id.values()
            if endpoint.address == item.endpoint.address and endpoint.id != item.id
        ]
        if any(self._revision_by_id[other.id] > revision for other in others):
            log_event(_log, "site.endpoint.outdated", endpoint=item.id)
            self._remove(item.id, "a newer endpoint registered at its address")
            return False
        for other in others:
            self._remove(other.id, f"{item.id} registered at its address")
        return True

    def _handle_deregistration(self, endpoint_id):
        if endpoint_id not in self.endpoint_by_id:
            return
        settles_at = self.store_returned_at + STORE_SETTLE_S
        if self._clock.monotonic() < settles_at:
            self._remove_at_by_id.setdefault(endpoint_id, settles_at)
            log_event(_log, "site.endpoint.lapsed", endpoint=endpoint_id)
            return
        self._remove(endpoint_id, "its registration was deleted")

    def _remove(self, endpoint_id, reason):
        self._remove_at_by_id.pop(endpoint_id, None)
        self._revision_by_id.pop(endpoint_id, None)
        self._cold_until_by_id.pop(endpoint_id, None)
        if self.endpoint_by_id.pop(endpoint_id, None) is not None:
            log_event(_log, "site.endpoint.gone", endpoint=endpoint_id, reason=reason)


def _unreadable_item(key):
    # An unreadable value removes an endpoint or slow ranks; a configuration is kept.
    item = decode_item(key, None)
    return item if isinstance(item, (EndpointItem, SlowRanksItem)) else None
