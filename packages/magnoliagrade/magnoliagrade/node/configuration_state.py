"""The configuration that a node has in force."""

import logging

from magnoliagrade.configuration.document import Configuration
from magnoliagrade.observability.logs import log_event

__all__ = ["ConfigurationState"]

_log = logging.getLogger(__name__)


class ConfigurationState:
    """Newest configuration that this node has seen; never goes back.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "applied_at", "in_force", "listeners", "stored")

    def __init__(self, *, clock):
        self._clock = clock
        self.in_force = Configuration()
        self.stored = None
        self.applied_at = None
        self.listeners = []

    @property
    def revision(self):
        """Revision in force; 0 before the first one."""
        return self.in_force.revision

    def offer(self, stored, *, source):
        """Put a stored configuration in force if it is newer.

        Parameters
        ----------
        stored : StoredConfiguration
            Configuration from the store or from a peer.
        source : str
            Where it came from, for the log.

        Returns
        -------
        applied : bool
            Whether it is now in force.

        Raises
        ------
        InvalidDocument
            If it cannot be parsed.
        """
        if stored is None or stored.revision <= self.revision:
            return False
        self.in_force = stored.parsed()
        self.stored = stored
        self.applied_at = self._clock.now()
        log_event(
            _log,
            "configuration.in_force",
            configuration_revision=stored.revision,
            source=source,
        )
        for listener in self.listeners:
            listener(self.in_force)
        return True
