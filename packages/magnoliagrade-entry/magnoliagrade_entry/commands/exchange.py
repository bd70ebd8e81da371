"""Asking instances over links of their own protocol."""

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

__all__ = ["InstanceExchange", "InstanceRow"]

ANSWER_TIMEOUT_S = 3.0
PARALLEL_LINKS = 64
ASKED_PER_DATA_CENTRE = 4
OPERATOR_ROLE = "operator"


@dataclass(slots=True, kw_only=True)
class InstanceRow:
    """A listed instance and what it said.

    Parameters
    ----------
    instance : Instance
        Row of the platform's list.
    report : StatusReport or None
        Its answer; None if it did not answer.
    """

    instance: object
    report: object

    @property
    def revision(self):
        """Revision in force there; 0 if unknown."""
        return self.report.revision if self.report is not None else 0


class InstanceExchange:
    """Asks instances one question at a time over short links."""

    __slots__ = ("_identity", "_slots")

    def __init__(self):
        self._identity = InstanceIdentity(
            instance=f"operator-{secrets.token_hex(6)}",
            incarnation=new_incarnation(),
            data_centre="",
        )
        self._slots = asyncio.Semaphore(PARALLEL_LINKS)

    async def statuses(self, instances):
        """Return a row for each instance, in order.

        Parameters
        ----------
        instances : list of Instance
            Whom to ask.
        """
        reports = await asyncio.gather(*(self._status(i) for i in instances))
        return [
            InstanceRow(instance=instance, report=report)
            for instance, report in zip(instances, reports, strict=True)
        ]

    async def entries(self, instances):
        """Return rows of some entries of each data centre."""
        entries_by_data_centre = {}
        for instance in instances:
            if instance.role is Role.ENTRY:
                place = entries_by_data_centre.setdefault(instance.data_centre, [])
                place.append(instance)
        asked = []
        for entries in entries_by_data_centre.values():
            count = min(ASKED_PER_DATA_CENTRE, len(entries))
            asked.extend(random.sample(entries, count))
        return await self.statuses(asked)

    async def newest(self, instances):
        """Return the newest configuration that an entry has in force, or None."""
        rows = await self.entries(instances)
        rows = [row for row in rows if row.revision]
        if not rows:
            return None
        newest = max(rows, key=lambda row: row.revision)
        return await self._ask(newest.instance, _pull_configuration)

    async def _status(self, instance):
        return await self._ask(instance, _pull_status)

    async def _ask(self, instance, question):
        failures = (OSError, TimeoutError, MagnoliagradeError)
        async with self._slots:
            with contextlib.suppress(*failures):
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    return await self._converse(instance, question)
        return None

    async def _converse(self, instance, question):
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
            return await question(link)
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
