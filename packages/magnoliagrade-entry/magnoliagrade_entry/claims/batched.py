"""Claims of a shard are written together by one entry of each data centre."""

import asyncio
import dataclasses

from magnoliagrade.algorithms import hash64, rendezvous_order
from magnoliagrade.errors import MagnoliagradeError
from magnoliagrade.store import StoreUnavailable
from magnoliagrade.wire import ClaimAnswer, ClaimChange
from magnoliagrade.world import Role

from magnoliagrade_entry.claims.keeper import claim_keepers
from magnoliagrade_entry.claims.records import Claim
from magnoliagrade_entry.claims.shard import Shard
from magnoliagrade_entry.handlers import entry_handlers

__all__ = ["BatchedKeeper"]

WRITER_WAIT_S = 0.5
SILENT_PAUSE_S = 5.0


@claim_keepers.register("batched")
class BatchedKeeper:
    """Sends changes to the writer of their shard, or writes them itself.

    Parameters
    ----------
    node : EntryInstance
        The entry.

    Notes
    -----
    Rendezvous hashing names a data centre for each shard and in it an entry that
    writes; a change goes there over at most two links. Where data centres cannot
    reach each other, each writes its own changes, and the compare-and-swap keeps
    them in order. An entry that does not answer is passed over after half a second
    and for some seconds: making the same change twice gives one claim, because a
    claim is told by its operation.
    """

    __slots__ = (
        "_answer_by_operation",
        "_node",
        "_shard_by_key",
        "_silent_until_by_name",
    )

    def __init__(self, *, node):
        self._node = node
        self._shard_by_key = {}
        self._answer_by_operation = {}
        self._silent_until_by_name = {}

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

    async def change_for(self, link, action, claim):
        """Make a change that another entry asked for.

        Parameters
        ----------
        link : Link
            Link to that entry.
        action : str
            `claim`, `settle` or `release`.
        claim : Claim
            The claim.

        Returns
        -------
        held : Claim or None
            The claim that holds afterwards.
        """
        own = self._node.identity.data_centre
        if link.hello.data_centre == own:
            return await self._change_here(action, claim)
        return await self._change_through(self._local_writer(claim), action, claim)

    def on_answer(self, message):
        """Take the answer of a shard's writer."""
        answer = self._answer_by_operation.get(message.asked)
        if answer is not None and not answer.done():
            answer.set_result(message)

    async def _change(self, action, claim):
        writer = self._remote_writer(claim) or self._local_writer(claim)
        return await self._change_through(writer, action, claim)

    async def _change_here(self, action, claim):
        key = self._shard_key(claim)
        if key not in self._shard_by_key:
            self._shard_by_key[key] = Shard(node=self._node, key=key)
        return await self._shard_by_key[key].change(action, claim)

    async def _change_through(self, link, action, claim):
        if link is None:
            return await self._change_here(action, claim)
        link.send(ClaimChange(action=action, **_fields(claim)))
        if action != "claim":
            return None
        answer = await self._wait_for_answer(claim)
        if answer is None or not answer.is_available:
            now = self._node.clock.monotonic()
            self._silent_until_by_name[link.peer_instance] = now + SILENT_PAUSE_S
            return await self._change_here(action, claim)
        return Claim(**{f.name: getattr(answer, f.name) for f in _FIELDS})

    async def _wait_for_answer(self, claim):
        answer = asyncio.get_running_loop().create_future()
        self._answer_by_operation[claim.operation] = answer
        try:
            await asyncio.wait([answer], timeout=WRITER_WAIT_S)
            return answer.result() if answer.done() else None
        finally:
            del self._answer_by_operation[claim.operation]

    def _remote_writer(self, claim):
        """Return a link towards the shard's data centre, or None if it is here."""
        own = self._node.identity.data_centre
        links = self._writable_links()
        places = {own, *(link.hello.data_centre for link in links)}
        place = rendezvous_order(hash64(self._shard_key(claim)), sorted(places))[0]
        link_by_name = {
            link.peer_instance: link
            for link in links
            if link.hello.data_centre == place != own
        }
        return self._first_of(link_by_name, list(link_by_name), claim)

    def _local_writer(self, claim):
        """Return the link to this data centre's writer, or None if it is here."""
        own = self._node.identity
        link_by_name = {
            link.peer_instance: link
            for link in self._writable_links()
            if link.hello.data_centre == own.data_centre
        }
        return self._first_of(link_by_name, [own.instance, *link_by_name], claim)

    def _first_of(self, link_by_name, names, claim):
        order = rendezvous_order(hash64(self._shard_key(claim)), names)
        return link_by_name.get(order[0]) if order else None

    def _writable_links(self):
        return [k for k in self._node.links.of_role(Role.ENTRY) if self._may_write(k)]

    def _may_write(self, link):
        name = link.peer_instance
        if link.is_closing:
            return False
        if self._node.departures.is_leaving(name, link.peer_incarnation):
            return False
        silent_until = self._silent_until_by_name.get(name, 0.0)
        return silent_until <= self._node.clock.monotonic()

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
        held = await node.claims.keeper.change_for(link, message.action, claim)
    except MagnoliagradeError:
        held = None
    if message.action != "claim":
        return
    if held is None:
        answer = ClaimAnswer(asked=message.operation, is_available=False)
    else:
        answer = ClaimAnswer(
            asked=message.operation, is_available=True, **_fields(held)
        )
    link.send(answer)


@entry_handlers.on(ClaimAnswer)
async def on_claim_answer(node, link, message):
    """Pass an answer on to the claim that waits for it."""
    if isinstance(node.claims.keeper, BatchedKeeper):
        node.claims.keeper.on_answer(message)
