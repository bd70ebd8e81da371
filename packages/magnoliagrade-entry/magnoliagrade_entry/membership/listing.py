"""The list of instances: read from the platform, or asked of a peer."""

import logging

from magnoliagrade.errors import MagnoliagradeError
from magnoliagrade.observability import log_event
from magnoliagrade.wire import InstanceRow, InstanceRows, InstanceRowsPull
from magnoliagrade.world import Instance, InstanceState, Role

from magnoliagrade_entry.handlers import entry_handlers, entry_tasks

__all__ = ["KnownInstances"]

STALE_AFTER_INTERVALS = 3
FORGET_AFTER_S = 60.0
_log = logging.getLogger(__name__)


class KnownInstances:
    """Instances that the platform listed, and when.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Notes
    -----
    The list lags and may be wrong: an instance that is missing from it is
    remembered for a while, and its link is left alone.
    """

    __slots__ = ("_clock", "_seen_at_by_name", "by_name", "read_at")

    def __init__(self, *, clock):
        self._clock = clock
        self._seen_at_by_name = {}
        self.by_name = {}
        self.read_at = None

    @property
    def age_s(self):
        """Return the age of the list in seconds; infinite before the first."""
        if self.read_at is None:
            return float("inf")
        return self._clock.monotonic() - self.read_at

    def update(self, instances, *, age_s=0.0):
        """Take a list that was read some time ago, unless a newer one is known.

        Parameters
        ----------
        instances : list of Instance
            The list.
        age_s : float
            Seconds since it was read from the platform.

        Returns
        -------
        taken : bool
            Whether it was newer.
        """
        if age_s >= self.age_s:
            return False
        now = self._clock.monotonic()
        self.read_at = now - age_s
        for instance in instances:
            self.by_name[instance.name] = instance
            self._seen_at_by_name[instance.name] = self.read_at
        for name, seen_at in list(self._seen_at_by_name.items()):
            if now - seen_at > FORGET_AFTER_S:
                del self._seen_at_by_name[name]
                del self.by_name[name]
        return True


@entry_tasks.register("instance-list")
async def read_instance_list(node):
    """Read the platform's list again and again; ask a peer when that fails."""
    interval = node.settings.instances_interval_s
    while True:
        try:
            node.take_instances(await node.instance_list.fetch())
        except MagnoliagradeError as exc:
            log_event(_log, "instances.unavailable", detail=exc.detail)
            if node.known.age_s > STALE_AFTER_INTERVALS * interval:
                _ask_a_peer(node)
        await node.clock.sleep(interval * node.rng.uniform(0.8, 1.2))


def _ask_a_peer(node):
    links = node.links.of_role(Role.ENTRY)
    if links:
        age_s = min(node.known.age_s, FORGET_AFTER_S)
        node.rng.choice(links).send(InstanceRowsPull(age_seconds=age_s))


@entry_handlers.on(InstanceRowsPull)
async def on_instance_rows_pull(node, link, message):
    """Answer a peer whose list is older than this entry's."""
    if node.known.age_s < message.age_seconds:
        rows = [_row(instance) for _, instance in sorted(node.known.by_name.items())]
        link.send(InstanceRows(age_seconds=node.known.age_s, rows=rows))


@entry_handlers.on(InstanceRows)
async def on_instance_rows(node, link, message):
    """Take a peer's list if it is newer."""
    instances = [_instance(row) for row in message.rows]
    node.take_instances(instances, age_s=message.age_seconds)


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
