"""Discovery of a group's ranks: server list from the store, links to their agents."""

import asyncio
import functools
import logging

from magnoliagrade.errors import MagnoliagradeError
from magnoliagrade.observability import log_event
from magnoliagrade.platform import RankServer, list_endpoints
from magnoliagrade.wire import maintain_link

from magnoliagrade_agent.direct.member import RankMember
from magnoliagrade_agent.direct.ports import RankUnreachable, RemoteRankClient

__all__ = ["RankDirectory", "dial_rank", "formation_key"]

# Age of a status that is read from another machine: a few hundred ms.
REMOTE_STATUS_LAG_S = 0.4
# Longer than a server on a slow machine takes to respond; a frozen one never responds.
REMOTE_SERVER_TIMEOUT_S = 0.5
# Shortest interval of reads of the server list, each of which costs a store call.
ENDPOINT_LIST_INTERVAL_S = 2.0

_log = logging.getLogger(__name__)


def formation_key(status):
    """Return the key of one formation of a group: name, epoch and size."""
    return status.group, status.epoch, status.size


class RankDirectory:
    """Finds the ranks of this agent's group and keeps links to their agents.

    Parameters
    ----------
    node : DirectAgent
        The agent.
    local_client : LocalRankClient
        Client of the agent's own rank.
    """

    __slots__ = (
        "_client_by_address",
        "_data_centre_by_address",
        "_dial_task_by_address",
        "_listed_at",
        "_listed_addresses",
        "_local_client",
        "_node",
        "_ranks",
        "_service",
    )

    def __init__(self, *, node, local_client):
        self._node = node
        self._local_client = local_client
        self._listed_at = float("-inf")
        self._listed_addresses = set()
        self._ranks = 0
        self._service = None
        self._client_by_address = {}
        self._data_centre_by_address = {}
        self._dial_task_by_address = {}

    async def find(self, status, *, suspect_address=""):
        """Return the clients of all ranks, ordered by rank.

        Parameters
        ----------
        status : RankStatus
            Status of the agent's own rank.
        suspect_address : str
            Address of a server that may have stopped and need not respond.

        Raises
        ------
        RankUnreachable
            If any other rank is not found.
        """
        self._ranks = status.size
        await self._link_agents()
        client_by_rank = {status.rank: self._local_client}
        clients = list(self._client_by_address.values())
        others = await asyncio.gather(
            *(client.status() for client in clients), return_exceptions=True
        )
        for client, other in zip(clients, others, strict=True):
            if isinstance(other, MagnoliagradeError):
                log_event(_log, "group.rank.silent", peer=client.name)
            elif isinstance(other, BaseException):
                raise other
            elif formation_key(other) == formation_key(status):
                client_by_rank[other.rank] = client
        missing_ranks = [r for r in range(status.size) if r not in client_by_rank]
        if len(missing_ranks) == 1 and suspect_address in self._client_by_address:
            # The suspect server has the only rank that no other server reports.
            client_by_rank[missing_ranks[0]] = self._client_by_address[suspect_address]
        if len(client_by_rank) != status.size:
            missing = status.size - len(client_by_rank)
            raise RankUnreachable(
                f"{missing} of {status.size} ranks were not found: {missing_ranks}"
            )
        log_event(
            _log,
            "group.found",
            group=status.group,
            epoch=status.epoch,
            ranks=status.size,
            own_rank=status.rank,
        )
        return [client_by_rank[rank] for rank in range(status.size)]

    @property
    def has_other_groups(self):
        """Whether the service has more endpoints than the group has had ranks."""
        return len(self._listed_addresses) + 1 > self._ranks

    async def _link_agents(self):
        now = self._node.clock.monotonic()
        if now - self._listed_at < ENDPOINT_LIST_INTERVAL_S:
            return
        self._listed_at = now
        endpoints = await list_endpoints(self._node.store, purpose="group")
        settings = self._node.settings
        own_address = settings.server_address
        self._service = next(
            (e.service for e in endpoints if e.address == own_address), self._service
        )
        self._data_centre_by_address |= {e.address: e.data_centre for e in endpoints}
        wanted = {
            e.address
            for e in endpoints
            if e.service == self._service and e.address != own_address
        }
        # A store that has lost changes lacks servers until they register again, which
        # takes less time than passes between two listings.
        kept = wanted | self._listed_addresses
        self._listed_addresses = wanted
        for address in [a for a in self._client_by_address if a not in kept]:
            del self._client_by_address[address]
            self._dial_task_by_address.pop(address).cancel()
        for address in wanted - self._client_by_address.keys():
            self._client_by_address[address] = self._dial(address)
        # Waits for new links, each of which is established within a few round trips
        # between data centres.
        await self._node.clock.sleep(0.1)

    def _dial(self, address):
        client, task = dial_rank(self._node, address)
        self._dial_task_by_address[address] = task
        return client

    def data_centre_of(self, address):
        """Return the data centre of the server with an address; empty if unknown."""
        return self._data_centre_by_address.get(address, "")


def dial_rank(node, server_address):
    """Return a client of a rank and the task that keeps its link.

    Parameters
    ----------
    node : DirectAgent
        The agent.
    server_address : str
        Address of the rank's server.
    """
    host = server_address.rpartition(":")[0]
    link_port = node.settings.link_address.rpartition(":")[2]
    server = RankServer(
        address=server_address,
        session=node.session,
        timeout_s=REMOTE_SERVER_TIMEOUT_S,
        memory=node.response_memory,
    )
    remote = RankMember(
        server=server, clock=node.clock, status_lag_s=REMOTE_STATUS_LAG_S
    )
    client = RemoteRankClient(name=server_address, remote=remote, server=server)
    keep_link = functools.partial(
        maintain_link,
        address=f"{host}:{link_port}",
        make_link=node.make_link,
        hello=node.hello,
        handle=client.run,
        clock=node.clock,
        rng=node.rng,
        source=node.settings.source_address,
    )
    task = node.tasks.start_lasting(
        keep_link, name=f"link to agent at {host}", clock=node.clock
    )
    return client, task
