"""Reading of the expert map in use from the ranks of a group."""

import asyncio

from magnoliagrade.errors import MagnoliagradeError

from magnoliagrade_agent.direct.placement_arrays import unassigned_experts
from magnoliagrade_agent.direct.ports import RankUnreachable, call_with_short_timeout

__all__ = ["read_experts", "read_experts_in_use"]


async def read_experts_in_use(clients, statuses):
    """Return the map that all ranks use, as experts by set and rank.

    Parameters
    ----------
    clients : list of rank client
        One for each rank, ordered by rank.
    statuses : list of RankStatus
        Status of all ranks.

    Raises
    ------
    RankUnreachable
        If ranks use different maps, or one does not reply.
    """
    version = statuses[0].map_version
    if any(status.map_version != version for status in statuses):
        raise RankUnreachable(
            "ranks report different map versions during a switch: "
            f"{sorted({status.map_version for status in statuses})}"
        )
    return await read_experts(clients, version)


async def read_experts(clients, version, *, size=0, suspect=None):
    """Return the map of a version as experts by set and rank.

    Parameters
    ----------
    clients : list of rank client
        One for each rank, ordered by rank.
    version : int
        Version of the map.
    size : int
        Number of experts of a set; needed with a suspect only.
    suspect : rank client, optional
        Client of a rank that may not respond; it then gets the experts that no other
        rank has.

    Raises
    ------
    RankUnreachable
        If another rank does not reply, or uses another map.
    """
    found = await asyncio.gather(
        *(
            call_with_short_timeout(client.experts(version))
            if client is suspect
            else client.experts(version)
            for client in clients
        ),
        return_exceptions=True,
    )
    by_rank = []
    for client, experts in zip(clients, found, strict=True):
        is_missing = isinstance(experts, MagnoliagradeError) and client is suspect
        if isinstance(experts, BaseException) and not is_missing:
            raise experts
        by_rank.append(None if is_missing else experts)
    if None in by_rank:
        by_rank[by_rank.index(None)] = unassigned_experts(by_rank, size)
    return [list(ranks) for ranks in zip(*by_rank, strict=True)]
