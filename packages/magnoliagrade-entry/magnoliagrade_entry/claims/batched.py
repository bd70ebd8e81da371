"""Batched claim writes: one entry of each data centre writes a shard's claims."""

import asyncio
import dataclasses

from magnoliagrade.algorithms import hash64, rendezvous_order
from magnoliagrade.errors import MagnoliagradeError
from magnoliagrade.store import StoreUnavailable
from magnoliagrade.wire import ClaimAnswer, ClaimChange
from magnoliagrade.world import Role

from magnoliagrade_entry.claims.records import Claim
from magnoliagrade_entry.claims.shard import Shard
from magnoliagrade_entry.claims.store import claim_stores
from magnoliagrade_entry.handlers import entry_handlers

__all__ = ["BatchedClaimStore"]

WRITER_TIMEOUT_S = 0.5
WRITER_EXCLUSION_S = 5.0


@claim_stores.register("batched")
class BatchedClaimStore:
    """Sends changes of claims to their shard's writer, or writes them itself.

    Parameters
    ----------
    node : EntryInstance
        The entry.

    Notes
    -----
    Rendezvous hashing selects a data centre for each shard, and in it an entry as the
    writer; a change reaches the writer over at most two links. Data centres that
    cannot reach each other each write their own changes, and the store's
    compare-and-swap serialises them. An entry that does not reply to a claim within
    half a second (`WRITER_TIMEOUT_S`) is excluded as a writer for
    `WRITER_EXCLUSION_S`, and the claim is written here instead. Making the same
    change twice gives one claim, because claims are identified by their operation.
    """

    __slots__ = (
        "_excluded_until_by_name",
        "_future_by_operation",
        "_node",
        "_shard_by_key",
    )

    def __init__(self, *, node):
        self._node = node
        self._shard_by_key = {}
        self._future_by_operation = {}
        self._excluded_until_by_name = {}

    async def claim(self, claim):
        """Create a claim unless its key has one; return the claim in force."""
        held = await self._change("claim", claim)
        if held is None:
            raise StoreUnavailable(
                f"claim {claim.operation} was not written to {self._shard_key(claim)}"
            )
        return held

    async def record_outcome(self, claim):
        """Record the outcome of a claim; does not wait for a remote writer."""
        await self._change("settle", claim)

    async def release(self, claim):
        """Delete a claim whose request did not run."""
        await self._change("release", claim)

    async def change_for_peer(self, link, action, claim):
        """Make a change that another entry requested; return the claim in force.

        Parameters
        ----------
        link : Link
            Link to the entry that requested it.
        action : str
            `claim`, `settle` or `release`.
        claim : Claim
            Claim to create, update or delete.

        Returns
        -------
        held : Claim or None
            The claim in force for the key afterwards.
        """
        local_data_centre = self._node.identity.data_centre
        if link.hello.data_centre == local_data_centre:
            return await self._change_locally(action, claim)
        return await self._change_via_link(self._local_writer(claim), action, claim)

    def on_reply(self, message):
        """Pass a shard writer's reply to the claim that waits for it."""
        future = self._future_by_operation.get(message.asked)
        if future is not None and not future.done():
            future.set_result(message)

    async def _change(self, action, claim):
        writer = self._remote_writer(claim) or self._local_writer(claim)
        return await self._change_via_link(writer, action, claim)

    async def _change_locally(self, action, claim):
        key = self._shard_key(claim)
        if key not in self._shard_by_key:
            self._shard_by_key[key] = Shard(node=self._node, key=key)
        return await self._shard_by_key[key].change(action, claim)

    async def _change_via_link(self, link, action, claim):
        if link is None:
            return await self._change_locally(action, claim)
        link.send(ClaimChange(action=action, **_fields(claim)))
        if action != "claim":
            return None
        reply = await self._wait_for_reply(claim)
        if reply is None or not reply.is_available:
            now = self._node.clock.monotonic()
            self._excluded_until_by_name[link.peer_instance] = now + WRITER_EXCLUSION_S
            return await self._change_locally(action, claim)
        return Claim(**{f.name: getattr(reply, f.name) for f in _FIELDS})

    async def _wait_for_reply(self, claim):
        future = asyncio.get_running_loop().create_future()
        self._future_by_operation[claim.operation] = future
        try:
            await asyncio.wait([future], timeout=WRITER_TIMEOUT_S)
            return future.result() if future.done() else None
        finally:
            del self._future_by_operation[claim.operation]

    def _remote_writer(self, claim):
        """Return a link to the writer in the shard's data centre; None if local."""
        local_data_centre = self._node.identity.data_centre
        links = self._writable_links()
        data_centres = {local_data_centre, *(link.hello.data_centre for link in links)}
        data_centre = rendezvous_order(
            hash64(self._shard_key(claim)), sorted(data_centres)
        )[0]
        link_by_name = {
            link.peer_instance: link
            for link in links
            if link.hello.data_centre == data_centre != local_data_centre
        }
        return self._first_ranked(link_by_name, list(link_by_name), claim)

    def _local_writer(self, claim):
        """Return a link to this data centre's writer, or None if it is this entry."""
        identity = self._node.identity
        link_by_name = {
            link.peer_instance: link
            for link in self._writable_links()
            if link.hello.data_centre == identity.data_centre
        }
        return self._first_ranked(
            link_by_name, [identity.instance, *link_by_name], claim
        )

    def _first_ranked(self, link_by_name, names, claim):
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
        excluded_until = self._excluded_until_by_name.get(name, 0.0)
        return excluded_until <= self._node.clock.monotonic()

    def _shard_key(self, claim):
        number = hash64(claim.key) % self._node.settings.claims_shards
        return f"claims/by-shard/{number:04d}"


_FIELDS = dataclasses.fields(Claim)


def _fields(claim):
    return {f.name: getattr(claim, f.name) for f in _FIELDS}


@entry_handlers.on(ClaimChange)
async def on_claim_change(node, link, message):
    """Make a change for another entry and, if it creates a claim, reply."""
    if isinstance(node.claims.claim_store, BatchedClaimStore):
        node.tasks.start(_change_for_peer(node, link, message), name="claim change")


async def _change_for_peer(node, link, message):
    claim = Claim(**{f.name: getattr(message, f.name) for f in _FIELDS})
    try:
        held = await node.claims.claim_store.change_for_peer(
            link, message.action, claim
        )
    except MagnoliagradeError:
        held = None
    if message.action != "claim":
        return
    if held is None:
        reply = ClaimAnswer(asked=message.operation, is_available=False)
    else:
        reply = ClaimAnswer(asked=message.operation, is_available=True, **_fields(held))
    link.send(reply)


@entry_handlers.on(ClaimAnswer)
async def on_claim_answer(node, link, message):
    """Pass a reply to the claim that waits for it."""
    if isinstance(node.claims.claim_store, BatchedClaimStore):
        node.claims.claim_store.on_reply(message)
