"""Publishes the ranks and the state of a group to the entries, through the store.

Load pattern: several groups serve one service, and one of them loses a rank. Entries
cannot tell by themselves which endpoints are out together; agents read the group and
its state from their servers at no cost.
"""

import logging

from magnoliagrade.errors import MagnoliagradeError
from magnoliagrade.observability import log_event
from magnoliagrade.platform import decode_item, encode_rank_group, rank_group_key
from magnoliagrade.world.site import RankGroup

__all__ = ["PUBLISHING_RANKS", "GroupNoticePublisher", "publication_delay_s"]

# Interval of reads of the rank's own status; about the length of a pass.
POLL_INTERVAL_S = 0.1
# Number of ranks whose agents publish the group's state: the coordinator's and those of
# the two that may recover the group, which find all its ranks before they need them.
PUBLISHING_RANKS = 3
# Time for which a state has to last before the agent of rank r publishes it, for each
# rank below its own: longer than a call to the store.
DELAY_PER_RANK_S = 0.3
# A call costs the same if the store rejects it, so a failed one is not retried at once.
RETRY_DELAY_S = 1.0

_log = logging.getLogger(__name__)


def publication_delay_s(rank):
    """Return how long a state has to last before a rank's agent publishes it.

    Examples
    --------
    >>> publication_delay_s(0)
    0.0
    """
    return rank * DELAY_PER_RANK_S


class GroupNoticePublisher:
    """Keeps the notice of one group up to date in the store.

    The agents of the lowest ranks all run one. Those of higher ranks wait for longer,
    and write only if the store's notice still differs.

    Parameters
    ----------
    member : RankMember
        Reads the status of the agent's own rank.
    store : PlatformStore
        Client of the store.
    clock : Clock
        Source of time.
    """

    __slots__ = (
        "_addresses",
        "_changed_at",
        "_clock",
        "_member",
        "_published",
        "_published_era",
        "_state",
        "_store",
    )

    def __init__(self, *, member, store, clock):
        self._member = member
        self._store = store
        self._clock = clock
        self._addresses = ()
        self._changed_at = 0.0
        self._published = None
        self._published_era = None
        self._state = None

    def set_ranks(self, addresses):
        """Set the server addresses of the group's ranks, ordered by rank.

        Parameters
        ----------
        addresses : iterable of str
            Addresses; empty if the group is the only one of its service, for which
            nothing is published.
        """
        self._addresses = tuple(addresses)

    async def run(self):
        """Publish each new state of the group until cancelled.

        Notes
        -----
        It is a task of its own, because the coordinator must not wait for a store that
        does not respond.
        """
        while True:
            await self._clock.sleep(POLL_INTERVAL_S)
            if not self._addresses:
                continue
            try:
                status = await self._member.read_status()
                await self._publish_if_due(status)
            except MagnoliagradeError as exc:
                log_event(_log, "group.notice.failed", detail=exc.detail)
                await self._clock.sleep(RETRY_DELAY_S)

    async def _publish_if_due(self, status):
        if not status.group or status.rank >= PUBLISHING_RANKS:
            return
        notice = RankGroup(
            name=status.group,
            epoch=status.epoch,
            is_open=status.is_open,
            addresses=self._addresses,
        )
        now = self._clock.monotonic()
        if notice != self._state:
            self._state = notice
            self._changed_at = now
        is_lost = self._published_era not in (None, self._store.era)
        if notice == self._published and not is_lost:
            return
        if now - self._changed_at < publication_delay_s(status.rank):
            return
        await self._publish(notice)

    async def _publish(self, notice):
        key = rank_group_key(notice.name)
        stored = await self._store.get(key, purpose="group")
        is_current = False
        if stored is not None:
            try:
                is_current = decode_item(key, stored.value).group == notice
            except MagnoliagradeError as exc:
                log_event(_log, "group.notice.replaced", detail=exc.detail)
        if not is_current:
            # An older notice that the store executes late must not replace a newer one.
            await self._store.put(
                key,
                encode_rank_group(notice),
                expected_revision=0 if stored is None else stored.revision,
                purpose="group",
            )
            log_event(
                _log,
                "group.notice",
                group=notice.name,
                epoch=notice.epoch,
                is_open=notice.is_open,
                ranks=len(notice.addresses),
            )
        self._published = notice
        self._published_era = self._store.era
