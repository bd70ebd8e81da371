"""How nodes pass the configuration on over their links."""

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

PULL_TIMEOUT_S = 1.0
OFFER_LIMIT_BYTES = 1024 * 1024
FREEZE_FROM_CHUNKS = 16

CHANGES = Counter(
    "magnoliagrade_configuration_changes_total",
    "Configurations offered to this node by source and result",
    ["source", "result"],
)
_log = logging.getLogger(__name__)


class ConfigurationPropagation:
    """Pulls newer configurations from peers and hands the own one out.

    Parameters
    ----------
    node : Node
        Entry or agent.

    Notes
    -----
    Every message names the revision that its sender has in force. A node that is
    behind pulls from one peer at a time and names the chunks that it holds, so a
    change costs each node one root and the changed chunks, whatever the number of
    its links. A node that got ahead says so at once with a heartbeat.
    """

    __slots__ = (
        "_content_by_digest",
        "_node",
        "_other_link",
        "_pulled_at",
        "_refused_revision",
    )

    def __init__(self, *, node):
        self._node = node
        self._other_link = None
        self._pulled_at = None
        self._refused_revision = 0
        self._content_by_digest = {}

    def on_message(self, link):
        """Pull from a peer that is ahead, unless a pull is under way."""
        if link.peer_revision <= self._node.configuration.revision:
            return
        if link.peer_revision <= self._refused_revision:
            return
        now = self._node.clock.monotonic()
        if self._pulled_at is not None and now - self._pulled_at < PULL_TIMEOUT_S:
            self._other_link = link
            return
        self._pulled_at = now
        self._other_link = None
        self._node.tasks.start(self._ask_another(now), name="configuration-pull")
        link.send(
            ConfigurationPull(
                known_revision=self._node.configuration.revision,
                known_digests=sorted(self._held()),
            )
        )

    async def on_pull(self, link, message):
        """Send root and missing chunks to a peer that is behind."""
        stored = self._node.configuration.stored
        if stored is None or message.known_revision >= stored.revision:
            return
        for offer in _offers(stored, frozenset(message.known_digests)):
            link.send(offer)
            await link.drain()

    async def on_offer(self, link, message):
        """Put a peer's configuration in force once all of its chunks are here."""
        if message.revision <= self._node.configuration.revision:
            self._end_pull()
            return
        root = ConfigurationRoot.from_bytes(message.root)
        held = self._held()
        for chunk in message.chunks:
            content = chunk.content.decode()
            self._content_by_digest[chunk_digest(content)] = content
        held.update(self._content_by_digest)
        wanted = {r.digest for r in root.chunk_by_name.values()}
        if not wanted <= held.keys():
            return
        stored = StoredConfiguration(
            root=root, content_by_digest={d: held[d] for d in wanted}
        )
        await self.put_in_force(stored, source="peer")
        self._end_pull()

    async def put_in_force(self, stored, *, source):
        """Put a configuration in force if it is valid and newer, and say so.

        Parameters
        ----------
        stored : StoredConfiguration
            From the store or from a peer.
        source : str
            `store`, `peer` or `operator`.
        """
        node = self._node
        if stored.revision <= node.configuration.revision:
            CHANGES.labels(source, "older").inc()
            return
        try:
            parsed = await node.configuration.prepare(stored)
            applied = node.configuration.offer(stored, source=source)
        except MagnoliagradeError as exc:
            self._refused_revision = max(self._refused_revision, stored.revision)
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
            if parsed >= FREEZE_FROM_CHUNKS:
                _spare_from_collection()

    async def _ask_another(self, pulled_at):
        # Whoever was ahead during a pull that failed may not speak again for long.
        await self._node.clock.sleep(PULL_TIMEOUT_S)
        if self._pulled_at == pulled_at:
            self._end_pull()

    def _end_pull(self):
        self._content_by_digest.clear()
        self._pulled_at = None
        other, self._other_link = self._other_link, None
        if other is not None:
            self.on_message(other)

    def _held(self):
        stored = self._node.configuration.stored
        held = dict(stored.content_by_digest) if stored is not None else {}
        held.update(self._content_by_digest)
        return held


def register_propagation(handlers):
    """File the handlers of the configuration's messages in a table.

    Parameters
    ----------
    handlers : HandlerTable
        Table of a kind of node.
    """

    @handlers.on(ConfigurationPull)
    async def on_pull(node, link, message):
        await node.propagation.on_pull(link, message)

    @handlers.on(ConfigurationOffer)
    async def on_offer(node, link, message):
        await node.propagation.on_offer(link, message)


def _spare_from_collection():
    # Thousands of organisations make each full collection a pause of tens of
    # milliseconds; they hold no cycles, so the collector need not look at them.
    gc.unfreeze()
    gc.collect()
    gc.freeze()


def _offers(stored, known_digests):
    # Each offer repeats the root; the last one makes the chunks complete.
    root = stored.root.to_bytes()
    chunks = []
    size = 0
    for name, reference in sorted(stored.root.chunk_by_name.items()):
        if reference.digest in known_digests:
            continue
        content = stored.content_by_digest[reference.digest].encode()
        if chunks and size + len(content) > OFFER_LIMIT_BYTES:
            yield ConfigurationOffer(revision=stored.revision, root=root, chunks=chunks)
            chunks, size = [], 0
        size += len(content)
        chunks.append(
            ConfigurationChunk(name=name, digest=reference.digest, content=content)
        )
    yield ConfigurationOffer(revision=stored.revision, root=root, chunks=chunks)
