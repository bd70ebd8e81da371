"""The configuration that is in force at a node."""

import asyncio
import logging

from prometheus_client import Gauge

from magnoliagrade.configuration import Configuration, ParsedChunks
from magnoliagrade.observability.logs import log_event

__all__ = ["ConfigurationState"]

REVISION = Gauge(
    "magnoliagrade_configuration_revision", "Configuration revision in force"
)
APPLIED_AT = Gauge(
    "magnoliagrade_configuration_applied_timestamp_seconds",
    "When the configuration in force was put in force",
)
_log = logging.getLogger(__name__)


class ConfigurationState:
    """Configuration in force at this node; its revision never decreases.

    Parameters
    ----------
    clock : Clock
        Source of time.
    skipped_kinds : sequence of str
        Kinds of sections that this node stores for its peers but does not parse.

    Attributes
    ----------
    in_force : Configuration
        Parsed configuration in force; an empty one before the first.
    stored : StoredConfiguration or None
        Stored form of the configuration in force.
    applied_at : datetime.datetime or None
        Time at which the configuration was put in force.
    listeners : list of callable
        Each is called with the `Configuration` that was put in force.
    """

    __slots__ = ("_chunks", "_clock", "applied_at", "in_force", "listeners", "stored")

    def __init__(self, *, clock, skipped_kinds=()):
        self._clock = clock
        self._chunks = ParsedChunks(skipped_kinds=skipped_kinds)
        self.in_force = Configuration()
        self.stored = None
        self.applied_at = None
        self.listeners = []

    @property
    def revision(self):
        """Revision in force; 0 before the first one."""
        return self.in_force.revision

    async def prepare(self, stored):
        """Parse the new chunks of a configuration, one per turn of the event loop.

        Parameters
        ----------
        stored : StoredConfiguration
            Configuration that is passed to `offer` next.

        Returns
        -------
        parsed : int
            Number of chunks that were parsed.

        Raises
        ------
        InvalidDocument
            If a chunk cannot be parsed.

        Notes
        -----
        Other tasks run between two chunks, so that requests are not delayed.
        """
        missing = self._chunks.missing(stored)
        for name in missing:
            self._chunks.parse(stored, name)
            await asyncio.sleep(0)
        return len(missing)

    def offer(self, stored, *, source):
        """Put a stored configuration in force if it is newer.

        Parameters
        ----------
        stored : StoredConfiguration
            Configuration from the store or from a peer.
        source : str
            Origin of the configuration, for the log.

        Returns
        -------
        applied : bool
            Whether it was put in force.

        Raises
        ------
        InvalidDocument
            If a chunk cannot be parsed.
        """
        if stored is None or stored.revision <= self.revision:
            return False
        self.in_force = self._chunks.join(stored)
        self.stored = stored
        self.applied_at = self._clock.now()
        REVISION.set(stored.revision)
        APPLIED_AT.set(self.applied_at.timestamp())
        log_event(
            _log,
            "configuration.in_force",
            configuration_revision=stored.revision,
            source=source,
        )
        for listener in self.listeners:
            listener(self.in_force)
        return True

    def age_s(self):
        """Return for how many seconds the configuration is in force; 0 without one."""
        if self.applied_at is None:
            return 0.0
        return (self._clock.now() - self.applied_at).total_seconds()
