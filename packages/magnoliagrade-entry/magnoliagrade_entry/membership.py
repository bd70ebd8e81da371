"""Which instances there are: the platform's list and the links to them."""

import asyncio
import logging
import random

from magnoliagrade.errors import MagnoliagradeError
from magnoliagrade.observability import log_event
from magnoliagrade.wire import PeerSummary, keep_linked
from magnoliagrade.world import InstanceState, Role

from magnoliagrade_entry.handlers import entry_tasks
from magnoliagrade_entry.routing import summarise_pools

__all__ = ["LinkKeeper"]

SUMMARY_INTERVAL_S = 1.0
_log = logging.getLogger(__name__)


class LinkKeeper:
    """Keeps a dialling task for each instance that this entry links to.

    Parameters
    ----------
    node : EntryInstance
        The entry.
    """

    __slots__ = ("_address_by_name", "_node", "_task_by_name", "known")

    def __init__(self, *, node):
        self._node = node
        self._task_by_name = {}
        self._address_by_name = {}
        self.known = []

    def update(self, instances):
        """Start and stop dialling tasks so that they fit a list of instances.

        Parameters
        ----------
        instances : list of Instance
            Newest list of the platform.
        """
        self.known = instances
        wanted = {i.name: i.control_address for i in instances if self._dials(i)}
        for name in list(self._task_by_name):
            if wanted.get(name) != self._address_by_name[name]:
                self._task_by_name.pop(name).cancel()
        for name, address in wanted.items():
            if name not in self._task_by_name:
                self._address_by_name[name] = address
                self._task_by_name[name] = self._node.tasks.start(
                    self._dial(address), name=f"link {name}"
                )

    def _dials(self, instance):
        identity = self._node.identity
        if instance.name == identity.instance:
            return False
        if instance.role is Role.AGENT:
            return instance.data_centre == identity.data_centre
        # Of two entries, the one whose name sorts first dials.
        return identity.instance < instance.name

    async def _dial(self, address):
        node = self._node
        await keep_linked(
            address=address,
            make_link=node.make_link,
            hello=node.hello,
            handle=node.run_link,
            clock=node.clock,
            rng=random.Random(f"{node.identity.incarnation} {address}"),
            source=node.settings.source_address,
        )


@entry_tasks.register("instance-list")
async def read_instance_list(node):
    """Read the platform's list again and again."""
    while True:
        try:
            node.link_keeper.update(await node.instance_list.fetch())
        except MagnoliagradeError as exc:
            log_event(_log, "instances.unavailable", detail=exc.detail)
        pause = node.settings.instances_interval_s * node.rng.uniform(0.8, 1.2)
        await node.clock.sleep(pause)


@entry_tasks.register("peer-summary")
async def send_peer_summaries(node):
    """Tell peers what this data centre could take."""
    while True:
        summary = PeerSummary(
            data_centre=node.identity.data_centre, pools=summarise_pools(node)
        )
        for link in node.links.of_role(Role.ENTRY):
            link.send(summary)
        await node.clock.sleep(SUMMARY_INTERVAL_S)
        await asyncio.sleep(0)


def is_listed_leaving(instances, name):
    """Return whether a list says that an instance is leaving."""
    return any(i.name == name and i.state is InstanceState.LEAVING for i in instances)
