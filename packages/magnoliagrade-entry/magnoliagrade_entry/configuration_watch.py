"""How an entry learns the configuration from the store."""

import logging

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.node import register_propagation, register_status
from magnoliagrade.observability import log_event
from prometheus_client import Gauge

from magnoliagrade_entry.handlers import entry_handlers, entry_tasks

__all__ = ["StoreWatch", "watch_configuration"]

WATCH_WAIT_S = 5.0
READ_EVERY_S = 30.0
POLL_PER_ENTRY_S = 15.0
DUTY_CHECK_S = 0.5
RETRY_PAUSE_S = 0.25
RETRY_PAUSE_MAX_S = 3.0

FORKED = Gauge(
    "magnoliagrade_configuration_forked",
    "Whether the store holds a change that is not based on what is in force",
)
WATCHING = Gauge(
    "magnoliagrade_configuration_watching", "Whether this entry watches the store"
)
STORE_FAILING = Gauge(
    "magnoliagrade_configuration_store_failing",
    "Whether the store left this entry's last reading of it without an answer",
)
_log = logging.getLogger(__name__)
register_propagation(entry_handlers)
register_status(entry_handlers)


@entry_tasks.register("configuration-watch")
async def watch_configuration(node):
    """Keep this entry's configuration as new as the store's."""
    watch = StoreWatch(node=node)
    while True:
        if node.watcher_election.is_watcher() or not node.configuration.revision:
            WATCHING.set(1)
            await watch.step()
        else:
            WATCHING.set(0)
            await watch.wait_for_duty()


class StoreWatch:
    """One entry's reading of the store.

    Parameters
    ----------
    node : EntryInstance
        The entry.

    Notes
    -----
    A watch ends by itself after `WATCH_WAIT_S`, so that a store which went silent
    is noticed and another entry takes over. Once in `READ_EVERY_S` the root is
    read plainly, because a store that was restored from an older copy has lower
    revisions, which no watch reports.
    """

    __slots__ = ("_node", "_pause_s", "_poll_at", "_read_at", "_store_revision")

    def __init__(self, *, node):
        self._node = node
        self._pause_s = RETRY_PAUSE_S
        self._store_revision = 0
        self._read_at = 0.0
        self._poll_at = node.clock.monotonic() + self._poll_interval_s()

    async def step(self):
        """Wait for one change, or for the end of one watch."""
        node = self._node
        try:
            await self._read_or_watch()
        except MagnoliagradeError as exc:
            if exc.kind is not ErrorKind.CONFLICT:
                self._note_failing(exc)
            await node.clock.sleep(self._pause_s * node.rng.uniform(0.5, 1.5))
            self._pause_s = min(RETRY_PAUSE_MAX_S, self._pause_s * 2)
            return
        self._pause_s = RETRY_PAUSE_S
        self._note_answer()

    async def wait_for_duty(self):
        """Wait a moment; read the store if that is due all the same."""
        clock = self._node.clock
        await clock.sleep(DUTY_CHECK_S * self._node.rng.uniform(0.8, 1.2))
        if clock.monotonic() < self._poll_at:
            return
        self._poll_at = clock.monotonic() + self._poll_interval_s()
        try:
            await self._read()
        except MagnoliagradeError as exc:
            self._note_failing(exc)
        else:
            self._note_answer()

    async def _read_or_watch(self):
        now = self._node.clock.monotonic()
        if now >= self._read_at:
            await self._read()
            self._read_at = now + READ_EVERY_S * self._node.rng.uniform(0.8, 1.2)
            return
        stored = await self._node.repository.wait_for_change(
            self._store_revision,
            wait_s=WATCH_WAIT_S,
            known=self._node.configuration.stored,
        )
        if stored is not None:
            await self._take(stored)

    async def _read(self):
        node = self._node
        stored = await node.repository.load(node.configuration.stored)
        await self._take(stored)

    async def _take(self, stored):
        configuration = self._node.configuration
        self._store_revision = stored.store_revision if stored else 0
        revision = stored.revision if stored else 0
        if revision < configuration.revision:
            await self._restore()
            return
        FORKED.set(0)
        if stored is not None:
            await self._node.propagation.put_in_force(stored, source="store")

    async def _restore(self):
        node = self._node
        try:
            restored = await node.repository.restore(node.configuration.stored)
        except MagnoliagradeError as exc:
            if exc.kind is ErrorKind.CONFLICT:
                FORKED.set(1)
                log_event(
                    _log,
                    "configuration.forked",
                    level=logging.ERROR,
                    detail=exc.detail,
                )
            raise
        log_event(
            _log,
            "configuration.restored",
            level=logging.WARNING,
            configuration_revision=node.configuration.revision,
            restored=restored,
        )

    def _note_failing(self, error):
        STORE_FAILING.set(1)
        self._node.watcher_election.set_failing(True)
        log_event(_log, "configuration.unreadable", detail=error.detail)

    def _note_answer(self):
        STORE_FAILING.set(0)
        self._node.watcher_election.set_failing(False)

    def _poll_interval_s(self):
        # The more entries there are, the less each one polls.
        entries = 1 + self._node.watcher_election.colleague_count()
        return POLL_PER_ENTRY_S * max(2, entries) * self._node.rng.uniform(0.5, 1.5)
