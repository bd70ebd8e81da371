"""Many entries of one data centre, most of which read the store through a relay."""

import asyncio

from magnoliagrade.platform import PlatformStore
from magnoliagrade_entry.direct.knowledge.site_relay import (
    RELAY_USE_S,
    relay_names,
)
from magnoliagrade_standins.operators import (
    OperatorsSite,
    configuration_document,
    route_document,
)

ROUTES = [route_document("/look/", "plain")]
ENTRIES = 8
REVOKE_MS = 5000.0
# Time for links to come up and for the first pulls.
SETTLE_S = 2.5
TEST_LIMIT_S = 60


def test_entries_call_the_store_less_often_than_each_by_itself():
    async def scenario(site):
        # An entry that was asked as a relay before all links were up goes on with the
        # shorter waits of a relay for this time.
        await asyncio.sleep(RELAY_USE_S)
        site.store.calls.clear()
        await asyncio.sleep(4.0)
        watches = site.store.calls.count("/kv-watch")
        # One relay with waits of 0.6 s, and one with waits of 1.5 s.
        assert watches <= 4.0 / 0.6 + 4.0 / 1.5 + 3, watches
        for entry in site.entries:
            assert entry.site_state.age_s() < 0.7 * REVOKE_MS / 1000
            assert entry.reasons_not_ready() == []

    _run(scenario)


def test_changes_are_in_force_at_all_entries():
    async def scenario(site):
        site.configure(configuration_document(5, ROUTES, keys=["key-2"]))
        await _await_version(site, 5)
        for entry in site.entries:
            assert (await site.call(entry, "GET", "/look/1"))[0] == 401
            assert (await site.call(entry, "GET", "/look/1", key="key-2"))[0] == 200

    _run(scenario)


def test_entries_go_on_if_the_relays_stop_or_lose_the_store():
    async def scenario(site):
        first, second = _relays(site)
        await first.close_now()
        site.entries.remove(first)
        second.store = PlatformStore(
            address="127.0.0.1:1", session=second.store_session
        )
        site.configure(configuration_document(5, ROUTES, keys=["key-2"]))
        others = [entry for entry in site.entries if entry is not second]
        await _await_version(site, 5, others)
        oldest_s = 0.0
        for _ in range(60):
            await asyncio.sleep(0.1)
            oldest_s = max(oldest_s, *(e.site_state.age_s() for e in others))
        assert oldest_s < REVOKE_MS / 1000 - 0.1
        # The entry without the store still gets the configuration from its peers.
        await _await_version(site, 5, [second])

    _run(scenario)


def test_entries_without_the_store_go_on_with_the_second_relay():
    async def scenario(site):
        first, second = _relays(site)
        others = [entry for entry in site.entries if entry not in (first, second)]
        for entry in others:
            entry.store = PlatformStore(
                address="127.0.0.1:1", session=entry.store_session
            )
        await first.close_now()
        site.entries.remove(first)
        oldest_s = 0.0
        for _ in range(80):
            await asyncio.sleep(0.1)
            oldest_s = max(oldest_s, *(e.site_state.age_s() for e in others))
        assert oldest_s < REVOKE_MS / 1000 - 0.1
        for entry in others:
            assert (await site.call(entry, "GET", "/look/1"))[0] == 200

    _run(scenario)


def test_keys_end_at_all_entries_while_the_store_is_silent():
    async def scenario(site):
        site.store.outage = "silent"
        await asyncio.sleep(REVOKE_MS / 1000 + 0.2)
        for entry in site.entries:
            assert (await site.call(entry, "GET", "/look/1"))[0] == 503
        site.store.outage = ""
        await asyncio.sleep(2.0)
        for entry in site.entries:
            assert (await site.call(entry, "GET", "/look/1"))[0] == 200

    _run(scenario)


def _relays(site):
    by_name = {entry.settings.name: entry for entry in site.entries}
    return [by_name[name] for name in relay_names(list(by_name))]


async def _await_version(site, version, entries=None):
    async with asyncio.timeout(4.0):
        for entry in site.entries if entries is None else entries:
            while entry.site_state.version != version:
                await asyncio.sleep(0.02)


def _run(scenario):
    async def run_with_limit():
        async with asyncio.timeout(TEST_LIMIT_S), OperatorsSite() as site:
            site.configure(configuration_document(3, ROUTES))
            await site.add_endpoint("plain-1", "plain")
            for _ in range(ENTRIES):
                await site.add_entry(revoke_ms=REVOKE_MS)
            await asyncio.sleep(SETTLE_S)
            await scenario(site)

    asyncio.run(run_with_limit())
