"""Clients for the ranks of a group: local calls, or calls over links to agents."""

import asyncio
import json
import logging

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.observability import log_event
from magnoliagrade.platform import OrderOutcome
from magnoliagrade.wire import RankCall
from magnoliagrade.world.site import RankStatus

from magnoliagrade_agent.direct.counter_codec import CounterDecoder, DeltaBaseUnknown
from magnoliagrade_agent.direct.expert_map_codec import unpack_experts
from magnoliagrade_agent.direct.gathering import GatheredRanks, unpack_statuses
from magnoliagrade_agent.direct.increment_codec import unpack_increments
from magnoliagrade_agent.direct.member import (
    CONFIRMED,
    FAILED,
    MAX_ORDER_TRIES,
    REFUSED,
)

__all__ = [
    "LocalRankClient",
    "RankUnreachable",
    "RemoteRankClient",
    "call_with_short_timeout",
]

# Time-outs for replies of an agent. When one expires, the link is closed and the rank's
# server is called directly, except for reads of counters. The time-out of `prepare`
# covers the copies, which take up to 1.5 s, and repeated orders.
REPLY_TIMEOUT_S_BY_OPERATION = {
    "status": 0.5,
    # Replies of several ranks share the link: `LinkBudget` bounds them to a fraction of
    # it, but whole counters after a new formation are larger than increments.
    "counts": 1.0,
    # An agent that gathers waits for its ranks, and its reply shares the link too.
    "increments": 0.4,
    "gather": 0.8,
    "experts": 0.5,
    "prepare": 3.0,
}
# Operations that read counters.
COUNTING_OPERATIONS = frozenset({"counts", "increments", "gather"})
# An agent tries an order up to eight times, each up to 80 ms and a read of the status.
ORDER_REPLY_TIMEOUT_S = 1.5

# For an agent that has probably stopped, while all callers wait. Replies over a link
# take about 10 ms, also across data centres.
SHORT_TIMEOUT_S = 0.15

_log = logging.getLogger(__name__)


async def call_with_short_timeout(call):
    """Return the result of a call to a rank whose agent may have stopped.

    Parameters
    ----------
    call : awaitable
        Call of a rank client.

    Raises
    ------
    RankUnreachable
        If there is no reply within 0.15 s.
    """
    try:
        async with asyncio.timeout(SHORT_TIMEOUT_S):
            return await call
    except TimeoutError:
        raise RankUnreachable(f"no reply within {SHORT_TIMEOUT_S} s") from None


class RankUnreachable(MagnoliagradeError):
    """A rank did not reply, or its agent could not execute a call."""

    def __init__(self, detail):
        super().__init__(ErrorKind.UPSTREAM_FAILED, detail)


class _RankClient:
    """Base of the clients of one rank; a subclass defines `call` and `name`.

    Notes
    -----
    `tries` is the highest number of tries that an order took since it was last reset.
    `last_counts_bytes` is the size of the last counters as they were sent.
    """

    __slots__ = ("_counter_decoder", "_snapshot_id", "last_counts_bytes", "tries")

    def __init__(self):
        self._counter_decoder = CounterDecoder()
        self._snapshot_id = 0
        self.last_counts_bytes = 0
        self.tries = 0

    async def status(self):
        """Return the `RankStatus` of the rank.

        Raises
        ------
        RankUnreachable
            If it cannot be read.
        """
        reply = await self.call(RankCall(operation="status"))
        if reply.outcome != CONFIRMED:
            raise RankUnreachable(
                f"{self.name}: status could not be read: {reply.outcome}"
            )
        return RankStatus(**json.loads(reply.status))

    async def order(self, operation, **fields):
        """Send an order; return its outcome and the rank's status, None if unknown.

        Raises
        ------
        RankUnreachable
            If the rank does not reply.
        """
        reply = await self.call(RankCall(operation=operation, **fields))
        status = RankStatus(**json.loads(reply.status)) if reply.status else None
        self.tries = max(self.tries, reply.tries)
        return reply.outcome, status

    async def hold(self, *, epoch, step):
        """Hold a pass at the rank; return the outcome and the rank's status."""
        return await self.order("hold", epoch=epoch, step=step)

    async def counts(self, epoch):
        """Return the rank's status and its counters as bytes.

        Raises
        ------
        RankUnreachable
            If they cannot be read, or belong to another epoch.
        """
        # In a call for counts, `version` carries the id of the last snapshot.
        reply = await self.call(
            RankCall(
                operation="counts",
                epoch=epoch,
                version=self._counter_decoder.snapshot_id,
            )
        )
        if reply.outcome != CONFIRMED:
            raise RankUnreachable(
                f"{self.name}: counts of epoch {epoch} could not be read: "
                f"{reply.outcome}"
            )
        self.last_counts_bytes = len(reply.counts)
        try:
            counters = self._counter_decoder.decode(reply.counts)
        except DeltaBaseUnknown as exc:
            raise RankUnreachable(f"{self.name}: {exc}") from exc
        return RankStatus(**json.loads(reply.status)), counters.tobytes()

    async def increments(self, epoch, coordinator):
        """Return the rank's status and what its counters have gained since last time.

        Parameters
        ----------
        epoch : int
            Epoch of the group.
        coordinator : str
            Server address of the agent that coordinates the group.

        Returns
        -------
        status : RankStatus
            Status of the rank.
        values : list of int
            Increments in the order of sets; empty the first time.

        Raises
        ------
        RankUnreachable
            If they cannot be read, or belong to another epoch.
        """
        reply = await self.call(
            RankCall(
                operation="increments",
                epoch=epoch,
                version=self._snapshot_id,
                placement=coordinator.encode(),
            )
        )
        if reply.outcome != CONFIRMED:
            raise RankUnreachable(
                f"{self.name}: increments of epoch {epoch} could not be read: "
                f"{reply.outcome}"
            )
        increments = unpack_increments(reply.counts)
        self._snapshot_id = increments.snapshot_id
        return RankStatus(**json.loads(reply.status)), increments.values

    async def gather(self, epoch, addresses):
        """Return the `GatheredRanks` that the rank's agent reads from several ranks.

        Parameters
        ----------
        epoch : int
            Epoch of the group.
        addresses : list of str
            Server addresses of the ranks.

        Raises
        ------
        RankUnreachable
            If the agent does not reply.
        """
        reply = await self.call(
            RankCall(
                operation="gather",
                epoch=epoch,
                placement=json.dumps(addresses).encode(),
            )
        )
        if reply.outcome != CONFIRMED:
            raise RankUnreachable(f"{self.name}: ranks were not gathered")
        return GatheredRanks(
            status_by_address=unpack_statuses(reply.status),
            values=unpack_increments(reply.counts).values,
            counted=reply.tries,
            reply_bytes=len(reply.status) + len(reply.counts),
        )

    async def experts(self, version):
        """Return the experts of the rank by set.

        Raises
        ------
        RankUnreachable
            If they cannot be read, or the rank uses another map version.
        """
        reply = await self.call(RankCall(operation="experts", version=version))
        if reply.outcome != CONFIRMED:
            raise RankUnreachable(
                f"{self.name}: experts of map {version} could not be read: "
                f"{reply.outcome}"
            )
        return unpack_experts(reply.counts)


class LocalRankClient(_RankClient):
    """Client of the rank on this agent's machine.

    Parameters
    ----------
    member : RankMember
        Executes the calls at the rank's server.
    """

    __slots__ = ("_member", "name")

    def __init__(self, *, member):
        super().__init__()
        self._member = member
        self.name = "local rank"

    async def call(self, call):
        """Execute a call and return its reply."""
        return await self._member.execute(call)


class RemoteRankClient(_RankClient):
    """Client of another rank, over the link to its agent.

    Parameters
    ----------
    name : str
        Address of the rank's server.
    remote : RankMember
        Executes calls at the rank's server while its agent cannot be reached.
    server : RankServer
        Client of the rank's server, for orders that have to be sent by this machine.
    """

    __slots__ = (
        "_link",
        "_next_call",
        "_pending_reply_by_call",
        "_remote",
        "_server",
        "name",
    )

    def __init__(self, *, name, remote, server):
        super().__init__()
        self.name = name
        self._remote = remote
        self._server = server
        self._link = None
        self._next_call = 0
        self._pending_reply_by_call = {}

    @property
    def is_linked(self):
        """Whether the link to the agent is established."""
        return self._link is not None

    async def run(self, link):
        """Receive replies from a link until it closes."""
        self._link = link
        try:
            while True:
                reply = await link.receive()
                pending_reply = self._pending_reply_by_call.pop(
                    getattr(reply, "call", 0), None
                )
                if pending_reply is not None and not pending_reply.done():
                    pending_reply.set_result(reply)
        finally:
            if self._link is link:
                self._link = None
            for pending_reply in self._pending_reply_by_call.values():
                if not pending_reply.done():
                    pending_reply.set_exception(
                        RankUnreachable(f"{self.name}: link closed before the reply")
                    )
            self._pending_reply_by_call.clear()
            log_event(_log, "rank.link.down", peer=self.name)

    async def hold(self, *, epoch, step):
        """Hold a pass by an order from this machine; return the outcome and the status.

        Notes
        -----
        If the machine that sends the order stops right afterwards, the pass is held at
        another machine, where it can still be released.
        """
        for _ in range(MAX_ORDER_TRIES):
            outcome = await self._server.order("hold", epoch=epoch, step=step)
            status = await self.status()
            if status.epoch == epoch and status.held_step == step:
                return CONFIRMED, status
            if outcome is OrderOutcome.REFUSED:
                return REFUSED, status
        return FAILED, status

    async def call(self, call):
        """Return the reply of the rank's agent, or of its server if there is none."""
        try:
            return await self._call_over_link(call)
        except RankUnreachable:
            if call.operation in COUNTING_OPERATIONS:
                # Reading counts from another machine pauses the group.
                raise
        return await self._remote.execute(call)

    async def _call_over_link(self, call):
        if self._link is None:
            raise RankUnreachable(f"{self.name}: no link to the rank's agent")
        self._next_call += 1
        call.call = self._next_call
        pending_reply = asyncio.get_running_loop().create_future()
        self._pending_reply_by_call[call.call] = pending_reply
        self._link.send(call)
        try:
            timeout_s = REPLY_TIMEOUT_S_BY_OPERATION.get(
                call.operation, ORDER_REPLY_TIMEOUT_S
            )
            async with asyncio.timeout(timeout_s):
                return await pending_reply
        except TimeoutError:
            if self._link is not None:
                self._link.close()
            raise RankUnreachable(
                f"{self.name}: no reply to {call.operation!r} within {timeout_s} s"
            ) from None
        finally:
            self._pending_reply_by_call.pop(call.call, None)
