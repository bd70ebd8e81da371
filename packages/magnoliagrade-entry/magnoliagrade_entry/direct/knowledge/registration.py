"""Registration of an entry in the store, by which other entries find it."""

import asyncio
import logging

from magnoliagrade.errors import MagnoliagradeError
from magnoliagrade.observability import log_event
from magnoliagrade.platform import encode_instance, instance_key
from magnoliagrade.store import StoreConflict

__all__ = ["keep_registered"]

# Life of the entry's lease in the store, longer than most outages (4 to 9 s).
LEASE_S = 10.0
# Interval of lease renewals; three may fail before the lease expires.
RENEW_INTERVAL_S = 2.5
# Pause after a failed call. Calls are billed also while the store rejects them.
REGISTER_RETRY_INTERVAL_S = 1.0

_log = logging.getLogger(__name__)


async def keep_registered(node):
    """Keep the entry registered in the store under a lease until cancelled.

    Parameters
    ----------
    node : DirectEntry
        The entry.
    """
    while True:
        try:
            if node.lease is None:
                await _register(node)
            else:
                await node.store.renew_lease(node.lease, purpose="instances")
            pause_s = RENEW_INTERVAL_S
        except StoreConflict:
            node.lease = None
            pause_s = 0.0
        except MagnoliagradeError as exc:
            log_event(_log, "instance.not_registered", detail=exc.detail)
            pause_s = REGISTER_RETRY_INTERVAL_S
        await _sleep_until_new_era(node, pause_s)


async def _sleep_until_new_era(node, pause_s):
    """Wait; return early if the store has returned from a copy."""
    sleeping = asyncio.ensure_future(node.clock.sleep(pause_s))
    new_era = asyncio.ensure_future(node.store.wait_for_new_era())
    try:
        await asyncio.wait({sleeping, new_era}, return_when=asyncio.FIRST_COMPLETED)
    finally:
        sleeping.cancel()
        new_era.cancel()


async def _register(node):
    lease = await node.store.grant_lease(LEASE_S, purpose="instances")
    await node.store.put(
        instance_key(node.settings.name),
        encode_instance(node.peers.address),
        expected_revision=None,
        lease=lease,
        purpose="instances",
    )
    node.lease = lease
