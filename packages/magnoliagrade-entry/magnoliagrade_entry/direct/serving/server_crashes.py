"""Finds out whether a server crashed under a request, and tells the other entries."""

import asyncio
import logging
from dataclasses import dataclass

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.observability import log_event
from magnoliagrade.platform import BLOCKED_REQUEST_LIFE_S, blocked_request_key
from prometheus_client import Counter

from magnoliagrade_entry.direct.serving.crash_suspects import ServerCrash

__all__ = ["CrashWatch", "withdraw_blocks"]

# Failures after which a server may have crashed under the request.
SUSPICIOUS_KINDS = (
    ErrorKind.OUTCOME_UNKNOWN,
    ErrorKind.ANSWER_BROKEN,
    ErrorKind.DEADLINE,
)
# Delays before the checks whether a server refuses connections, if one to it was lost:
# its port may stay open for a moment after its connections were reset.
CONNECTION_CHECK_DELAYS_S = (0.05, 0.2)
# Interval of the checks after them, which find a server that fell silent: the next
# incarnation at its address registers within some seconds.
SUCCESSOR_CHECK_INTERVAL_S = 0.1
# Time after a failure until which the server may turn out to have ended.
WATCH_S = 5.0
CONNECT_TIMEOUT_S = 0.35
# Pauses between attempts to record a block in the store, which may be away.
PUBLISH_PAUSES_S = (1.0, 2.0, 4.0, 8.0, 16.0)

# Time within which other entries announce the requests that they had at a server that
# ended. One of them may explain a block.
PEER_REPORT_S = 1.0

CRASHES = Counter(
    "magnoliagrade_direct_server_crashes_total", "Servers that ended under a request"
)
_log = logging.getLogger(__name__)


@dataclass(slots=True, kw_only=True)
class _BrokenAttempt:
    """An attempt that a server may have ended under."""

    request_id: str
    traits: object
    began_at: float
    broken_at: float
    responded_at: float
    is_connection_lost: bool

    def crash_of(self, endpoint):
        """Return the `ServerCrash` if the endpoint ended under the attempt."""
        return ServerCrash(
            endpoint_id=endpoint.id,
            traits=self.traits,
            began_at=self.began_at,
            crashed_at=self.broken_at,
            responded_at=(
                self.broken_at if self.is_connection_lost else self.responded_at
            ),
        )


class CrashWatch:
    """Watches servers at which attempts have broken off or had no response.

    Parameters
    ----------
    node : DirectEntry
        The entry.
    """

    __slots__ = ("_node", "_responded_at_by_domain", "_unchecked_by_endpoint_id")

    def __init__(self, *, node):
        self._node = node
        self._unchecked_by_endpoint_id = {}
        self._responded_at_by_domain = {}

    def record_response(self, domain):
        """Record that a server of a fault domain has responded."""
        self._responded_at_by_domain[domain] = self._node.clock.monotonic()

    def begin(self, load, request, traits, *, kind, began_at):
        """Watch a server after a failed attempt, unless the failure tells nothing.

        Parameters
        ----------
        load : EndpointLoad
            Load of the server.
        request : DirectRequest
            The request.
        traits : RequestTraits
            Its traits.
        kind : ErrorKind
            How the attempt failed.
        began_at : float
            Time at which the attempt began, in seconds.
        """
        node = self._node
        endpoint = load.endpoint
        registry = node.site_state.registry
        if kind not in SUSPICIOUS_KINDS or registry.has_announced_end(endpoint):
            return
        node.crash_guard.expect_crash()
        attempt = _BrokenAttempt(
            request_id=request.id,
            traits=traits,
            began_at=began_at,
            broken_at=node.clock.monotonic(),
            responded_at=max(
                self._responded_at_by_domain.get(load.fault_domain, float("-inf")),
                registry.registered_at(endpoint),
            ),
            is_connection_lost=kind is not ErrorKind.DEADLINE,
        )
        if endpoint.id in self._unchecked_by_endpoint_id:
            self._unchecked_by_endpoint_id[endpoint.id].append(attempt)
            return
        self._unchecked_by_endpoint_id[endpoint.id] = [attempt]
        node.tasks.start(self._watch(endpoint), name=f"check of {endpoint.id}")

    async def _watch(self, endpoint):
        clock = self._node.clock
        ends_at = clock.monotonic() + WATCH_S
        await clock.sleep(CONNECTION_CHECK_DELAYS_S[0])
        # An attempt that breaks off later needs all checks of its own.
        attempts = self._unchecked_by_endpoint_id.pop(endpoint.id)
        is_lost = any(attempt.is_connection_lost for attempt in attempts)
        has_ended = is_lost and await self._refuses_connections(endpoint)
        if not has_ended and not await self._has_successor_by(endpoint, ends_at):
            return
        if self._node.site_state.registry.has_announced_end(endpoint):
            return
        CRASHES.inc()
        self._record(endpoint, attempts)

    async def _refuses_connections(self, endpoint):
        source_address = self._node.settings.source_address
        if await _refuses_connections(endpoint.address, source_address):
            return True
        await self._node.clock.sleep(CONNECTION_CHECK_DELAYS_S[1])
        return await _refuses_connections(endpoint.address, source_address)

    async def _has_successor_by(self, endpoint, ends_at):
        # A registration that lapses says nothing: the server may be cut off.
        registry = self._node.site_state.registry
        while not registry.has_successor(endpoint):
            if self._node.clock.monotonic() >= ends_at:
                return False
            await self._node.clock.sleep(SUCCESSOR_CHECK_INTERVAL_S)
        return True

    def _record(self, endpoint, attempts):
        node = self._node
        crashes = []
        for attempt in attempts:
            log_event(
                _log,
                "request.server_crashed",
                level=logging.WARNING,
                request_id=attempt.request_id,
                endpoint=endpoint.id,
                request_digest=attempt.traits.request,
                caller_digest=attempt.traits.caller,
                prompt_parts=attempt.traits.parts,
                found_after_s=round(node.clock.monotonic() - attempt.broken_at, 3),
            )
            crashes.append(attempt.crash_of(endpoint))
        blocked = node.crash_guard.record_crashes(crashes)
        for crash in crashes:
            node.peers.announce_crash(crash)
        for key in blocked:
            block_s = node.crash_guard.remaining_s(key)
            log_event(
                _log,
                "request.blocked",
                level=logging.WARNING,
                group=key,
                for_s=round(block_s, 1),
            )
            node.tasks.start(_publish_until_explained(node, key), name=f"block {key}")


async def withdraw_blocks(node, keys):
    """Delete the store's records of blocked groups that turned out to be sound."""
    for key in keys:
        try:
            await node.store.delete(blocked_request_key(key), purpose="blocks")
        except MagnoliagradeError as exc:
            log_event(_log, "request.block.not_withdrawn", group=key, detail=exc.detail)


async def _publish_until_explained(node, key):
    """Write a blocked group to the store unless another group explains its crashes."""
    await _publish_block(node, key)
    await node.clock.sleep(PEER_REPORT_S)
    for lifted in node.crash_guard.lift_explained([key]):
        log_event(_log, "request.block.lifted", group=lifted)
        await withdraw_blocks(node, [lifted])


async def _publish_block(node, key):
    """Write a blocked group to the store for entries that start later."""
    for pause_s in (*PUBLISH_PAUSES_S, None):
        life_s = min(BLOCKED_REQUEST_LIFE_S, node.crash_guard.remaining_s(key))
        if not life_s:
            return
        try:
            lease = await node.store.grant_lease(life_s, purpose="blocks")
            await node.store.put(
                blocked_request_key(key),
                b"{}",
                # A longer block replaces a brief one.
                expected_revision=None,
                lease=lease,
                purpose="blocks",
            )
        except MagnoliagradeError as exc:
            log_event(_log, "request.block.not_published", group=key, detail=exc.detail)
            if pause_s is not None:
                await node.clock.sleep(pause_s)
        else:
            return


async def _refuses_connections(address, source_address):
    host, _, port = address.rpartition(":")
    local_address = (source_address, 0) if source_address else None
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(
                host, int(port), local_addr=local_address
            )
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        # A link that is cut says nothing about the server.
        return False
    writer.close()
    return False
