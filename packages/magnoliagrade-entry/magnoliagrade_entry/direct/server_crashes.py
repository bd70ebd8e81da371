"""Finds out whether a server crashed under a prompt, and tells the other entries."""

import asyncio
import logging

from magnoliagrade.errors import MagnoliagradeError
from magnoliagrade.observability import log_event
from magnoliagrade.platform import BLOCKED_PROMPT_LIFE_S, blocked_prompt_key
from magnoliagrade.store import StoreConflict
from prometheus_client import Counter

__all__ = ["check_for_crash", "withdraw_block"]

# Delays of the attempts to connect to a server after a response of it broke off. Its
# port may stay open for a moment after the connection was reset.
CONNECT_DELAYS_S = (0.05, 0.25)
CONNECT_TIMEOUT_S = 0.35

CRASHES = Counter(
    "magnoliagrade_direct_prompt_crashes_total", "Servers that ended under a prompt"
)
_log = logging.getLogger(__name__)


async def check_for_crash(node, endpoint, parts):
    """Record a crash under a prompt if the server refuses connections.

    Parameters
    ----------
    node : DirectEntry
        The entry.
    endpoint : SiteEndpoint
        Server whose response broke off before its first event.
    parts : tuple of str
        Shared parts of the prompt.
    """
    broken_at = node.clock.monotonic()
    for delay_s in CONNECT_DELAYS_S:
        await node.clock.sleep(delay_s)
        if await _refuses_connections(endpoint.address, node.settings.source_address):
            break
    else:
        return
    CRASHES.inc()
    log_event(
        _log,
        "prompt.server_crashed",
        level=logging.WARNING,
        endpoint=endpoint.id,
        prompt_parts=parts,
    )
    age_s = node.clock.monotonic() - broken_at
    blocked = node.prompt_guard.record_crash(endpoint.id, parts, age_s=age_s)
    node.peers.announce_crash(endpoint.id, parts, age_s=age_s)
    for part in blocked:
        log_event(_log, "prompt.blocked", level=logging.WARNING, prompt_part=part)
        await _publish_block(node, part)


async def withdraw_block(node, part):
    """Delete the store's record of a blocked part that turned out to be sound."""
    try:
        await node.store.delete(blocked_prompt_key(part), purpose="prompts")
    except MagnoliagradeError as exc:
        log_event(
            _log, "prompt.block.not_withdrawn", prompt_part=part, detail=exc.detail
        )


async def _publish_block(node, part):
    """Write a blocked part to the store for entries that start later."""
    try:
        lease = await node.store.grant_lease(BLOCKED_PROMPT_LIFE_S, purpose="prompts")
        await node.store.put(
            blocked_prompt_key(part),
            b"{}",
            expected_revision=0,
            lease=lease,
            purpose="prompts",
        )
    except StoreConflict:
        # Another entry has published it.
        return
    except MagnoliagradeError as exc:
        log_event(
            _log, "prompt.block.not_published", prompt_part=part, detail=exc.detail
        )


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
