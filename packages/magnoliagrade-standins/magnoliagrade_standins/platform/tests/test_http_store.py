import asyncio

import aiohttp
from magnoliagrade.clock import SystemClock
from magnoliagrade.node import start_site
from magnoliagrade.store import HttpStore, StoreConflict, StoreUnavailable

from magnoliagrade_standins.platform import (
    ListedInstances,
    MemoryStore,
    StoreFaults,
    make_platform_app,
)

P = {"purpose": "test"}


def test_write_whose_response_is_lost_is_not_repeated_by_the_http_client():
    async def main():
        clock = SystemClock()
        memory = MemoryStore(clock=clock)
        app = make_platform_app(store=memory, listing=ListedInstances(clock=clock))
        runner, address = await start_site(app, "127.0.0.1:0", shutdown_timeout=0.1)
        async with aiohttp.ClientSession() as session:
            store = HttpStore(url=f"http://{address}", session=session)
            # HTTP clients may repeat a request by themselves on a reused connection.
            # The next write reuses this connection.
            first = await store.put("k", b"1", expected_revision=0, **P)
            memory.set_faults(StoreFaults(lose_write_answers=1))
            raised = None
            try:
                await store.put("k", b"2", expected_revision=first, **P)
            except (StoreConflict, StoreUnavailable) as exc:
                raised = exc
        await runner.cleanup()
        assert isinstance(raised, StoreUnavailable) and raised.maybe_applied, raised
        assert (await memory.get("k", **P)).value == b"2"

    asyncio.run(main())
