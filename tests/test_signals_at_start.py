"""Signals that reach a process while it starts.

They guard against entries that end because operators tell all of them to reload while
one of them starts again.
"""

import asyncio
import contextlib
import signal
import tempfile

from magnoliagrade_standins.operators import (
    OperatorsSite,
    configuration_document,
    route_document,
)
from magnoliagrade_standins.soak.processes import EntryProcess

TEST_LIMIT_S = 60


def test_entry_that_starts_is_not_ended_by_a_reload():
    async def scenario():
        async with asyncio.timeout(TEST_LIMIT_S), OperatorsSite() as site:
            site.configure(configuration_document(1, [route_document("/a/", "a")]))
            with tempfile.TemporaryDirectory() as folder:
                entry = EntryProcess(
                    number=0,
                    folder=folder,
                    store_address=site.store_address,
                    revoke_ms=5000,
                )
                await entry.start()
                try:
                    # It listens for callers before it imports its libraries.
                    await _await_listener(entry, entry.caller_address)
                    while not await _listens(entry.addresses["ready"]):
                        entry.send(signal.SIGHUP)
                        await asyncio.sleep(0.01)
                        assert not entry.has_ended, entry.process.returncode
                finally:
                    await entry.end()

    asyncio.run(scenario())


async def _await_listener(entry, address):
    while not await _listens(address):
        assert not entry.has_ended, entry.process.returncode
        await asyncio.sleep(0.001)


async def _listens(address):
    host, _, port = address.rpartition(":")
    with contextlib.suppress(OSError):
        _, writer = await asyncio.open_connection(host, int(port))
        writer.close()
        return True
    return False
