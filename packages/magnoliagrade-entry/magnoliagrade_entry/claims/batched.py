"""Claims of a shard are written together by one entry of each data centre."""

import asyncio
import dataclasses

from magnoliagrade.algorithms import hash64, rendezvous_order
from magnoliagrade.errors import MagnoliagradeError
from magnoliagrade.platform import StoreUnavailable
from magnoliagrade.wire import ClaimAnswer, ClaimChange
from magnoliagrade.world import Role

from magnoliagrade_entry.claims.keeper import claim_keepers
from magnoliagrade_entry.claims.records import Claim
from magnoliagrade_entry.claims.shard import Shard
from magnoliagrade_entry.handlers import entry_handlers

__all__ = ["BatchedKeeper"]

WRITER_WAIT_S = 0.5


@claim_keepers.register("batched")
class BatchedKeeper:
    """Sends changes to the writer of their shard, or writes them itself.

    Parameters
    ----------
    node : EntryInstance
        The entry.

    Notes
    -----
    Rendezvous hashing over the linked entries of the data centre names the writer.
    A writer that does not answer is passed over after half a second: making the
    same change twice gives one claim, because a claim is told by its operation.
    """

    __slots__ = ("_answer_by_operation", "_node", "_shard_by_key")

    def __init__(self, *, node):
        self._node = node
        self._shard_by_key = {}
        self._answer_by_operation = {}

    async def claim(self, claim):
        """Create a claim unless the key has one; return the claim that holds."""
        held = await self._change("claim", claim)
        if held is None:
            raise StoreUnavailable(f"claim {claim.operation} was not written")
        return held

    async def settle(self, claim):
        """Record the outcome of a claim."""
        await self._change("settle", claim)

    async def release(self, claim):
        """Drop a claim whose request did not run."""
        await self._change("release", claim)

    async def change_here(self, action, claim):
        """Make a change as the writer of its shard."""
        key = self._shard_key(claim)
        if key not in self._shard_by_key:
            self._shard_by_key[key] = Shard(node=self._node, key=key)
        return await self._shard_by_key[key].change(action, claim)

    def on_answer(self, message):
        """Take the answer of a shard's writer."""
        answer = self._answer_by_operation.get(message.asked)
        if answer is not None and not answer.done():
            answer.set_result(message)

    async def _change(self, action, claim):
        link = self._writer_link(claim)
        if link is None:
            return await self.change_here(action, claim)
        link.send(ClaimChange(action=action, **_fields(claim)))
        if action != "claim":
            return None
        answer = await self._wait_for_answer(claim)
        if answer is None:
            return await self.change_here(action, claim)
        if not answer.is_available:
            raise StoreUnavailable(f"the writer of {self._shard_key(claim)} failed")
        return Claim(**{f.name: getattr(answer, f.name) for f in _FIELDS})

    async def _wait_for_answer(self, claim):
        answer = asyncio.get_running_loop().create_future()
        self._answer_by_operation[claim.operation] = answer
        try:
            await asyncio.wait([answer], timeout=WRITER_WAIT_S)
            return answer.result() if answer.done() else None
        finally:
            del self._answer_by_operation[claim.operation]

    def _writer_link(self, claim):
        """Return the link to the shard's writer, or None if it is this entry."""
        own = self._node.identity
        link_by_name = {
            link.peer_instance: link
            for link in self._node.links.of_role(Role.ENTRY)
            if link.hello.data_centre == own.data_centre and self._may_write(link)
        }
        names = [own.instance, *link_by_name]
        order = rendezvous_order(hash64(self._shard_key(claim)), names)
        return link_by_name.get(order[0])

    def _may_write(self, link):
        departures = self._node.departures
        is_leaving = departures.is_leaving(link.peer_instance, link.peer_incarnation)
        return not is_leaving and not link.is_closing

    def _shard_key(self, claim):
        number = hash64(claim.key) % self._node.settings.claims_shards
        return f"claims/by-shard/{number:04d}"


_FIELDS = dataclasses.fields(Claim)


def _fields(claim):
    return {f.name: getattr(claim, f.name) for f in _FIELDS}


@entry_handlers.on(ClaimChange)
async def on_claim_change(node, link, message):
    """Make a change for another entry, which waits for the answer to a claim."""
    if isinstance(node.claims.keeper, BatchedKeeper):
        node.tasks.start(_change_for(node, link, message), name="claim change")


async def _change_for(node, link, message):
    claim = Claim(**{f.name: getattr(message, f.name) for f in _FIELDS})
    try:
        held = await node.claims.keeper.change_here(message.action, claim)
    except MagnoliagradeError:
        held = None
    if message.action == "claim":
        asked = message.operation
        if held is None:
            link.send(ClaimAnswer(asked=asked, is_available=False))
        else:
            link.send(ClaimAnswer(asked=asked, is_available=True, **_fields(held)))


@entry_handlers.on(ClaimAnswer)
async def on_claim_answer(node, link, message):
    """Pass an answer on to the claim that waits for it."""
    if isinstance(node.claims.keeper, BatchedKeeper):
        node.claims.keeper.on_answer(message)
