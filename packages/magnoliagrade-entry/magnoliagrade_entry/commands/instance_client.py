"""Client that queries instances over their control protocol."""

import asyncio
import contextlib
import random
import secrets
from dataclasses import dataclass

from magnoliagrade.configuration import ConfigurationRoot, StoredConfiguration
from magnoliagrade.errors import MagnoliagradeError
from magnoliagrade.identity import InstanceIdentity, new_incarnation
from magnoliagrade.wire import (
    ConfigurationOffer,
    ConfigurationPull,
    Hello,
    Link,
    StatusPull,
    StatusReport,
)
from magnoliagrade.world import Role

__all__ = ["InstanceClient", "InstanceRow"]

REPLY_TIMEOUT_S = 3.0
MAX_PARALLEL_LINKS = 64
# Size of the random sample of entries that is queried in each data centre.
ENTRIES_SAMPLED_PER_DATA_CENTRE = 4
OPERATOR_ROLE = "operator"


@dataclass(slots=True, kw_only=True)
class InstanceRow:
    """A listed instance and the status that it reported.

    Parameters
    ----------
    instance : Instance
        The instance, from the platform's list.
    report : StatusReport or None
        Reported status; None if the instance did not reply.
    """

    instance: object
    report: object

    @property
    def revision(self):
        """Revision in force on the instance; 0 if unknown."""
        return self.report.revision if self.report is not None else 0


class InstanceClient:
    """Queries instances; opens a link for each query and closes it afterwards."""

    __slots__ = ("_identity", "_slots")

    def __init__(self):
        self._identity = InstanceIdentity(
            instance=f"operator-{secrets.token_hex(6)}",
            incarnation=new_incarnation(),
            data_centre="",
        )
        self._slots = asyncio.Semaphore(MAX_PARALLEL_LINKS)

    async def statuses(self, instances):
        """Query instances and return a row for each of them, in order.

        Parameters
        ----------
        instances : list of Instance
            Instances to query.
        """
        reports = await asyncio.gather(*(self._status(i) for i in instances))
        return [
            InstanceRow(instance=instance, report=report)
            for instance, report in zip(instances, reports, strict=True)
        ]

    async def sample_entries(self, instances):
        """Query a random sample of entries in each data centre; return their rows."""
        entries_by_data_centre = {}
        for instance in instances:
            if instance.role is Role.ENTRY:
                entries = entries_by_data_centre.setdefault(instance.data_centre, [])
                entries.append(instance)
        sampled = []
        for entries in entries_by_data_centre.values():
            count = min(ENTRIES_SAMPLED_PER_DATA_CENTRE, len(entries))
            sampled.extend(random.sample(entries, count))
        return await self.statuses(sampled)

    async def newest_configuration(self, instances):
        """Return the newest configuration in force on the sampled entries, or None."""
        rows = await self.sample_entries(instances)
        rows = [row for row in rows if row.revision]
        if not rows:
            return None
        newest = max(rows, key=lambda row: row.revision)
        return await self._query(newest.instance, _pull_configuration)

    async def _status(self, instance):
        return await self._query(instance, _pull_status)

    async def _query(self, instance, exchange):
        failures = (OSError, TimeoutError, MagnoliagradeError)
        async with self._slots:
            with contextlib.suppress(*failures):
                async with asyncio.timeout(REPLY_TIMEOUT_S):
                    return await self._query_over_link(instance, exchange)
        return None

    async def _query_over_link(self, instance, exchange):
        host, _, port = instance.control_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        link = Link(
            reader=reader,
            writer=writer,
            identity=self._identity,
            revision=lambda: 0,
            is_dialled=True,
        )
        try:
            link.send(Hello(role=OPERATOR_ROLE))
            return await exchange(link)
        finally:
            link.close()


async def _pull_status(link):
    link.send(StatusPull())
    while True:
        message = await link.receive()
        if isinstance(message, StatusReport):
            return message


async def _pull_configuration(link):
    link.send(ConfigurationPull())
    content_by_digest = {}
    while True:
        message = await link.receive()
        if not isinstance(message, ConfigurationOffer):
            continue
        root = ConfigurationRoot.from_bytes(message.root)
        for chunk in message.chunks:
            content_by_digest[chunk.digest] = chunk.content.decode()
        wanted = {r.digest for r in root.chunk_by_name.values()}
        if wanted <= content_by_digest.keys():
            return StoredConfiguration(root=root, content_by_digest=content_by_digest)
