"""Reads the configuration from the store and watches it for changes."""

import logging

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.node import register_propagation, register_status
from magnoliagrade.observability import log_event
from prometheus_client import Gauge

from magnoliagrade_entry.handlers import entry_handlers, entry_tasks

__all__ = ["StoreWatch", "watch_configuration"]

# Longest time that one watch call waits for a change.
WATCH_TIMEOUT_S = 5.0
# Mean time between plain reads of the root by an entry that watches the store.
ROOT_READ_INTERVAL_S = 30.0
# An entry that does not watch the store polls it at this interval times the number of
# entries in its data centre.
POLL_INTERVAL_PER_ENTRY_S = 15.0
# Mean time after which an entry that does not watch checks the election again.
ELECTION_CHECK_INTERVAL_S = 0.5
# Pause after a failed read; doubles with each failure up to the maximum.
MIN_RETRY_PAUSE_S = 0.25
MAX_RETRY_PAUSE_S = 3.0

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
    """Keep this entry's configuration up to date with the store."""
    watch = StoreWatch(node=node)
    while True:
        if node.watcher_election.is_watcher() or not node.configuration.revision:
            WATCHING.set(1)
            await watch.step()
        else:
            WATCHING.set(0)
            await watch.wait_for_election()


class StoreWatch:
    """Reads and watches the store for one entry.

    Parameters
    ----------
    node : EntryInstance
        The entry.

    Notes
    -----
    A watch ends after `WATCH_TIMEOUT_S`, so that a store that no longer responds is
    detected and another entry takes over. Every `ROOT_READ_INTERVAL_S` the root is
    read without a watch, because a store that was restored from an older copy has
    lower revisions, which no watch reports.
    """

    __slots__ = (
        "_node",
        "_pause_s",
        "_next_poll_at",
        "_next_read_at",
        "_store_revision",
    )

    def __init__(self, *, node):
        self._node = node
        self._pause_s = MIN_RETRY_PAUSE_S
        self._store_revision = 0
        self._next_read_at = 0.0
        self._next_poll_at = node.clock.monotonic() + self._poll_interval_s()

    async def step(self):
        """Read the root if that is due, else wait for one change or one time-out."""
        node = self._node
        try:
            await self._read_or_watch()
        except MagnoliagradeError as exc:
            if exc.kind is not ErrorKind.CONFLICT:
                self._record_failure(exc)
            await node.clock.sleep(self._pause_s * node.rng.uniform(0.5, 1.5))
            self._pause_s = min(MAX_RETRY_PAUSE_S, self._pause_s * 2)
            return
        self._pause_s = MIN_RETRY_PAUSE_S
        self._record_success()

    async def wait_for_election(self):
        """Wait for the next check of the election; poll the store if that is due."""
        clock = self._node.clock
        await clock.sleep(ELECTION_CHECK_INTERVAL_S * self._node.rng.uniform(0.8, 1.2))
        if clock.monotonic() < self._next_poll_at:
            return
        self._next_poll_at = clock.monotonic() + self._poll_interval_s()
        try:
            await self._read()
        except MagnoliagradeError as exc:
            self._record_failure(exc)
        else:
            self._record_success()

    async def _read_or_watch(self):
        now = self._node.clock.monotonic()
        if now >= self._next_read_at:
            await self._read()
            self._next_read_at = now + ROOT_READ_INTERVAL_S * self._node.rng.uniform(
                0.8, 1.2
            )
            return
        stored = await self._node.repository.wait_for_change(
            self._store_revision,
            wait_s=WATCH_TIMEOUT_S,
            known=self._node.configuration.stored,
        )
        if stored is not None:
            await self._apply(stored)

    async def _read(self):
        node = self._node
        stored = await node.repository.load(node.configuration.stored)
        await self._apply(stored)

    async def _apply(self, stored):
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

    def _record_failure(self, error):
        STORE_FAILING.set(1)
        self._node.watcher_election.set_store_failing(True)
        log_event(_log, "configuration.unreadable", detail=error.detail)

    def _record_success(self):
        STORE_FAILING.set(0)
        self._node.watcher_election.set_store_failing(False)

    def _poll_interval_s(self):
        # Grows with the number of entries, so that their total rate of polls does not.
        entries = 1 + self._node.watcher_election.local_peer_count()
        return (
            POLL_INTERVAL_PER_ENTRY_S
            * max(2, entries)
            * self._node.rng.uniform(0.5, 1.5)
        )
