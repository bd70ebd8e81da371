"""Reading and watching the store to keep an entry's site state up to date."""

import logging

from magnoliagrade.errors import MagnoliagradeError
from magnoliagrade.observability import log_event
from magnoliagrade.platform import DECODING_ERRORS, HistoryLost, StorePosition
from prometheus_client import Gauge

from magnoliagrade_entry.direct.knowledge.site_relay import RELAY_WATCH_WAIT_S

__all__ = ["follow_site"]

# Longest wait of the watch over all keys. Each response also confirms that nothing else
# has changed, so this wait keeps the age of the site state well below the platform's
# bound on revoked keys (RevokeMs, 5 s) with 0.7 calls per second.
WATCH_WAIT_S = 1.5
# Longest wait of a watch as a fraction of the bound on revoked keys, for short bounds:
# two waits and a slow call pass between two confirmations, and an entry is ready while
# its state is younger than 0.7 of the bound.
WATCH_WAIT_FRACTION = 0.3
# Prefix of every key of the store.
ALL_KEYS = ""
# Pause after a change, so that one call returns several changes in quick succession:
# servers register within two seconds, and configurations follow each other within
# 0.1 s. A tenth of the platform's bound on applying changes (ConfigApplyMs, 2 s).
BATCH_DELAY_S = 0.2
# First pause after a failed call. Calls are billed also while the store rejects them.
BACKOFF_MIN_S = 0.1
# Longest pause after a failed call, so that the store is called within a second of the
# end of its outage.
BACKOFF_MAX_S = 0.8

AGE = Gauge("magnoliagrade_site_age_seconds", "Age of what is known of the site")
_log = logging.getLogger(__name__)


async def follow_site(node):
    """Read the complete site state, then apply its changes, until cancelled.

    Parameters
    ----------
    node : DirectEntry
        The entry.
    """
    follower = _Follower(node=node)
    AGE.set_function(node.site_state.age_s)
    while True:
        try:
            await follower.step()
        except HistoryLost as exc:
            follower.position = None
            log_event(_log, "store.history.lost", detail=exc.detail)
        except (MagnoliagradeError, *DECODING_ERRORS) as exc:
            await follower.back_off(exc)


class _Follower:
    """Reads and watches the store, with backoff after failed calls."""

    __slots__ = ("_is_relay_lost", "_node", "_pause_s", "position")

    def __init__(self, *, node):
        self._node = node
        self._is_relay_lost = False
        self._pause_s = BACKOFF_MIN_S
        self.position = None

    async def step(self):
        """Read changes once, from a relay or from the store, and apply them."""
        relays = self._node.relays
        link = None
        if self.position is not None and not self._is_relay_lost:
            link = relays.pick()
        if link is None:
            try:
                await self._read_store()
            finally:
                self._is_relay_lost = False
            return
        began = self._node.clock.boot_time()
        events, position, is_confirmed = await relays.pull(link, self.position)
        if events is None:
            # The next step reads the store.
            self._is_relay_lost = True
            return
        self._apply(events, position)
        self._finish_step(began if is_confirmed else None)

    async def _read_store(self):
        """Make one call to the store and apply the changes that it returns."""
        node = self._node
        relays = node.relays
        pulls = relays.take_pulls()
        began = node.clock.boot_time()
        events = []
        try:
            if self.position is None:
                values, position = await node.store.list(ALL_KEYS, purpose="site")
                self._record_response()
                if node.site_state.replace(values, position):
                    node.schedule_endpoint_expiry()
                self.position = position
                relays.change_log.restart(position)
            else:
                events, position = await node.store.watch(
                    ALL_KEYS,
                    after=self.position,
                    wait_s=self._watch_wait_s(),
                    purpose="site",
                )
                self._record_response()
                self._apply(events, position)
        except BaseException:
            relays.reject_pulls(pulls)
            raise
        self._finish_step(began)
        relays.confirm_pulls(pulls)
        if events:
            await node.clock.sleep(BATCH_DELAY_S)

    def _apply(self, events, position):
        for event in events:
            event_position = StorePosition(position.era, event.revision)
            self._node.site_state.apply(event.key, event.value, event_position)
        self._node.relays.change_log.extend(events, position)
        self.position = position

    def _finish_step(self, as_of):
        """Make the applied changes effective, confirmed as of a time or not at all."""
        node = self._node
        node.site_state.apply_due_deletions()
        if as_of is not None and node.peers.newest_version() <= node.site_state.version:
            # Otherwise the store lacks a version that a peer has in force.
            node.site_state.confirm(as_of)
        node.on_site_changed()

    def _watch_wait_s(self):
        if self._node.relays.is_store_lost or self._is_relay_lost:
            # A response at once confirms the keys, which may be too old to accept.
            return 0.0
        bound_s = self._node.settings.revoke_ms / 1000
        longest_s = (
            WATCH_WAIT_S if self._node.relays.is_unused() else RELAY_WATCH_WAIT_S
        )
        return min(longest_s, WATCH_WAIT_FRACTION * bound_s)

    async def back_off(self, exc):
        """Log the first failure of several in a row and wait before the next call."""
        if not self._node.relays.is_store_lost:
            self._node.relays.is_store_lost = True
            log_event(
                _log,
                "store.lost",
                level=logging.WARNING,
                detail=f"{type(exc).__name__}: {exc}",
                age_s=round(self._node.site_state.age_s(), 3),
            )
        self._node.relays.reject_pulls(self._node.relays.take_pulls())
        await self._node.clock.sleep(self._pause_s * self._node.rng.uniform(0.7, 1.0))
        self._pause_s = min(BACKOFF_MAX_S, self._pause_s * 2)

    def _record_response(self):
        self._pause_s = BACKOFF_MIN_S
        if not self._node.relays.is_store_lost:
            return
        self._node.relays.is_store_lost = False
        self._node.site_state.record_store_return()
        self._node.schedule_endpoint_expiry()
        log_event(
            _log,
            "store.regained",
            age_s=round(self._node.site_state.age_s(), 3),
        )
