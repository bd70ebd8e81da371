"""Reading of the counters and statuses of a group's ranks within the link's budget."""

import asyncio

from magnoliagrade_agent.direct.ports import LocalRankClient, RankUnreachable

__all__ = ["GroupReader"]


class GroupReader:
    """Reads what the coordinator has to know of its group.

    Parameters
    ----------
    budget : LinkBudget
        Decides what is read.
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "budget")

    def __init__(self, *, budget, clock):
        self._clock = clock
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
        if any(status.epoch != epoch for status in status_by_rank.values()):
            raise RankUnreachable(f"a rank reports another epoch than {epoch}")
        return [status_by_rank[rank] for rank in range(len(clients))], counts_by_rank
