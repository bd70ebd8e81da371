"""Publishes the slow ranks of a group to the entries, through the store.

Load pattern: one rank becomes several times slower, and with it every pass of its
group, for as long as that rank has requests. Agents can read a rank's pace at no cost;
entries cannot.
"""

import logging

from magnoliagrade.errors import MagnoliagradeError
from magnoliagrade.observability import log_event
from magnoliagrade.platform import SLOW_RANKS_LIFE_S, encode_slow_ranks, slow_ranks_key

__all__ = ["SLOW_PACE", "SlowRankPublisher"]

# Pace from which a rank counts as slow and makes passes too long at any load. Slow
# servers have a pace of 1.6 or more; the threshold is at half of that slowdown.
SLOW_PACE = 1.3
# The published value is renewed twice in its lifetime, so that it survives one lost
# call.
RENEW_INTERVAL_S = SLOW_RANKS_LIFE_S / 3
# A call costs the same if the store rejects it, so a failed one is not retried at once.
RETRY_DELAY_S = 1.0
# Interval of checks for changed paces; about the length of a pass.
POLL_INTERVAL_S = 0.05

_log = logging.getLogger(__name__)


class SlowRankPublisher:
    """Keeps the published slow ranks of one group up to date in the store.

    Parameters
    ----------
    store : PlatformStore
        Client of the store.
    clock : Clock
        Source of time.
    """

    __slots__ = (
        "_clock",
        "_group",
        "_published",
        "_published_era",
        "_slow_pace_by_address",
        "_store",
    )

    def __init__(self, *, store, clock):
        self._store = store
        self._clock = clock
        self._group = ""
        self._slow_pace_by_address = {}
        self._published = {}
        self._published_era = None

    def update_paces(self, group, pace_by_address):
        """Set the paces of a group's ranks; `run` publishes the slow ones.

        Parameters
        ----------
        group : str
            Name of the group.
        pace_by_address : dict of str to float
            Pace of each rank by its server's address; 2.0 is twice as slow as normal.
        """
        self._group = group
        self._slow_pace_by_address = {
            address: round(pace, 1)
            for address, pace in pace_by_address.items()
            if pace >= SLOW_PACE
        }

    async def run(self):
        """Publish the slow ranks on change and at intervals, until cancelled.

        Notes
        -----
        It is a task of its own, because the coordinator must not wait for a store that
        does not respond.
        """
        next_at = 0.0
        while True:
            now = self._clock.monotonic()
            has_changed = (
                self._slow_pace_by_address.keys() != self._published.keys()
                or self._is_from_earlier_era()
            )
            if has_changed or (self._slow_pace_by_address and now >= next_at):
                is_published = await self._publish_now(has_changed)
                next_at = now + RENEW_INTERVAL_S
                if not is_published:
                    await self._clock.sleep(RETRY_DELAY_S)
            await self._clock.sleep(POLL_INTERVAL_S)

    def _is_from_earlier_era(self):
        """Return whether the store may have lost what was published last."""
        return self._published_era not in (None, self._store.era)

    async def _publish_now(self, has_changed):
        slow = self._slow_pace_by_address
        try:
            await self._write(slow_ranks_key(self._group), slow)
        except MagnoliagradeError as exc:
            log_event(_log, "group.slow_ranks.untold", detail=exc.detail)
            return False
        if has_changed:
            log_event(_log, "group.slow_ranks", group=self._group, pace_by_address=slow)
        self._published = slow
        self._published_era = self._store.era
        return True

    async def _write(self, key, slow):
        if slow:
            value = encode_slow_ranks(slow)
            await self._store.put(key, value, expected_revision=None, purpose="group")
        else:
            await self._store.delete(key, purpose="group")
