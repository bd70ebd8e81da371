"""Finds out whether a server crashed under a request, and tells the other entries."""

import asyncio
import logging
from dataclasses import dataclass

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.observability import log_event
from magnoliagrade.platform import BLOCKED_REQUEST_LIFE_S, blocked_request_key
from magnoliagrade.store import StoreConflict
from prometheus_client import Counter

from magnoliagrade_entry.direct.crash_guard import ServerCrash

__all__ = ["CrashWatch", "withdraw_blocks"]

# Failures after which a server may have crashed under the request.
SUSPICIOUS_KINDS = (
    ErrorKind.OUTCOME_UNKNOWN,
    ErrorKind.ANSWER_BROKEN,
    ErrorKind.DEADLINE,
)
# Delays between the checks whether a server has ended. Its port may stay open for a
# moment after its connections were reset. The last checks find a server that fell
# silent: the next incarnation at its address registers within some seconds.
CHECK_DELAYS_S = (0.05, 0.2, 0.75, 1.0, 1.0, 1.0, 1.0)
# Number of checks that open a connection, if one to the server was lost.
CONNECTION_CHECKS = 2
CONNECT_TIMEOUT_S = 0.35
# Pauses between attempts to record a block in the store, which may be away.
PUBLISH_PAUSES_S = (1.0, 2.0, 4.0, 8.0, 16.0)

CRASHES = Counter(
    "magnoliagrade_direct_server_crashes_total", "Servers that ended under a request"
)
_log = logging.getLogger(__name__)


@dataclass(slots=True, kw_only=True)
class _Check:
    """An attempt at a server that may have crashed."""

    request_id: str
    traits: object
    began_at: float
    broken_at: float
    responded_at: float
    is_connection_lost: bool


class CrashWatch:
    """Watches servers at which attempts have broken off or had no response.

    Parameters
    ----------
    node : DirectEntry
        The entry.
    """

    __slots__ = ("_checks_by_endpoint_id", "_node", "_responded_at_by_service")

    def __init__(self, *, node):
        self._node = node
        self._checks_by_endpoint_id = {}
        self._responded_at_by_service = {}

    def record_response(self, service):
        """Record that a server of a service has responded."""
        self._responded_at_by_service[service] = self._node.clock.monotonic()

    def begin(self, endpoint, request, traits, *, kind, began_at):
        """Watch a server after a failed attempt, unless the failure tells nothing.

        Parameters
        ----------
        endpoint : SiteEndpoint
            The server.
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
        registry = node.site_state.registry
        if kind not in SUSPICIOUS_KINDS or registry.has_announced_end(endpoint):
            return
        node.crash_guard.expect_crash()
        check = _Check(
            request_id=request.id,
            traits=traits,
            began_at=began_at,
            broken_at=node.clock.monotonic(),
            responded_at=max(
                self._responded_at_by_service.get(request.service, float("-inf")),
                registry.registered_at(endpoint),
            ),
            is_connection_lost=kind is not ErrorKind.DEADLINE,
        )
        if endpoint.id in self._checks_by_endpoint_id:
            self._checks_by_endpoint_id[endpoint.id].append(check)
            return
        self._checks_by_endpoint_id[endpoint.id] = [check]
        node.tasks.start(self._watch(endpoint), name=f"check of {endpoint.id}")

    async def _watch(self, endpoint):
        checks = self._checks_by_endpoint_id[endpoint.id]
        try:
            for number, delay_s in enumerate(CHECK_DELAYS_S):
                await self._node.clock.sleep(delay_s)
                is_connected = number < CONNECTION_CHECKS and any(
                    check.is_connection_lost for check in checks
                )
                if await self._has_ended(endpoint, is_connected=is_connected):
                    break
            else:
                return
            if self._node.site_state.registry.has_announced_end(endpoint):
                return
        finally:
            del self._checks_by_endpoint_id[endpoint.id]
        CRASHES.inc()
        for check in checks:
            self._record(endpoint, check)

    async def _has_ended(self, endpoint, *, is_connected):
        # A registration that lapses says nothing: the server may be cut off.
        if self._node.site_state.registry.has_successor(endpoint):
            return True
        return is_connected and await _refuses_connections(
            endpoint.address, self._node.settings.source_address
        )

    def _record(self, endpoint, check):
        node = self._node
        crash = ServerCrash(
            endpoint_id=endpoint.id,
            traits=check.traits,
            began_at=check.began_at,
            crashed_at=check.broken_at,
            responded_at=(
                check.broken_at if check.is_connection_lost else check.responded_at
            ),
        )
        log_event(
            _log,
            "request.server_crashed",
            level=logging.WARNING,
            request_id=check.request_id,
            endpoint=endpoint.id,
            request_digest=check.traits.request,
            caller_digest=check.traits.caller,
            prompt_parts=check.traits.parts,
            found_after_s=round(node.clock.monotonic() - check.broken_at, 3),
        )
        blocked = node.crash_guard.record_crash(crash)
        node.peers.announce_crash(crash)
        for key in blocked:
            log_event(_log, "request.blocked", level=logging.WARNING, group=key)
            node.tasks.start(_publish_block(node, key), name=f"block of {key}")


async def withdraw_blocks(node, keys):
    """Delete the store's records of blocked groups that turned out to be sound."""
    for key in keys:
        try:
            await node.store.delete(blocked_request_key(key), purpose="blocks")
        except MagnoliagradeError as exc:
            log_event(_log, "request.block.not_withdrawn", group=key, detail=exc.detail)


async def _publish_block(node, key):
    """Write a blocked group to the store for entries that start later."""
    for pause_s in (*PUBLISH_PAUSES_S, None):
        try:
            lease = await node.store.grant_lease(
                BLOCKED_REQUEST_LIFE_S, purpose="blocks"
            )
            await node.store.put(
                blocked_request_key(key),
                b"{}",
                expected_revision=0,
                lease=lease,
                purpose="blocks",
            )
        except StoreConflict:
            # Another entry has published it.
            return
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
