"""How a coordinator reaches the ranks of its group: through their agents."""

import asyncio
import json
import logging

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.observability import log_event
from magnoliagrade.wire import RankCall
from magnoliagrade.world.site import RankStatus

from magnoliagrade_agent.direct.member import CONFIRMED
from magnoliagrade_agent.direct.placement_code import unpack_experts

__all__ = ["LinkPort", "OwnPort", "RankUnreachable"]

# Longer than all tries of an order at a rank that loses each answer.
CALL_TIMEOUT_S = 3.0

_log = logging.getLogger(__name__)


class RankUnreachable(MagnoliagradeError):
    """A rank's agent does not answer, or could not carry out a call."""

    def __init__(self, detail):
        super().__init__(ErrorKind.UPSTREAM_FAILED, detail)


class _Port:
    """Calls to one rank, whichever way they travel."""

    __slots__ = ()

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
        return reply.outcome, status

    async def counts(self, epoch):
        """Return the rank's status and its counts as bytes.

        Raises
        ------
        RankUnreachable
            If they cannot be had, or are of another epoch.
        """
        reply = await self.call(RankCall(operation="counts", epoch=epoch))
        if reply.outcome != CONFIRMED:
            raise RankUnreachable(f"{self.name}: no counts of epoch {epoch}")
        return RankStatus(**json.loads(reply.status)), reply.counts

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
    """

    __slots__ = ("_link", "_next_call", "_remote", "_waiting_by_call", "name")

    def __init__(self, *, name, remote):
        self.name = name
        self._remote = remote
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

    async def call(self, call):
        """Send a call and return its reply."""
        if self._link is None:
            if call.operation == "counts":
                # From another machine, reading counts stops the group.
                raise RankUnreachable(f"{self.name}: no link")
            return await self._remote.carry_out(call)
        self._next_call += 1
        call.call = self._next_call
        waiting = asyncio.get_running_loop().create_future()
        self._waiting_by_call[call.call] = waiting
        self._link.send(call)
        try:
            return await asyncio.wait_for(waiting, CALL_TIMEOUT_S)
        except TimeoutError:
            if self._link is not None:
                self._link.close()
            raise RankUnreachable(f"{self.name}: no answer") from None
        finally:
            self._waiting_by_call.pop(call.call, None)
