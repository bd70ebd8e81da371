"""Maintenance of the links from an entry to other instances."""

import functools
import random

from magnoliagrade.wire import maintain_link
from magnoliagrade.world import Role
from prometheus_client import Counter

from magnoliagrade_entry.membership.selection import select_links

__all__ = ["LinkManager"]

DIALS = Counter(
    "magnoliagrade_link_dials_total", "Attempts to open a link by result", ["result"]
)
# Time for which other remote entries are preferred to one that cannot be reached.
UNREACHABLE_PERIOD_S = 10.0
# Failed dials in a row after which an entry counts as unreachable.
MIN_FAILURES_FOR_UNREACHABLE = 2


class LinkManager:
    """Runs one dialling task for each instance that this entry keeps a link to.

    Parameters
    ----------
    node : EntryInstance
        The entry.
    """

    __slots__ = (
        "_address_by_name",
        "_failures_by_name",
        "_node",
        "_task_by_name",
        "_unreachable_until_by_name",
    )

    def __init__(self, *, node):
        self._node = node
        self._task_by_name = {}
        self._address_by_name = {}
        self._failures_by_name = {}
        self._unreachable_until_by_name = {}

    def update(self):
        """Start and stop dialling tasks to match the instances that are known."""
        node = self._node
        chosen = select_links(
            node.known.by_name.values(),
            name=node.identity.instance,
            data_centre=node.identity.data_centre,
            unreachable=self._unreachable(),
        )
        address_by_name = {i.name: i.control_address for i in chosen}
        for name in list(self._task_by_name):
            address = address_by_name.get(name)
            if address == self._address_by_name[name]:
                continue
            # An established link is kept although its instance is not selected any
            # more, because the list of instances may be wrong.
            if address is None and name in node.links.by_instance:
                continue
            self._task_by_name.pop(name).cancel()
        for name, address in address_by_name.items():
            if name not in self._task_by_name:
                self._start_dialling(name, address)

    def dialled(self):
        """Return the sorted names of the instances that have a dialling task."""
        return sorted(self._task_by_name)

    def _start_dialling(self, name, address):
        self._address_by_name[name] = address
        self._task_by_name[name] = self._node.tasks.start_lasting(
            functools.partial(self._maintain_link, name, address),
            name=f"link {name}",
            clock=self._node.clock,
        )

    async def _maintain_link(self, name, address):
        node = self._node
        await maintain_link(
            address=address,
            expected=name,
            make_link=node.make_link,
            hello=node.hello,
            handle=node.run_link,
            clock=node.clock,
            rng=random.Random(f"{node.identity.incarnation} {address}"),
            source=node.settings.source_address,
            may_dial=lambda: name not in node.links.by_instance,
            on_result=lambda linked: self._note_result(name, linked),
        )

    def _note_result(self, name, linked):
        DIALS.labels("linked" if linked else "failed").inc()
        if linked:
            self._failures_by_name.pop(name, None)
            self._unreachable_until_by_name.pop(name, None)
            return
        failures = self._failures_by_name.get(name, 0) + 1
        self._failures_by_name[name] = failures
        known = self._node.known.by_name.get(name)
        is_peer = known is not None and known.role is Role.ENTRY
        if is_peer and failures >= MIN_FAILURES_FOR_UNREACHABLE:
            now = self._node.clock.monotonic()
            self._unreachable_until_by_name[name] = now + UNREACHABLE_PERIOD_S
            self.update()

    def _unreachable(self):
        now = self._node.clock.monotonic()
        return {
            n for n, until in self._unreachable_until_by_name.items() if until > now
        }
