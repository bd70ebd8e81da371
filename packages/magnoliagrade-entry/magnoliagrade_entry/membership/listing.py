"""The list of instances, read from the platform or requested from a peer."""

import logging

from magnoliagrade.errors import MagnoliagradeError
from magnoliagrade.observability import log_event
from magnoliagrade.wire import InstanceRow, InstanceRows, InstanceRowsPull
from magnoliagrade.world import Instance, InstanceState, Role

from magnoliagrade_entry.handlers import entry_handlers, entry_tasks

__all__ = ["KnownInstances"]

# Age of the list, in read intervals, beyond which a peer's list is requested.
MAX_LIST_AGE_INTERVALS = 3
# Time for which an instance is kept after it was last listed.
INSTANCE_RETENTION_S = 60.0
_log = logging.getLogger(__name__)


class KnownInstances:
    """Instances on the platform's list, and the age of the list.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Attributes
    ----------
    by_name : dict of str to Instance
        Known instances.
    read_at : float or None
        Monotonic time at which the list was read from the platform; None before
        the first list.

    Notes
    -----
    The list lags behind and may be wrong. An instance that is missing from it is
    therefore kept for 60 s, and its link stays open.
    """

    __slots__ = ("_clock", "_last_listed_at_by_name", "by_name", "read_at")

    def __init__(self, *, clock):
        self._clock = clock
        self._last_listed_at_by_name = {}
        self.by_name = {}
        self.read_at = None

    @property
    def age_s(self):
        """Return the age of the list in seconds; infinite before the first."""
        if self.read_at is None:
            return float("inf")
        return self._clock.monotonic() - self.read_at

    def update(self, instances, *, age_s=0.0):
        """Merge a list of instances, unless the known list is newer.

        Parameters
        ----------
        instances : list of Instance
            Instances of the list.
        age_s : float
            Seconds since the list was read from the platform.

        Returns
        -------
        is_merged : bool
            Whether the list was newer than the known one and has been merged.
        """
        if age_s >= self.age_s:
            return False
        now = self._clock.monotonic()
        self.read_at = now - age_s
        for instance in instances:
            self.by_name[instance.name] = instance
            self._last_listed_at_by_name[instance.name] = self.read_at
        for name, last_listed_at in list(self._last_listed_at_by_name.items()):
            if now - last_listed_at > INSTANCE_RETENTION_S:
                del self._last_listed_at_by_name[name]
                del self.by_name[name]
        return True


@entry_tasks.register("instance-list")
async def read_instance_list(node):
    """Read the platform's list periodically; on failure, request a peer's list."""
    interval = node.settings.instances_interval_s
    while True:
        try:
            node.update_instances(await node.instance_list.fetch())
        except MagnoliagradeError as exc:
            log_event(_log, "instances.unavailable", detail=exc.detail)
            if node.known.age_s > MAX_LIST_AGE_INTERVALS * interval:
                _request_list_from_peer(node)
        await node.clock.sleep(interval * node.rng.uniform(0.8, 1.2))


def _request_list_from_peer(node):
    links = node.links.of_role(Role.ENTRY)
    if links:
        age_s = min(node.known.age_s, INSTANCE_RETENTION_S)
        node.rng.choice(links).send(InstanceRowsPull(age_seconds=age_s))


@entry_handlers.on(InstanceRowsPull)
async def on_instance_rows_pull(node, link, message):
    """Send the list of instances to a peer whose list is older."""
    if node.known.age_s < message.age_seconds:
        rows = [_row(instance) for _, instance in sorted(node.known.by_name.items())]
        link.send(InstanceRows(age_seconds=node.known.age_s, rows=rows))


@entry_handlers.on(InstanceRows)
async def on_instance_rows(node, link, message):
    """Merge a peer's list of instances if it is newer."""
    instances = [_instance(row) for row in message.rows]
    node.update_instances(instances, age_s=message.age_seconds)


def _row(instance):
    return InstanceRow(
        name=instance.name,
        role=instance.role.value,
        data_centre=instance.data_centre,
        control_address=instance.control_address,
        state=instance.state.value,
    )


def _instance(row):
    return Instance(
        name=row.name,
        role=Role(row.role),
        data_centre=row.data_centre,
        control_address=row.control_address,
        state=InstanceState(row.state),
    )
