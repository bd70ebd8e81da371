"""How soon an entry confirms its site state after an outage of the store.

The store falls silent: calls that are waiting get no response, and neither do new ones.
Requests with an API key are rejected until a call that began after its return has been
answered.
"""

import asyncio
from types import SimpleNamespace

from magnoliagrade.clock import ManualClock
from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.platform import StorePosition

from magnoliagrade_entry.direct.knowledge.site_relay import SiteRelays
from magnoliagrade_entry.direct.knowledge.site_state import SiteState
from magnoliagrade_entry.direct.knowledge.site_watch import BACKOFF_MAX_S, follow_site

# Time limit of a call that waits for nothing.
CALL_TIMEOUT_S = 0.7
STEP_S = 0.01


def test_keys_are_confirmed_by_the_first_call_that_the_returned_store_answers():
    async def scenario():
        for outage_s in (2.0, 2.7, 3.1, 3.6, 4.2, 5.0):
            clock = ManualClock()
            store = _Store(clock=clock)
            node = _node(clock, store)
            task = asyncio.ensure_future(follow_site(node))
            await _advance(clock, 4.0)
            store.is_silent = True
            await _advance(clock, outage_s)
            store.is_silent = False
            returned_at = clock.monotonic()
            limit_s = CALL_TIMEOUT_S + BACKOFF_MAX_S + 2 * STEP_S
            await _advance(clock, limit_s)
            assert node.site_state.confirmed_at >= returned_at, outage_s
            task.cancel()

    asyncio.run(scenario())


def test_watch_waits_again_once_the_store_has_responded():
    async def scenario():
        clock = ManualClock()
        store = _Store(clock=clock)
        task = asyncio.ensure_future(follow_site(_node(clock, store)))
        store.is_silent = True
        await _advance(clock, 3.0)
        store.is_silent = False
        await _advance(clock, 3.0)
        store.waits_s.clear()
        await _advance(clock, 6.0)
        task.cancel()
        assert store.waits_s
        assert min(store.waits_s) > 1.0

    asyncio.run(scenario())


class _Store:
    """Store without changes: a watch responds once its wait has passed."""

    def __init__(self, *, clock):
        self._clock = clock
        self.is_silent = False
        self.waits_s = []

    async def list(self, _prefix, *, purpose):
        await self._respond(0.0)
        return [], StorePosition(1, 1)

    async def watch(self, _prefix, *, after, wait_s, purpose):
        self.waits_s.append(wait_s)
        await self._respond(wait_s)
        return [], after

    async def _respond(self, wait_s):
        was_silent = self.is_silent
        ends_at = self._clock.monotonic() + wait_s
        while self._clock.monotonic() < ends_at and not was_silent:
            await self._clock.sleep(STEP_S)
            was_silent = self.is_silent
        if was_silent:
            timeout_s = ends_at + CALL_TIMEOUT_S - self._clock.monotonic()
            await self._clock.sleep(timeout_s)
            raise MagnoliagradeError(ErrorKind.STORE_UNAVAILABLE, "no response")


def _node(clock, store):
    node = SimpleNamespace(
        clock=clock,
        store=store,
        site_state=SiteState(clock=clock),
        settings=SimpleNamespace(name="entry-0", revoke_ms=5000.0),
        peers=SimpleNamespace(newest_version=lambda: 0, link_by_name={}),
        rng=SimpleNamespace(uniform=lambda _low, high: high),
        on_site_changed=lambda: None,
        schedule_endpoint_expiry=lambda: None,
    )
    node.relays = SiteRelays(node=node)
    return node


async def _advance(clock, seconds):
    for _ in range(round(seconds / STEP_S)):
        await clock.advance(STEP_S)
