"""Collection of a group's statuses and counters through some of its agents.

Load pattern: the replies of 63 ranks take most of the link of the coordinator's
machine, so that it counts a tenth of them, and plans from that for all. Instead it asks
about eight agents, each of which asks about seven others and sends one sum.
"""

import asyncio
import dataclasses
import json
import logging
import math
import zlib
from dataclasses import dataclass

from magnoliagrade.errors import MagnoliagradeError
from magnoliagrade.observability import log_event
from magnoliagrade.wire import RankReply
from magnoliagrade.world.site import RankStatus

from magnoliagrade_agent.direct.increment_codec import Increments, pack_increments
from magnoliagrade_agent.direct.member import CONFIRMED, FAILED

__all__ = [
    "Gatherer",
    "GatheredRanks",
    "gathering_blocks",
    "pack_statuses",
    "sum_increments",
    "unpack_statuses",
]

_log = logging.getLogger(__name__)
_STATUS_FIELDS = [field.name for field in dataclasses.fields(RankStatus)]


@dataclass(slots=True, kw_only=True)
class GatheredRanks:
    """Statuses and the sum of the increments of some ranks.

    Parameters
    ----------
    status_by_address : dict of str to RankStatus
        Statuses of the ranks that replied, by the address of their servers.
    values : list of int
        Sum of the increments of these ranks, in the order of sets; empty without any.
    counted : int
        Number of ranks whose increments are part of the sum.
    reply_bytes : int
        Size of the reply.
    """

    status_by_address: dict
    values: list
    counted: int
    reply_bytes: int = 0


def gathering_blocks(addresses, data_centre_of):
    """Return blocks of addresses, each gathered by one of its agents.

    Parameters
    ----------
    addresses : list of str
        Server addresses of the ranks, without the coordinator's.
    data_centre_of : callable
        Returns the data centre of an address; agents gather within theirs, since bytes
        between data centres are dear.

    Examples
    --------
    >>> gathering_blocks(["a", "b", "c", "d"], lambda _address: "dc")
    [['a', 'b'], ['c', 'd']]
    """
    size = max(1, math.isqrt(len(addresses)))
    addresses_by_data_centre = {}
    for address in addresses:
        addresses_by_data_centre.setdefault(data_centre_of(address), []).append(address)
    return [
        part[start : start + size]
        for _, part in sorted(addresses_by_data_centre.items())
        for start in range(0, len(part), size)
    ]


def sum_increments(increments):
    """Return the sum of lists of increments as a list; empty lists do not count."""
    known = [values for values in increments if values]
    return [sum(column) for column in zip(*known, strict=True)]


def pack_statuses(status_by_address):
    """Return the statuses of several ranks as bytes."""
    rows = [
        [address, *(getattr(status, name) for name in _STATUS_FIELDS)]
        for address, status in status_by_address.items()
    ]
    return zlib.compress(json.dumps(rows).encode(), 1)


def unpack_statuses(data):
    """Return the statuses by address that `pack_statuses` encoded.

    Raises
    ------
    ValueError
        If the data is malformed.
    """
    try:
        rows = json.loads(zlib.decompress(data))
        return {
            address: RankStatus(**dict(zip(_STATUS_FIELDS, values, strict=True)))
            for address, *values in rows
        }
    except (zlib.error, TypeError) as exc:
        raise ValueError(f"statuses of {len(data)} bytes are malformed") from exc


class Gatherer:
    """Reads the statuses and counters of some ranks for the coordinator.

    Parameters
    ----------
    local_client : LocalRankClient
        Client of the agent's own rank.
    own_address : str
        Address of the agent's own server.
    dial : callable
        Returns a client of the rank whose server has an address, and the task that
        keeps its link.
    """

    __slots__ = ("_client_by_address", "_dial", "_local_client", "_task_by_address")

    def __init__(self, *, local_client, own_address, dial):
        self._client_by_address = {own_address: local_client}
        self._dial = dial
        self._local_client = local_client
        self._task_by_address = {}

    async def execute(self, call, *, coordinator):
        """Execute a `RankCall` to gather and return its `RankReply`.

        Parameters
        ----------
        call : RankCall
            Its `placement` lists the addresses to gather from.
        coordinator : str
            Server address of the agent that called.
        """
        try:
            addresses = _decode_addresses(call.placement)
        except ValueError as exc:
            log_event(_log, "group.gather.failed", detail=str(exc))
            return RankReply(call=call.call, outcome=FAILED)
        self._drop_others(addresses)
        clients = [self._client(address) for address in addresses]
        replies = await asyncio.gather(
            *(client.increments(call.epoch, coordinator) for client in clients),
            return_exceptions=True,
        )
        status_by_address = {}
        increments = []
        for address, reply in zip(addresses, replies, strict=True):
            if isinstance(reply, MagnoliagradeError):
                # The coordinator asks this rank itself.
                log_event(_log, "group.rank.silent", peer=address)
                continue
            if isinstance(reply, BaseException):
                raise reply
            status_by_address[address], values = reply
            increments.append(values)
        packed = pack_increments(
            Increments(snapshot_id=0, values=sum_increments(increments))
        )
        return RankReply(
            call=call.call,
            outcome=CONFIRMED,
            status=pack_statuses(status_by_address),
            counts=packed,
            tries=sum(map(bool, increments)),
        )

    def _client(self, address):
        client = self._client_by_address.get(address)
        if client is None:
            client, task = self._dial(address)
            self._client_by_address[address] = client
            self._task_by_address[address] = task
        return client

    def _drop_others(self, addresses):
        """End the links to ranks that another agent gathers from by now."""
        for address in [a for a in self._task_by_address if a not in addresses]:
            self._task_by_address.pop(address).cancel()
            del self._client_by_address[address]


def _decode_addresses(data):
    addresses = json.loads(data)
    is_valid = isinstance(addresses, list) and all(
        isinstance(address, str) and ":" in address for address in addresses
    )
    if not is_valid:
        raise ValueError(f"expected a list of addresses, got {len(data)} bytes")
    return addresses
