"""Effect of the agents' notices of groups on the outages that an entry knows.

Load pattern: a group loses a rank. Its endpoints accept requests for another second or
two before they reject them, and each entry would find that out by requests of its own.
"""

import logging

from magnoliagrade.observability import log_event
from prometheus_client import Gauge

__all__ = ["GroupNotices"]

GROUPS = Gauge(
    "magnoliagrade_direct_rank_groups", "Groups of ranks known, by state", ["result"]
)
_log = logging.getLogger(__name__)


class GroupNotices:
    """Begins and ends outages as the notices of groups change.

    A notice is applied once: what an entry learns later from responses is newer.

    Parameters
    ----------
    node : DirectEntry
        The entry.
    """

    __slots__ = ("_node", "_state_by_name")

    def __init__(self, *, node):
        self._node = node
        self._state_by_name = {}

    def apply(self, groups):
        """Apply the notices that have changed since the last call.

        Parameters
        ----------
        groups : iterable of RankGroup
            All groups that are known. The loads of the endpoints know their groups.
        """
        groups = list(groups)
        for state, is_open in (("open", True), ("broken", False)):
            number = sum(group.is_open is is_open for group in groups)
            GROUPS.labels(state).set(number)
        for group in groups:
            state = group.epoch, group.is_open
            if self._state_by_name.get(group.name) == state:
                continue
            domains = self._domains_of(group)
            if not domains:
                # Applied once its endpoints are known.
                continue
            self._state_by_name[group.name] = state
            for domain in domains:
                self._apply_state(domain, group)

    def _domains_of(self, group):
        addresses = set(group.addresses)
        return {
            load.fault_domain
            for load in self._node.endpoint_table.by_id.values()
            if load.endpoint.address in addresses
        }

    def _apply_state(self, domain, group):
        outages = self._node.endpoint_table.outages
        log_event(
            _log,
            "group.open" if group.is_open else "group.broken",
            level=logging.INFO if group.is_open else logging.WARNING,
            service=domain.service,
            group=group.name,
            epoch=group.epoch,
            ranks=len(group.addresses),
        )
        if group.is_open:
            outages.end(domain)
        elif outages.begin(domain, now=self._node.clock.monotonic()):
            self._node.start_recovery_watch(domain)
