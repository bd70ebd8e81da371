"""The ranks of a group: their servers in the store, and links to their agents."""

import asyncio
import logging

from magnoliagrade.errors import MagnoliagradeError
from magnoliagrade.observability import log_event
from magnoliagrade.platform import RankServer, list_endpoints
from magnoliagrade.wire import maintain_link

from magnoliagrade_agent.direct.member import RankMember
from magnoliagrade_agent.direct.ports import LinkPort, RankUnreachable

__all__ = ["RankDirectory", "formation_of"]

# Reports are some hundred ms old when read from another machine (platform pages).
REMOTE_LAG_S = 0.4
# Longer than the answers of a server on a slow machine; a frozen one gives none.
REMOTE_TIMEOUT_S = 0.5
# Between readings of the list of servers, which costs a store call.
MEMBERSHIP_PAUSE_S = 2.0

_log = logging.getLogger(__name__)


def formation_of(status):
    """Return what identifies one formation of a group: name, epoch and size."""
    return status.group, status.epoch, status.size


class RankDirectory:
    """Ports to the ranks of this agent's group.

    Parameters
    ----------
    node : DirectAgent
        The agent.
    own : OwnPort
        Port of its own rank.
    """

    __slots__ = (
        "_dialling_by_address",
        "_listed_at",
        "_node",
        "_own",
        "_port_by_address",
    )

    def __init__(self, *, node, own):
        self._node = node
        self._own = own
        self._listed_at = float("-inf")
        self._port_by_address = {}
        self._dialling_by_address = {}

    async def find(self, status, *, may_miss=""):
        """Return the ports of all ranks, in order.

        Parameters
        ----------
        status : RankStatus
            Status of the own rank.
        may_miss : str
            Address of a server that need not answer.

        Raises
        ------
        RankUnreachable
            If another rank is not found.
        """
        await self._link_agents()
        port_by_rank = {status.rank: self._own}
        ports = list(self._port_by_address.values())
        others = await asyncio.gather(
            *(port.status() for port in ports), return_exceptions=True
        )
        for port, other in zip(ports, others, strict=True):
            if isinstance(other, MagnoliagradeError):
                log_event(_log, "group.rank.silent", peer=port.name)
            elif isinstance(other, BaseException):
                raise other
            elif formation_of(other) == formation_of(status):
                port_by_rank[other.rank] = port
        ranks_left = [r for r in range(status.size) if r not in port_by_rank]
        if len(ranks_left) == 1 and may_miss in self._port_by_address:
            # Its rank is the one that nobody else has.
            port_by_rank[ranks_left[0]] = self._port_by_address[may_miss]
        if len(port_by_rank) != status.size:
            missing = status.size - len(port_by_rank)
            raise RankUnreachable(f"{missing} of {status.size} ranks are not found")
        log_event(
            _log,
            "group.found",
            group=status.group,
            epoch=status.epoch,
            ranks=status.size,
            own_rank=status.rank,
        )
        return [port_by_rank[rank] for rank in range(status.size)]

    async def _link_agents(self):
        now = self._node.clock.monotonic()
        if now - self._listed_at < MEMBERSHIP_PAUSE_S:
            return
        self._listed_at = now
        endpoints = await list_endpoints(self._node.store, purpose="group")
        settings = self._node.settings
        own = settings.server_address
        service = next((e.service for e in endpoints if e.address == own), None)
        wanted = {
            e.address for e in endpoints if e.service == service and e.address != own
        }
        for address in [a for a in self._port_by_address if a not in wanted]:
            del self._port_by_address[address]
            self._dialling_by_address.pop(address).cancel()
        for address in wanted - self._port_by_address.keys():
            self._port_by_address[address] = self._dial(address)
        # Links come up within a few ways between data centres.
        await self._node.clock.sleep(0.1)

    def _dial(self, server_address):
        node = self._node
        host = server_address.rpartition(":")[0]
        link_port = node.settings.link_address.rpartition(":")[2]
        server = RankServer(
            address=server_address, session=node.session, timeout_s=REMOTE_TIMEOUT_S
        )
        remote = RankMember(server=server, clock=node.clock, read_lag_s=REMOTE_LAG_S)
        port = LinkPort(name=server_address, remote=remote, server=server)
        dialling = maintain_link(
            address=f"{host}:{link_port}",
            make_link=node.make_link,
            hello=node.hello,
            handle=port.run,
            clock=node.clock,
            rng=node.rng,
            source=node.settings.source_address,
        )
        self._dialling_by_address[server_address] = node.tasks.start(
            dialling, name=f"link to agent at {host}"
        )
        return port
