"""Reading of the counters and statuses of a group's ranks within the link's budget."""

import asyncio
import logging

from magnoliagrade.observability import log_event
from prometheus_client import Counter

from magnoliagrade_agent.direct.gathering import (
    GatheredRanks,
    gathering_blocks,
    sum_increments,
)
from magnoliagrade_agent.direct.ports import LocalRankClient, RankUnreachable

__all__ = ["GroupReader"]

GATHERED = Counter(
    "magnoliagrade_group_gathered_ranks_total",
    "Ranks whose counters were part of a gathered sum",
)
_log = logging.getLogger(__name__)


class GroupReader:
    """Reads what the coordinator has to know of its group.

    Parameters
    ----------
    budget : LinkBudget
        Decides what is read.
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "_failures_by_block", "budget")

    def __init__(self, *, budget, clock):
        self._clock = clock
        self._failures_by_block = {}
        self.budget = budget

    async def read(self, clients, epoch, *, counters, interval_s):
        """Read the counters of some ranks and, if the link allows it, every status.

        Parameters
        ----------
        clients : list of rank client
            One for each rank, ordered by rank.
        epoch : int
            Epoch of the group.
        counters : int
            Number of counters of a rank; 0 if it is not known.
        interval_s : float
            Time between two readings, in seconds.

        Returns
        -------
        statuses : list of RankStatus or None
            Status of all ranks; None if only some were read.
        counts_by_rank : dict of int to bytes
            Counters of the ranks that were asked for them.

        Raises
        ------
        RankUnreachable
            If a rank does not reply.
        """
        counted = self.budget.counted_ranks(
            len(clients), counters=counters, interval_s=interval_s
        )
        is_full = self.budget.acquire_full_read(
            len(clients), now=self._clock.monotonic()
        )
        others = sorted(set(range(len(clients))).difference(counted)) if is_full else []
        counted_states, other_statuses = await asyncio.gather(
            asyncio.gather(*(clients[rank].counts(epoch) for rank in counted)),
            asyncio.gather(*(clients[rank].status() for rank in others)),
        )
        status_by_rank = dict(zip(others, other_statuses, strict=True))
        counts_by_rank = {}
        for rank, (status, counts) in zip(counted, counted_states, strict=True):
            status_by_rank[rank] = status
            counts_by_rank[rank] = counts
            if not isinstance(clients[rank], LocalRankClient):
                self.budget.record_reply(clients[rank].last_counts_bytes)
        if not is_full:
            return None, counts_by_rank
        _check_epochs(status_by_rank.values(), epoch)
        return [status_by_rank[rank] for rank in range(len(clients))], counts_by_rank

    async def gather(self, clients, epoch, *, own_address, data_centre_of):
        """Read every status and the sum of all counters' increments through agents.

        Parameters
        ----------
        clients : list of rank client
            One for each rank, ordered by rank; one of them is a `LocalRankClient`.
        epoch : int
            Epoch of the group.
        own_address : str
            Address of the server on this machine.
        data_centre_of : callable
            Returns the data centre of a server by its address.

        Returns
        -------
        statuses : list of RankStatus or None
            Status of all ranks; None if the link allows no reading now.
        values : list of int
            Sum of the increments of the ranks that replied, in the order of sets.

        Raises
        ------
        RankUnreachable
            If the status of a rank cannot be read.

        Notes
        -----
        If an agent does not reply, the ranks that it gathers from are asked for their
        statuses directly, and another of them gathers next time.
        """
        if not self.budget.may_gather(now=self._clock.monotonic()):
            return None, []
        local = next(c for c in clients if isinstance(c, LocalRankClient))
        client_by_address = {c.name: c for c in clients if c is not local}
        blocks = gathering_blocks(list(client_by_address), data_centre_of)
        own, *gathered = await asyncio.gather(
            local.increments(epoch, own_address),
            *(self._gather_block(client_by_address, block, epoch) for block in blocks),
        )
        status_by_address = {}
        for part in gathered:
            status_by_address |= part.status_by_address
        missing = [a for a in client_by_address if a not in status_by_address]
        found = await asyncio.gather(*(client_by_address[a].status() for a in missing))
        status_by_address |= dict(zip(missing, found, strict=True))
        self.budget.record_gathering(
            sum(part.reply_bytes for part in gathered), now=self._clock.monotonic()
        )
        GATHERED.inc(sum(part.counted for part in gathered) + bool(own[1]))
        _check_epochs([own[0], *status_by_address.values()], epoch)
        statuses = [
            own[0] if client is local else status_by_address[client.name]
            for client in clients
        ]
        return statuses, sum_increments([own[1], *(part.values for part in gathered)])

    async def _gather_block(self, client_by_address, block, epoch):
        failures = self._failures_by_block.get(block[0], 0)
        gatherer = client_by_address[block[failures % len(block)]]
        try:
            return await gatherer.gather(epoch, block)
        except RankUnreachable as exc:
            self._failures_by_block[block[0]] = failures + 1
            log_event(_log, "group.gather.failed", detail=exc.detail)
            return GatheredRanks(status_by_address={}, values=[], counted=0)


def _check_epochs(statuses, epoch):
    if any(status.epoch != epoch for status in statuses):
        raise RankUnreachable(f"a rank reports another epoch than {epoch}")
