"""How a coordinator reaches the ranks of its group: through their agents."""

import asyncio
import json
import logging

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.observability import log_event
from magnoliagrade.platform import OrderOutcome
from magnoliagrade.wire import RankCall
from magnoliagrade.world.site import RankStatus

from magnoliagrade_agent.direct.counter_codec import CountReader, CountsLost
from magnoliagrade_agent.direct.expert_map_codec import unpack_experts
from magnoliagrade_agent.direct.member import (
    CONFIRMED,
    FAILED,
    ORDER_TRIES,
    REFUSED,
)

__all__ = ["LinkPort", "OwnPort", "RankUnreachable", "ask_briefly"]

# An agent that does not answer for so long counts as stopped; then the rank's server
# is asked itself. Copies take up to 1.5 s, orders without an answer are tried again.
TIMEOUT_S_BY_OPERATION = {
    "status": 0.5,
    # The first reading of 63 ranks is some 250 KB, half a second at 4 Mbit/s.
    "counts": 1.0,
    "experts": 0.5,
    "prepare": 3.0,
}
# Eight tries of an order at its agent, each of 80 ms and a reading.
ORDER_TIMEOUT_S = 1.5

# Of an agent that is thought to have stopped while all callers wait: links answer
# within some 10 ms also across data centres.
SUSPECT_TIMEOUT_S = 0.15

_log = logging.getLogger(__name__)


async def ask_briefly(call):
    """Return the result of a call to a port that may have stopped.

    Parameters
    ----------
    call : awaitable
        The call.

    Raises
    ------
    RankUnreachable
        If there is no answer soon.
    """
    try:
        async with asyncio.timeout(SUSPECT_TIMEOUT_S):
            return await call
    except TimeoutError:
        raise RankUnreachable("the coordinator gives no answer") from None


class RankUnreachable(MagnoliagradeError):
    """A rank's agent does not answer, or could not carry out a call."""

    def __init__(self, detail):
        super().__init__(ErrorKind.UPSTREAM_FAILED, detail)


class _Port:
    """Calls to one rank, whichever way they travel.

    Notes
    -----
    `tries` is how often the order that took most was given, since it was last reset.
    """

    __slots__ = ("_count_reader", "tries")

    def __init__(self):
        self._count_reader = CountReader()
        self.tries = 0

    async def status(self):
        """Return the rank's status."""
        reply = await self.call(RankCall(operation="status"))
        if reply.outcome != CONFIRMED:
            raise RankUnreachable(f"{self.name}: no status")
        return RankStatus(**json.loads(reply.status))

    async def order(self, operation, **fields):
        """Give an order; returns whether it was confirmed or refused, and the status.

        Raises
        ------
        RankUnreachable
            If the rank's agent does not answer.
        """
        reply = await self.call(RankCall(operation=operation, **fields))
        status = RankStatus(**json.loads(reply.status)) if reply.status else None
        self.tries = max(self.tries, reply.tries)
        return reply.outcome, status

    async def hold(self, *, epoch, step):
        """Hold a pass at the rank; returns as `order` does."""
        return await self.order("hold", epoch=epoch, step=step)

    async def counts(self, epoch):
        """Return the rank's status and its counts as bytes.

        Raises
        ------
        RankUnreachable
            If they cannot be had, or are of another epoch.
        """
        # Of such a call, the version is the number of the last reading.
        reply = await self.call(
            RankCall(operation="counts", epoch=epoch, version=self._count_reader.token)
        )
        if reply.outcome != CONFIRMED:
            raise RankUnreachable(f"{self.name}: no counts of epoch {epoch}")
        try:
            counters = self._count_reader.read(reply.counts)
        except CountsLost as exc:
            raise RankUnreachable(f"{self.name}: {exc}") from exc
        return RankStatus(**json.loads(reply.status)), counters.tobytes()

    async def experts(self, version):
        """Return the experts of the rank by set, if that map is in use."""
        reply = await self.call(RankCall(operation="experts", version=version))
        if reply.outcome != CONFIRMED:
            raise RankUnreachable(f"{self.name}: no experts of map {version}")
        return unpack_experts(reply.counts)


class OwnPort(_Port):
    """Calls to the coordinator's own rank.

    Parameters
    ----------
    member : RankMember
        The agent's own part.
    """

    __slots__ = ("_member", "name")

    def __init__(self, *, member):
        super().__init__()
        self._member = member
        self.name = "own rank"

    async def call(self, call):
        """Carry a call out here."""
        return await self._member.carry_out(call)


class LinkPort(_Port):
    """Calls to another rank over the link to its agent.

    Parameters
    ----------
    name : str
        Address of the agent, for logs.
    remote : RankMember
        Calls straight to the rank's server, while its agent cannot be reached.
    server : RankServer
        The rank's server, for orders that have to come from this machine.
    """

    __slots__ = (
        "_link",
        "_next_call",
        "_remote",
        "_server",
        "_waiting_by_call",
        "name",
    )

    def __init__(self, *, name, remote, server):
        super().__init__()
        self.name = name
        self._remote = remote
        self._server = server
        self._link = None
        self._next_call = 0
        self._waiting_by_call = {}

    @property
    def is_up(self):
        """Whether the link stands."""
        return self._link is not None

    async def run(self, link):
        """Take replies from a link until it ends."""
        self._link = link
        try:
            while True:
                reply = await link.receive()
                waiting = self._waiting_by_call.pop(getattr(reply, "call", 0), None)
                if waiting is not None and not waiting.done():
                    waiting.set_result(reply)
        finally:
            if self._link is link:
                self._link = None
            for waiting in self._waiting_by_call.values():
                if not waiting.done():
                    waiting.set_exception(RankUnreachable(f"{self.name}: link lost"))
            self._waiting_by_call.clear()
            log_event(_log, "rank.link.down", peer=self.name)

    async def hold(self, *, epoch, step):
        """Hold a pass with an order from this machine, read back by the rank's agent.

        Notes
        -----
        A machine that stops right after it has given the order is then not the one
        that the order has to be taken back at.
        """
        for _ in range(ORDER_TRIES):
            taken = await self._server.order("hold", epoch=epoch, step=step)
            status = await self.status()
            if status.epoch == epoch and status.held_step == step:
                return CONFIRMED, status
            if taken is OrderOutcome.REFUSED:
                return REFUSED, status
        return FAILED, status

    async def call(self, call):
        """Send a call and return its reply."""
        try:
            return await self._call_agent(call)
        except RankUnreachable:
            if call.operation == "counts":
                # Read from another machine, counts make the group pause.
                raise
        return await self._remote.carry_out(call)

    async def _call_agent(self, call):
        if self._link is None:
            raise RankUnreachable(f"{self.name}: no link")
        self._next_call += 1
        call.call = self._next_call
        waiting = asyncio.get_running_loop().create_future()
        self._waiting_by_call[call.call] = waiting
        self._link.send(call)
        try:
            timeout_s = TIMEOUT_S_BY_OPERATION.get(call.operation, ORDER_TIMEOUT_S)
            return await asyncio.wait_for(waiting, timeout_s)
        except TimeoutError:
            if self._link is not None:
                self._link.close()
            raise RankUnreachable(f"{self.name}: no answer") from None
        finally:
            self._waiting_by_call.pop(call.call, None)
