"""Propagation of the configuration between nodes over their links."""

import gc
import logging

from prometheus_client import Counter

from magnoliagrade.configuration import ConfigurationRoot, StoredConfiguration
from magnoliagrade.configuration.chunks import chunk_digest
from magnoliagrade.errors import MagnoliagradeError
from magnoliagrade.observability.logs import log_event
from magnoliagrade.wire import (
    ConfigurationChunk,
    ConfigurationOffer,
    ConfigurationPull,
    Heartbeat,
)

__all__ = ["ConfigurationPropagation", "register_propagation"]

# Longest wait for a peer's complete offer before the next peer is asked.
PULL_TIMEOUT_S = 1.0
# Most bytes of chunks in one offer message; a larger chunk has one of its own.
MAX_OFFER_BYTES = 1024 * 1024
# After a change with at least this many parsed chunks, all objects are excluded from
# garbage collection; with fewer, nothing more is excluded.
GC_FREEZE_MIN_CHUNKS = 16

CHANGES = Counter(
    "magnoliagrade_configuration_changes_total",
    "Configurations offered to this node by source and result",
    ["source", "result"],
)
_log = logging.getLogger(__name__)


class ConfigurationPropagation:
    """Pulls newer configurations from peers and sends the local one to others.

    Parameters
    ----------
    node : Node
        Entry or agent.

    Notes
    -----
    Every message contains the revision that its sender has in force. A node with an
    older revision pulls from one peer at a time and lists the chunks that it holds, so
    each node receives one root and the changed chunks per change, whatever the number
    of its links. A node that puts a newer revision in force announces it at once with
    a heartbeat.
    """

    __slots__ = (
        "_content_by_digest",
        "_node",
        "_next_link",
        "_pulled_at",
        "_rejected_revision",
    )

    def __init__(self, *, node):
        self._node = node
        self._next_link = None
        self._pulled_at = None
        self._rejected_revision = 0
        self._content_by_digest = {}

    def on_message(self, link):
        """Pull from a peer with a newer revision, unless a pull is under way."""
        if link.peer_revision <= self._node.configuration.revision:
            return
        if link.peer_revision <= self._rejected_revision:
            return
        now = self._node.clock.monotonic()
        if self._pulled_at is not None and now - self._pulled_at < PULL_TIMEOUT_S:
            self._next_link = link
            return
        self._pulled_at = now
        self._next_link = None
        self._node.tasks.start(
            self._end_pull_after_timeout(now), name="configuration-pull"
        )
        link.send(
            ConfigurationPull(
                known_revision=self._node.configuration.revision,
                known_digests=sorted(self._available_content()),
            )
        )

    async def on_pull(self, link, message):
        """Send the root and the missing chunks to a peer with an older revision."""
        stored = self._node.configuration.stored
        if stored is None or message.known_revision >= stored.revision:
            return
        for offer in _offers(stored, frozenset(message.known_digests)):
            link.send(offer)
            await link.drain()

    async def on_offer(self, link, message):
        """Put a peer's configuration in force once all its chunks were received."""
        if message.revision <= self._node.configuration.revision:
            self._end_pull()
            return
        root = ConfigurationRoot.from_bytes(message.root)
        available = self._available_content()
        for chunk in message.chunks:
            content = chunk.content.decode()
            self._content_by_digest[chunk_digest(content)] = content
        available.update(self._content_by_digest)
        required_digests = {r.digest for r in root.chunk_by_name.values()}
        if not required_digests <= available.keys():
            return
        stored = StoredConfiguration(
            root=root, content_by_digest={d: available[d] for d in required_digests}
        )
        await self.put_in_force(stored, source="peer")
        self._end_pull()

    async def put_in_force(self, stored, *, source):
        """Put a configuration in force if it is valid and newer, and announce it.

        Parameters
        ----------
        stored : StoredConfiguration
            Configuration to put in force.
        source : str
            Origin: `store`, `peer` or `operator`.
        """
        node = self._node
        if stored.revision <= node.configuration.revision:
            CHANGES.labels(source, "older").inc()
            return
        try:
            parsed_chunks = await node.configuration.prepare(stored)
            applied = node.configuration.offer(stored, source=source)
        except MagnoliagradeError as exc:
            self._rejected_revision = max(self._rejected_revision, stored.revision)
            CHANGES.labels(source, "invalid").inc()
            log_event(
                _log,
                "configuration.invalid",
                level=logging.ERROR,
                configuration_revision=stored.revision,
                detail=exc.detail,
            )
            return
        if applied:
            CHANGES.labels(source, "in_force").inc()
            node.links.broadcast(Heartbeat())
            if parsed_chunks >= GC_FREEZE_MIN_CHUNKS:
                _exclude_from_garbage_collection()

    async def _end_pull_after_timeout(self, pulled_at):
        # A peer that announced a newer revision during a failed pull may not send
        # another message soon, so the next pull goes to it after the time-out.
        await self._node.clock.sleep(PULL_TIMEOUT_S)
        if self._pulled_at == pulled_at:
            self._end_pull()

    def _end_pull(self):
        self._content_by_digest.clear()
        self._pulled_at = None
        next_link, self._next_link = self._next_link, None
        if next_link is not None:
            self.on_message(next_link)

    def _available_content(self):
        stored = self._node.configuration.stored
        available = dict(stored.content_by_digest) if stored is not None else {}
        available.update(self._content_by_digest)
        return available


def register_propagation(handlers):
    """Register the handlers of the configuration's messages in a table.

    Parameters
    ----------
    handlers : HandlerTable
        Table of one kind of node.
    """

    @handlers.on(ConfigurationPull)
    async def on_pull(node, link, message):
        await node.propagation.on_pull(link, message)

    @handlers.on(ConfigurationOffer)
    async def on_offer(node, link, message):
        await node.propagation.on_offer(link, message)


def _exclude_from_garbage_collection():
    # With thousands of organisations, each full collection is a pause of tens of
    # milliseconds. Their objects form no cycles, so the collector can skip them.
    gc.unfreeze()
    gc.collect()
    gc.freeze()


def _offers(stored, known_digests):
    # Each offer repeats the root; with the last one, the receiver has all chunks.
    root = stored.root.to_bytes()
    chunks = []
    size = 0
    for name, reference in sorted(stored.root.chunk_by_name.items()):
        if reference.digest in known_digests:
            continue
        content = stored.content_by_digest[reference.digest].encode()
        if chunks and size + len(content) > MAX_OFFER_BYTES:
            yield ConfigurationOffer(revision=stored.revision, root=root, chunks=chunks)
            chunks, size = [], 0
        size += len(content)
        chunks.append(
            ConfigurationChunk(name=name, digest=reference.digest, content=content)
        )
    yield ConfigurationOffer(revision=stored.revision, root=root, chunks=chunks)
