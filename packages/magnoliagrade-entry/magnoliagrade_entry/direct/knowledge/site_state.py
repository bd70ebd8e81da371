"""State of the site as an entry knows it, and the time it was last confirmed."""

import logging
from dataclasses import dataclass

from magnoliagrade.observability import log_event
from magnoliagrade.platform import (
    SLOW_RANKS_LIFE_S,
    BlockedRequestItem,
    ConfigurationItem,
    EndpointItem,
    EvacuationItem,
    FormatError,
    InstanceItem,
    RankGroupItem,
    SlowRanksItem,
    StorePosition,
    decode_configuration,
    decode_item,
)
from prometheus_client import Counter

from magnoliagrade_entry.direct.knowledge.endpoint_registry import EndpointRegistry
from magnoliagrade_entry.direct.knowledge.route_table import RouteTable
from magnoliagrade_entry.direct.knowledge.urgency import urgency_levels

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
    blocked_requests : set of str
        Keys of the groups of requests that are blocked because servers end under them.
    configuration_data : bytes
        The encoded configuration in force; empty without one.
    era : int or None
        Era of the store in the last listing that was applied; None before the first.
    rank_groups_by_name : dict of str to RankGroup
        Groups of ranks that serve a service together with others.
    registry : EndpointRegistry
        Endpoints, also those that get no requests.
    urgency_levels : dict of str to dict
        Levels by `DirectRequest.urgency`, for services whose requests differ in it.
    """

    __slots__ = (
        "_clock",
        "_delete_at_by_key",
        "_position_by_key",
        "blocked_requests",
        "configuration",
        "configuration_data",
        "confirmed_at",
        "era",
        "evacuated",
        "link_address_by_name",
        "rank_groups_by_name",
        "registry",
        "route_table",
        "slow_ranks_by_group",
        "store_returned_at",
        "urgency_levels",
    )

    def __init__(self, *, clock):
        self._clock = clock
        self._delete_at_by_key = {}
        self._position_by_key = {}
        self.blocked_requests = set()
        self.configuration = None
        self.configuration_data = b""
        self.confirmed_at = float("-inf")
        self.era = None
        self.evacuated = set()
        self.link_address_by_name = {}
        self.rank_groups_by_name = {}
        self.registry = EndpointRegistry(clock=clock, service_of=self._service_of)
        self.route_table = RouteTable(routes=[])
        self.slow_ranks_by_group = {}
        self.store_returned_at = float("-inf")
        self.urgency_levels = {}

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
        try:
            self._apply_item(item, position)
        except Exception:
            # One key must not keep the changes of the others from being applied.
            self._record_unapplied(key, position)
            return True
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

    def is_coldness_unknown(self):
        """Return whether any endpoint may have turned cold without being reported so.

        This is so while the store does not respond, and after its return until the
        endpoints have registered again.
        """
        is_outdated = self.age_s() > COLD_KNOWN_MAX_AGE_S
        return is_outdated or self._clock.monotonic() < self._settles_at()

    def drop_missing_endpoints(self):
        """Remove endpoints that did not register again in time.

        Returns
        -------
        has_changed : bool
            Whether an endpoint was removed.
        """
        return self.registry.drop_missing()

    def endpoints_of(self, service):
        """Return the endpoints of a service that may be given new requests."""
        return [
            endpoint
            for endpoint in self.registry.accepting()
            if endpoint.service == service
            and endpoint.data_centre not in self.evacuated
        ]

    def _service_of(self, endpoint):
        if self.configuration is None:
            return None
        return self.configuration.service_by_name.get(endpoint.service)

    def _settles_at(self):
        """Return until when endpoints may register again after a store outage."""
        return self.store_returned_at + STORE_SETTLE_S

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

    def _record_unapplied(self, key, position):
        """Log a change that failed to be applied; an endpoint is removed."""
        _log.exception("site.item.failed", extra={"key": key})
        CHANGES.labels("failed").inc()
        item = _unreadable_item(key)
        if item is not None:
            self._apply_item(item, position)

    def _is_outdated_in_copy(self, value):
        """Return whether a listed value is older than what is known of its subject."""
        try:
            item = decode_item(value.key, value.value)
        except FormatError:
            return False
        if isinstance(item, EndpointItem):
            return self.registry.is_outdated(item.endpoint)
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
        elif isinstance(item, EndpointItem) and item.endpoint is not None:
            self.registry.register(item.endpoint, position)
        elif isinstance(item, EndpointItem):
            self.registry.deregister(item.id, settles_at=self._settles_at())
        elif isinstance(item, EvacuationItem):
            change = self.evacuated.add if item.is_evacuated else self.evacuated.discard
            change(item.data_centre)
            if not item.is_evacuated:
                self.registry.record_idle(item.data_centre)
            log_event(
                _log,
                "site.data_centre.out"
                if item.is_evacuated
                else "site.data_centre.back",
                data_centre_changed=item.data_centre,
                revision=revision,
            )
        elif isinstance(item, BlockedRequestItem):
            groups = self.blocked_requests
            (groups.add if item.is_blocked else groups.discard)(item.group)
        elif isinstance(item, SlowRanksItem):
            self._apply_slow_ranks(item, revision)
        elif isinstance(item, RankGroupItem) and item.group is not None:
            self.rank_groups_by_name[item.name] = item.group
        elif isinstance(item, RankGroupItem):
            self.rank_groups_by_name.pop(item.name, None)
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

    def _apply_configuration(self, configuration, **fields):
        if configuration is None or configuration.version <= self.version:
            # The version never decreases during the life of a process.
            return
        self.configuration = configuration
        self.urgency_levels = urgency_levels(configuration)
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


def _unreadable_item(key):
    # An unreadable value removes an endpoint or slow ranks; a configuration is kept.
    item = decode_item(key, None)
    return item if isinstance(item, (EndpointItem, SlowRanksItem)) else None
