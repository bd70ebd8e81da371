"""State of the site as an entry knows it, and the time it was last confirmed."""

import logging
from dataclasses import dataclass

from magnoliagrade.observability import log_event
from magnoliagrade.platform import (
    SLOW_RANKS_LIFE_S,
    BlockedPromptItem,
    ConfigurationItem,
    EndpointItem,
    EvacuationItem,
    FormatError,
    InstanceItem,
    SlowRanksItem,
    StorePosition,
    decode_configuration,
    decode_item,
)
from prometheus_client import Counter

from magnoliagrade_entry.direct.registration_orders import RegistrationOrders
from magnoliagrade_entry.direct.route_table import RouteTable

__all__ = ["STORE_SETTLE_S", "SiteState"]

# Time after the end of a store outage for which endpoints whose leases expired are
# kept: they register again about two seconds after its end; this is that time less the
# duration of a call.
STORE_SETTLE_S = 1.8
# State that was confirmed longer ago than this may lack that an endpoint turned cold: a
# server registers every 1.2 s, and watches last up to 1.5 s.
COLD_KNOWN_MAX_AGE_S = 3.0
# Time for which keys are kept whose writers may write them again late: those of
# entries, whose leases expire while the store is away, and all but registrations of
# endpoints that a store that has returned from a copy lacks. An evacuation that is held
# for too long costs capacity; one that is given up too early sends requests to an
# evacuated data centre. Entries that are not counted let each other exceed what all of
# them share.
LOST_KEY_HOLD_S = 10.0

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

    Attributes
    ----------
    blocked_prompt_parts : set of str
        Parts of prompts that are blocked because servers end under them.
    configuration_data : bytes
        The encoded configuration in force; empty without one.
    era : int or None
        Era of the store in the last listing that was applied; None before the first.
    """

    __slots__ = (
        "_clock",
        "_cold_until_by_id",
        "_delete_at_by_key",
        "_leaving_born_by_id",
        "_orders",
        "_position_by_id",
        "_position_by_key",
        "_remove_at_by_id",
        "blocked_prompt_parts",
        "configuration",
        "configuration_data",
        "confirmed_at",
        "endpoint_by_id",
        "era",
        "evacuated",
        "link_address_by_name",
        "route_table",
        "slow_ranks_by_group",
        "store_returned_at",
    )

    def __init__(self, *, clock):
        self._clock = clock
        self._cold_until_by_id = {}
        self._delete_at_by_key = {}
        self._leaving_born_by_id = {}
        self._orders = RegistrationOrders()
        self._position_by_id = {}
        self._position_by_key = {}
        self._remove_at_by_id = {}
        self.blocked_prompt_parts = set()
        self.configuration = None
        self.configuration_data = b""
        self.confirmed_at = float("-inf")
        self.endpoint_by_id = {}
        self.era = None
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

    def apply(self, key, value, position):
        """Apply a key's value unless a later change of the key has been applied.

        Parameters
        ----------
        key : str
            Key.
        value : bytes or None
            Value; None if it was deleted.
        position : StorePosition
            Position of the change.

        Returns
        -------
        has_changed : bool
            Whether anything changed.
        """
        if not self._advance_position(key, position):
            return False
        item = self._decode(key, value, position)
        if item is None:
            return False
        CHANGES.labels("applied").inc()
        if value is None and isinstance(item, InstanceItem):
            self._hold(key)
            return True
        self._apply_item(item, position)
        if isinstance(item, ConfigurationItem) and item.configuration is not None:
            self._keep_configuration_data(item.configuration, value)
        return True

    def replace(self, values, position):
        """Apply a complete listing; keys that it lacks are deleted.

        Parameters
        ----------
        values : list of StoreValue
            All keys.
        position : StorePosition
            Position up to which the listing contains all changes; it may contain later
            ones.

        Returns
        -------
        has_returned : bool
            Whether the store has returned from a copy since the last listing.

        Notes
        -----
        The first listing after a return may be older than what is known. Registrations
        and configurations that it lists are compared by the order that their writers
        gave them, and keys that it lacks are kept for a while, because they may have
        been lost and are then written again.
        """
        has_returned = self.era is not None and position.era != self.era
        self.era = position.era
        if has_returned:
            self.record_store_return()
        listed = {value.key for value in values}
        for value in values:
            value_position = StorePosition(position.era, value.revision)
            if has_returned and self._is_outdated_in_copy(value):
                self._advance_position(value.key, value_position)
                CHANGES.labels("outdated").inc()
                log_event(
                    _log,
                    "site.item.outdated_in_copy",
                    key=value.key,
                    revision=value.revision,
                    era=position.era,
                )
                continue
            self.apply(value.key, value.value, value_position)
        for key in [k for k in self._position_by_key if k not in listed]:
            if self._position_by_key[key] <= position:
                self._delete_unlisted(key, position, is_lost=has_returned)
        return has_returned

    def apply_peer_configuration(self, data):
        """Apply a newer configuration that a peer has in force.

        Parameters
        ----------
        data : bytes
            The encoded configuration.

        Raises
        ------
        FormatError
            If it is malformed.
        """
        configuration = decode_configuration(data)
        self._apply_configuration(configuration, source="peer")
        self._keep_configuration_data(configuration, data)

    def apply_due_deletions(self):
        """Delete the held keys that were not written again in time.

        Returns
        -------
        has_changed : bool
            Whether a key was deleted.
        """
        now = self._clock.monotonic()
        due = [key for key, at in self._delete_at_by_key.items() if at <= now]
        for key in due:
            del self._delete_at_by_key[key]
            item = decode_item(key, None)
            if item is not None:
                self._apply_item(item, self._position_by_key[key])
        return bool(due)

    def cold_until(self, endpoint_id):
        """Return the monotonic time until which an endpoint counts as cold."""
        return self._cold_until_by_id.get(endpoint_id, float("-inf"))

    def is_coldness_unknown(self):
        """Return whether any endpoint may have turned cold without being reported so.

        This is so while the store does not respond, and after its return until the
        endpoints have registered again.
        """
        settles_at = self.store_returned_at + STORE_SETTLE_S
        is_outdated = self.age_s() > COLD_KNOWN_MAX_AGE_S
        return is_outdated or self._clock.monotonic() < settles_at

    def record_unreachable(self, endpoint_id, *, for_s):
        """Record that an endpoint refuses connections; it may be restarting.

        Parameters
        ----------
        endpoint_id : str
            Id of the endpoint.
        for_s : float
            Longest time until the next request, in seconds. It counts as cold for that
            time and the time that a start takes.
        """
        endpoint = self.endpoint_by_id.get(endpoint_id)
        if endpoint is not None:
            self._extend_coldness(endpoint, for_s + self._cold_start_s(endpoint))

    def record_leaving(self, endpoint):
        """Record an endpoint's statement that it is leaving; return whether it is new.

        It holds until the endpoint starts again, whatever its registration says.
        """
        if endpoint.id not in self.endpoint_by_id or self._is_leaving(endpoint):
            return False
        self._leaving_born_by_id[endpoint.id] = endpoint.born_ms
        log_event(_log, "site.endpoint.leaving", endpoint=endpoint.id)
        return True

    def _is_leaving(self, endpoint):
        return self._leaving_born_by_id.get(endpoint.id) == endpoint.born_ms

    def _cold_start_s(self, endpoint):
        if self.configuration is None:
            return 0.0
        service = self.configuration.service_by_name.get(endpoint.service)
        return 0.0 if service is None else service.cold_start_s

    def _extend_coldness(self, endpoint, cold_s):
        until = self._clock.monotonic() + cold_s
        self._cold_until_by_id[endpoint.id] = max(until, self.cold_until(endpoint.id))

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
            and not self._is_leaving(endpoint)
            and endpoint.data_centre not in self.evacuated
        ]

    def _advance_position(self, key, position):
        """Record the position of a key's change; return whether it is the newest."""
        known = self._position_by_key.get(key)
        if known is not None and position <= known:
            CHANGES.labels("outdated").inc()
            if position < known:
                log_event(
                    _log,
                    "site.item.outdated",
                    key=key,
                    revision=position.revision,
                    known_revision=known.revision,
                    era=position.era,
                )
            return False
        self._position_by_key[key] = position
        self._delete_at_by_key.pop(key, None)
        return True

    def _decode(self, key, value, position):
        try:
            return decode_item(key, value)
        except FormatError as exc:
            log_event(
                _log,
                "site.item.refused",
                level=logging.WARNING,
                key=key,
                revision=position.revision,
                detail=exc.detail,
            )
            CHANGES.labels("refused").inc()
            return _unreadable_item(key)

    def _is_outdated_in_copy(self, value):
        """Return whether a listed value is older than what is known of its subject."""
        try:
            item = decode_item(value.key, value.value)
        except FormatError:
            return False
        if isinstance(item, EndpointItem):
            order = item.endpoint.registration_order
            return self._orders.is_outdated(item.id, order)
        # Notices of slow ranks are renewed every few seconds while they hold.
        return isinstance(item, SlowRanksItem)

    def _delete_unlisted(self, key, position, *, is_lost):
        item = decode_item(key, None)
        self._position_by_key[key] = position
        if item is None or key in self._delete_at_by_key:
            return
        is_held = is_lost and not isinstance(item, EndpointItem)
        if is_held or isinstance(item, InstanceItem):
            self._hold(key)
        else:
            self._apply_item(item, position)

    def _hold(self, key):
        """Delete a key's item only later, unless the key is written again before."""
        self._delete_at_by_key[key] = self._clock.monotonic() + LOST_KEY_HOLD_S

    def _apply_item(self, item, position):
        revision = position.revision
        if isinstance(item, ConfigurationItem):
            self._apply_configuration(item.configuration, revision=revision)
        elif isinstance(item, EndpointItem):
            self._apply_endpoint(item, position)
        elif isinstance(item, EvacuationItem):
            change = self.evacuated.add if item.is_evacuated else self.evacuated.discard
            change(item.data_centre)
            if not item.is_evacuated:
                self._extend_coldness_in(item.data_centre)
            log_event(
                _log,
                "site.data_centre.out"
                if item.is_evacuated
                else "site.data_centre.back",
                data_centre_changed=item.data_centre,
                revision=revision,
            )
        elif isinstance(item, BlockedPromptItem):
            parts = self.blocked_prompt_parts
            (parts.add if item.is_blocked else parts.discard)(item.part)
        elif isinstance(item, SlowRanksItem):
            self._apply_slow_ranks(item, revision)
        elif isinstance(item, InstanceItem) and item.address:
            self.link_address_by_name[item.name] = item.address
        elif isinstance(item, InstanceItem):
            self.link_address_by_name.pop(item.name, None)

    def _extend_coldness_in(self, data_centre):
        # Endpoints without requests turn cold, and may register so only later.
        for endpoint in self.endpoint_by_id.values():
            if endpoint.data_centre == data_centre:
                self._extend_coldness(endpoint, self._cold_start_s(endpoint))

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

    def _apply_configuration(self, configuration, **fields):
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
            **fields,
        )

    def _keep_configuration_data(self, configuration, data):
        if configuration is self.configuration:
            self.configuration_data = data

    def _apply_endpoint(self, item, position):
        if item.endpoint is None:
            self._handle_deregistration(item.id)
            return
        self._orders.record(item.id, item.endpoint.registration_order)
        if not self._supersede_at_address(item, position):
            return
        self._remove_at_by_id.pop(item.id, None)
        known = self.endpoint_by_id.get(item.id)
        self.endpoint_by_id[item.id] = item.endpoint
        self._position_by_id[item.id] = position
        self._extend_coldness(item.endpoint, item.endpoint.cold_s)
        if known is None or known.is_draining != item.endpoint.is_draining:
            log_event(
                _log,
                "site.endpoint.draining"
                if item.endpoint.is_draining
                else "site.endpoint.ready",
                endpoint=item.id,
                service=item.endpoint.service,
                revision=position.revision,
                cold_s=item.endpoint.cold_s,
            )

    def _supersede_at_address(self, item, position):
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
        if any(self._position_by_id[other.id] > position for other in others):
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
        self._position_by_id.pop(endpoint_id, None)
        self._orders.end(endpoint_id)
        self._cold_until_by_id.pop(endpoint_id, None)
        self._leaving_born_by_id.pop(endpoint_id, None)
        if self.endpoint_by_id.pop(endpoint_id, None) is not None:
            log_event(_log, "site.endpoint.gone", endpoint=endpoint_id, reason=reason)


def _unreadable_item(key):
    # An unreadable value removes an endpoint or slow ranks; a configuration is kept.
    item = decode_item(key, None)
    return item if isinstance(item, (EndpointItem, SlowRanksItem)) else None
