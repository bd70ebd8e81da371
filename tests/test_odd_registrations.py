"""Registrations that another writer left among those of the endpoints.

They name no endpoint to use. Entries and agents that read the list keep the others, and
go on to follow the store.
"""

import asyncio
import base64
import json

import aiohttp
from magnoliagrade.platform import PlatformStore, list_endpoints
from magnoliagrade_standins.operators import (
    OperatorsSite,
    configuration_document,
    endpoint_document,
    route_document,
)

TEST_LIMIT_S = 60
# A change of the store reaches an entry within a few hundred ms.
APPLY_LIMIT_S = 5.0
OTHER_PREFIXES = (
    "magnoliagrade/instances/",
    "magnoliagrade/rank-groups/",
    "magnoliagrade/slow-ranks/",
    "magnoliagrade/blocked-requests/",
    "magnoliagrade/unknown/",
    "op/evacuate/",
    "unknown/",
)
SOUND = endpoint_document("plain", "127.0.0.1:80")
HUGE = int("9" * 400)
ODD_ADDRESSES = (
    "127.0.0.1:65536",
    "127.0.0.1:" + "9" * 5000,
    "127.0.0.1:\u00b2",
    "127.0.0.1:-1",
    "127.0.0.1:8o",
    "127.0.0.1",
    ":80",
    "user@127.0.0.1:80",
    "127.0.0.1/path?:80",
    "127.0.0.1\r\n:80",
    "\ud800:80",
)
ODD_REGISTRATIONS = {
    **{
        f"address {address!r:.40}": SOUND | {"Address": address}
        for address in ODD_ADDRESSES
    },
    **{
        f"{field} of 400 digits": SOUND | {field: HUGE}
        for field in ("Slots", "ColdRemainingMs", "Sequence", "born")
    },
    "a number that no float holds": SOUND | {"ColdRemainingMs": 10**308 * 9},
    "a fraction in place of a count": b'{"Slots": 1e999}',
    "very deep lists": b"[" * 200_000,
    "very deep objects": b'{"State":' * 100_000 + b"1" + b"}" * 100_000,
    "a number of 5,000 digits": b'{"Slots": ' + b"9" * 5000 + b"}",
    "a list": [SOUND],
    "text": b"ready",
    "no text": b"\xff\xfe\x00",
    "nothing": b"",
    "null": b"null",
    "a state of another type": SOUND | {"State": ["ready"]},
    "a service of another type": SOUND | {"Service": {"Name": "plain"}},
}


def test_entries_follow_the_store_past_odd_registrations():
    async def scenario(site):
        for name in ("former", "later"):
            await site.add_endpoint(name, name)
        routes = [route_document("/x/", "former"), route_document("/y/", "later")]
        site.configure(configuration_document(1, routes))
        entry = await site.add_entry()
        version = 1
        for odd, document in ODD_REGISTRATIONS.items():
            version += 1
            site.store.put("servers/i-other-writer", _encoded(document))
            service = ("former", "later")[version % 2]
            routes[0] = route_document("/x/", service)
            site.configure(configuration_document(version, routes))
            async with asyncio.timeout(APPLY_LIMIT_S):
                while entry.site_state.version < version:
                    await asyncio.sleep(0.01)
            status, _, body = await site.call(entry, "GET", "/x/1")
            assert (status, body.split()[-1]) == (200, service), odd

    _run(scenario)


def test_entries_that_start_read_a_list_with_odd_registrations():
    async def scenario(site):
        await site.add_endpoint("i-1", "plain")
        site.configure(configuration_document(1, [route_document("/x/", "plain")]))
        for number, document in enumerate(ODD_REGISTRATIONS.values()):
            site.store.put(f"servers/i-other-{number}", _encoded(document))
        entry = await site.add_entry()
        assert (await site.call(entry, "GET", "/x/1"))[0] == 200
        assert list(entry.site_state.registry.endpoint_by_id) == ["i-1"]

    _run(scenario)


def test_agents_list_the_endpoints_without_odd_registrations():
    async def scenario(site):
        await site.add_endpoint("i-1", "plain")
        for number, document in enumerate(ODD_REGISTRATIONS.values()):
            site.store.put(f"servers/i-other-{number}", _encoded(document))
        async with aiohttp.ClientSession() as session:
            store = PlatformStore(address=site.store_address, session=session)
            endpoints = await list_endpoints(store, purpose="test")
        assert [endpoint.id for endpoint in endpoints] == ["i-1"]

    _run(scenario)


def test_entries_follow_the_store_past_odd_values_under_all_other_keys():
    async def scenario(site):
        for name in ("former", "later"):
            await site.add_endpoint(name, name)
        routes = [route_document("/x/", "former"), route_document("/y/", "later")]
        site.configure(configuration_document(1, routes))
        entry = await site.add_entry()
        version = 1
        for prefix in OTHER_PREFIXES:
            for number, document in enumerate(ODD_REGISTRATIONS.values()):
                site.store.put(f"{prefix}odd-{number}", _encoded(document))
            version += 1
            service = ("former", "later")[version % 2]
            routes[0] = route_document("/x/", service)
            site.configure(configuration_document(version, routes))
            async with asyncio.timeout(APPLY_LIMIT_S):
                while entry.site_state.version < version:
                    await asyncio.sleep(0.01)
            status, _, body = await site.call(entry, "GET", "/x/1")
            assert (status, body.split()[-1]) == (200, service), prefix
        late_entry = await site.add_entry()
        assert late_entry.site_state.version == version
        assert (await site.call(late_entry, "GET", "/x/1"))[0] == 200

    _run(scenario)


def test_odd_registration_of_a_live_server_keeps_only_that_server_out():
    async def scenario(site):
        for name in ("i-1", "i-2"):
            await site.add_endpoint(name, "plain")
        site.configure(configuration_document(1, [route_document("/x/", "plain")]))
        entry = await site.add_entry()
        sound = base64.b64decode(site.store.item_by_key["servers/i-1"]["Value"])
        for odd, document in ODD_REGISTRATIONS.items():
            site.store.put("servers/i-1", _encoded(document))
            await _wait_for_endpoints(entry, ["i-2"])
            status, _, body = await site.call(entry, "GET", "/x/1")
            assert (status, body.split()[-1]) == (200, "i-2"), odd
            site.store.put("servers/i-1", sound)
            await _wait_for_endpoints(entry, ["i-1", "i-2"])

    _run(scenario)


async def _wait_for_endpoints(entry, ids):
    async with asyncio.timeout(APPLY_LIMIT_S):
        while sorted(entry.endpoint_table.by_id) != ids:
            await asyncio.sleep(0.01)


def _encoded(document):
    return document if isinstance(document, bytes) else json.dumps(document).encode()


def _run(scenario):
    async def run():
        async with asyncio.timeout(TEST_LIMIT_S), OperatorsSite() as site:
            await scenario(site)

    asyncio.run(run())
