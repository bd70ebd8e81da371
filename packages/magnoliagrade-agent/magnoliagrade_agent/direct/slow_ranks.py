"""Telling entries, through the store, which ranks of a group are slow.

Load pattern: one rank turns several times slower, and with it every pass of its group,
for as long as it has requests of its own. Only agents see a rank's pace for nothing.
"""

import logging

from magnoliagrade.errors import MagnoliagradeError
from magnoliagrade.observability import log_event
from magnoliagrade.platform import SLOW_RANKS_LIFE_S, encode_slow_ranks, slow_ranks_key

__all__ = ["SLOW_PACE", "SlowRankNotice"]

# A rank this much slower than usual makes passes long at any load: half of what the
# least slow servers of the sites' days lose (1.6).
SLOW_PACE = 1.3
# A notice is renewed twice in its life, so that one lost call does not end it.
RENEW_S = SLOW_RANKS_LIFE_S / 3
# Calls are priced also while the store refuses them.
RETRY_S = 1.0

_log = logging.getLogger(__name__)


class SlowRankNotice:
    """The notice of one group, kept by its coordinator.

    Parameters
    ----------
    store : PlatformStore
        The store.
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "_has_failed", "_next_at", "_store", "_told")

    def __init__(self, *, store, clock):
        self._store = store
        self._clock = clock
        self._told = {}
        self._has_failed = False
        self._next_at = 0.0

    async def update(self, group, pace_by_address):
        """Tell the paces of a group's ranks if they differ from what was told.

        Parameters
        ----------
        group : str
            Name of the group.
        pace_by_address : dict of str to float
            Pace of each rank by its server's address.
        """
        now = self._clock.monotonic()
        slow = {
            address: round(pace, 1)
            for address, pace in pace_by_address.items()
            if pace >= SLOW_PACE
        }
        is_news = slow.keys() != self._told.keys()
        is_due = now >= self._next_at and (slow or is_news)
        if not is_due and not (is_news and not self._has_failed):
            return
        try:
            await self._tell(slow_ranks_key(group), slow)
        except MagnoliagradeError as exc:
            self._has_failed = True
            self._next_at = now + RETRY_S
            log_event(_log, "group.slow_ranks.untold", detail=exc.detail)
            return
        if is_news:
            log_event(_log, "group.slow_ranks", group=group, pace_by_address=slow)
        self._told = slow
        self._has_failed = False
        self._next_at = now + RENEW_S

    async def _tell(self, key, slow):
        if slow:
            value = encode_slow_ranks(slow)
            await self._store.put(key, value, expected_revision=None, purpose="group")
        else:
            await self._store.delete(key, purpose="group")
