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
# Between looks at what was noted; a pass of a group takes as long.
POLL_S = 0.05

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

    __slots__ = ("_clock", "_group", "_slow", "_store", "_told")

    def __init__(self, *, store, clock):
        self._store = store
        self._clock = clock
        self._group = ""
        self._slow = {}
        self._told = {}

    def note(self, group, pace_by_address):
        """Note the paces of a group's ranks; `run` tells them if they are news.

        Parameters
        ----------
        group : str
            Name of the group.
        pace_by_address : dict of str to float
            Pace of each rank by its server's address.
        """
        self._group = group
        self._slow = {
            address: round(pace, 1)
            for address, pace in pace_by_address.items()
            if pace >= SLOW_PACE
        }

    async def run(self):
        """Tell what was noted, until cancelled.

        Notes
        -----
        It runs beside the coordinator, which must not wait for a store that is silent.
        """
        next_at = 0.0
        while True:
            now = self._clock.monotonic()
            is_news = self._slow.keys() != self._told.keys()
            if is_news or (self._slow and now >= next_at):
                has_told = await self._tell_now(is_news)
                next_at = now + RENEW_S
                if not has_told:
                    await self._clock.sleep(RETRY_S)
            await self._clock.sleep(POLL_S)

    async def _tell_now(self, is_news):
        slow = self._slow
        try:
            await self._tell(slow_ranks_key(self._group), slow)
        except MagnoliagradeError as exc:
            log_event(_log, "group.slow_ranks.untold", detail=exc.detail)
            return False
        if is_news:
            log_event(_log, "group.slow_ranks", group=self._group, pace_by_address=slow)
        self._told = slow
        return True

    async def _tell(self, key, slow):
        if slow:
            value = encode_slow_ranks(slow)
            await self._store.put(key, value, expected_revision=None, purpose="group")
        else:
            await self._store.delete(key, purpose="group")
