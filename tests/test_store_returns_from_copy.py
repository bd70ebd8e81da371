"""Entries after the store has returned from a copy that lacks its last changes.

The store issues the lost revisions and lease ids again. The operators and the endpoints
write again what was lost, some time after the store's return.
"""

import asyncio

from magnoliagrade_standins.operators import (
    OperatorsSite,
    configuration_document,
    endpoint_document,
    route_document,
)

ROUTES = [
    route_document("/look/", "plain"),
    route_document("/order/", "plain", kind="unsafe"),
]
ADDED_ROUTES = [*ROUTES, route_document("/added/", "plain")]
# The platform's bound on the time until an acknowledged configuration is in force.
CONFIGURATION_BOUND_S = 2.0
# Time for which the store is away before it returns from the copy.
AWAY_S = 0.3
TEST_LIMIT_S = 30


def test_configuration_written_after_the_return_is_in_force_within_the_bound():
    async def scenario(site, entry):
        copy = site.store.make_copy()
        _write_unrelated_changes(site, 6)
        site.configure(configuration_document(5, ROUTES))
        await _await(lambda: entry.site_state.version == 5, 5)
        await _return_from(site, copy)
        site.configure(configuration_document(5, ROUTES))
        site.configure(configuration_document(7, ADDED_ROUTES, keys=["key-2"]))
        await _await(lambda: entry.site_state.version == 7, CONFIGURATION_BOUND_S)
        assert (await site.call(entry, "GET", "/added/1", key="key-2"))[0] == 200
        assert (await site.call(entry, "GET", "/look/1"))[0] == 401

    _run(scenario)


def test_change_is_not_missed_when_the_new_history_has_passed_the_known_revision():
    async def scenario(site, entry):
        copy = site.store.make_copy()
        _write_unrelated_changes(site, 4)
        known = site.store.revision
        await asyncio.sleep(0.5)
        site.store.outage = "busy"
        await asyncio.sleep(AWAY_S)
        site.store.return_from(copy)
        site.configure(configuration_document(5, ADDED_ROUTES))
        _write_unrelated_changes(site, 8)
        assert site.store.revision > known
        site.store.outage = ""
        await _await(lambda: entry.site_state.version == 5, CONFIGURATION_BOUND_S)
        assert (await site.call(entry, "GET", "/added/1"))[0] == 200

    _run(scenario)


def test_version_does_not_decrease_while_the_copy_lists_an_older_one():
    async def scenario(site, entry):
        copy = site.store.make_copy()
        site.configure(configuration_document(5, ADDED_ROUTES, keys=["key-2"]))
        await _await(lambda: entry.site_state.version == 5, 5)
        await _return_from(site, copy)
        for _ in range(10):
            assert (await site.call(entry, "GET", "/look/1"))[0] == 401
            assert (await site.call(entry, "GET", "/added/1", key="key-2"))[0] == 200
            await asyncio.sleep(0.2)

    _run(scenario)


def test_entry_that_starts_from_the_copy_gets_the_newer_version_from_its_peers():
    async def scenario(site, entry):
        copy = site.store.make_copy()
        site.configure(configuration_document(5, ADDED_ROUTES, keys=["key-2"]))
        await _await(lambda: entry.site_state.version == 5, 5)
        await _return_from(site, copy)
        started = await site.add_entry()
        await _await(lambda: started.site_state.version == 5, 5)
        assert (await site.call(started, "GET", "/look/1"))[0] == 401
        assert (await site.call(started, "GET", "/added/1", key="key-2"))[0] == 200

    _run(scenario)


def test_draining_of_an_endpoint_after_the_return_is_honoured():
    async def scenario(site, entry):
        copy = site.store.make_copy()
        address = entry.endpoint_table.by_id["plain-1"].endpoint.address
        _write_unrelated_changes(site, 6)
        site.register("plain-1", "plain", address)
        await asyncio.sleep(0.5)
        await _return_from(site, copy)
        site.register("plain-1", "plain", address, state="draining")
        await _await(lambda: _ready_ids(entry) == ["plain-2"], CONFIGURATION_BOUND_S)

    _run(scenario)


def test_endpoint_stays_out_if_the_copy_lists_it_as_ready_again():
    # It has announced its end, and its registration in the copy is older than that.
    for ending in ("draining", "gone"):

        async def scenario(site, entry, ending=ending):
            address = entry.endpoint_table.by_id["plain-1"].endpoint.address
            _register(site, "plain-1", address, sequence=4)
            await asyncio.sleep(0.5)
            copy = site.store.make_copy()
            _register(site, "plain-1", address, sequence=5, state="draining")
            if ending == "gone":
                site.store.delete("servers/plain-1")
            await _await(lambda: _ready_ids(entry) == ["plain-2"], 5)
            await _return_from(site, copy)
            ends_at = entry.clock.monotonic() + 3.0
            while entry.clock.monotonic() < ends_at:
                assert _ready_ids(entry) == ["plain-2"], ending
                await asyncio.sleep(0.05)
            # The endpoint starts again under its id.
            _register(site, "plain-1", address, sequence=1, born=7)
            await _await(lambda: _ready_ids(entry) == ["plain-1", "plain-2"], 3)

        _run(scenario)


def test_endpoint_missing_in_the_copy_is_kept_until_it_registers_again():
    async def scenario(site, entry):
        copy = site.store.make_copy()
        await site.add_endpoint("plain-3", "plain")
        registration = site.store.item_by_key["servers/plain-3"]
        await _await(lambda: "plain-3" in _ready_ids(entry), 5)
        await _return_from(site, copy)
        ends_at = entry.clock.monotonic() + 0.6
        while entry.clock.monotonic() < ends_at:
            assert "plain-3" in _ready_ids(entry)
            await asyncio.sleep(0.05)
        site.store.put_item(registration)
        ends_at = entry.clock.monotonic() + 2.5
        while entry.clock.monotonic() < ends_at:
            assert "plain-3" in _ready_ids(entry)
            await asyncio.sleep(0.05)

    _run(scenario)


def test_endpoint_missing_in_the_copy_is_removed_if_it_does_not_register_again():
    async def scenario(site, entry):
        copy = site.store.make_copy()
        await site.add_endpoint("plain-3", "plain")
        await _await(lambda: "plain-3" in _ready_ids(entry), 5)
        await _return_from(site, copy)
        await _await(lambda: "plain-3" not in _ready_ids(entry), 6)

    _run(scenario)


def test_evacuation_missing_in_the_copy_holds_until_it_is_written_again():
    async def scenario(site, entry):
        copy = site.store.make_copy()
        site.store.put("op/evacuate/dc-1", {})
        await _await(lambda: not _ready_ids(entry), 5)
        await _return_from(site, copy)
        ends_at = entry.clock.monotonic() + 3.0
        while entry.clock.monotonic() < ends_at:
            assert not _ready_ids(entry)
            await asyncio.sleep(0.05)
        site.store.put("op/evacuate/dc-1", {})
        await asyncio.sleep(0.5)
        assert not _ready_ids(entry)
        site.store.delete("op/evacuate/dc-1")
        await _await(lambda: len(_ready_ids(entry)) == 2, CONFIGURATION_BOUND_S)

    _run(scenario)


def test_entry_registers_again_if_its_lease_was_issued_to_another_process():
    async def scenario(site, entry):
        await _await(lambda: entry.lease is not None, 5)
        name = f"magnoliagrade/instances/{entry.settings.name}"
        copy = site.store.make_copy()
        copy.item_by_key.pop(name)
        # Another process got the lease id of the entry before the entry called again.
        copy.keys_by_lease = {1: {"another"}}
        copy.next_lease = 2
        await _return_from(site, copy)
        await _await(lambda: name in site.store.item_by_key, 4)
        assert site.store.item_by_key[name]["Lease"] == 2
        await entry.close_now()
        assert 1 in site.store.keys_by_lease

    _run(scenario)


def test_entries_stay_linked_while_their_registrations_are_lost():
    async def scenario(site, entry):
        copy = site.store.make_copy()
        copy.item_by_key = {
            key: item
            for key, item in copy.item_by_key.items()
            if not key.startswith("magnoliagrade/")
        }
        copy.keys_by_lease.clear()
        other = await site.add_entry()
        await _await(lambda: len(entry.peers.link_by_name) == 1, 5)
        await _return_from(site, copy)
        ends_at = entry.clock.monotonic() + 4.0
        while entry.clock.monotonic() < ends_at:
            for node in (entry, other):
                assert len(node.peers.link_by_name) == 1
            await asyncio.sleep(0.05)
        for node in (entry, other):
            key = f"magnoliagrade/instances/{node.settings.name}"
            assert key in site.store.item_by_key

    _run(scenario)


def test_listing_whose_pages_are_of_two_eras_is_read_again():
    async def scenario(site, entry):
        site.store._page_size = 2
        for number in range(6):
            site.store.put(f"zz/{number}", {})
        copy = site.store.make_copy()
        _write_unrelated_changes(site, 3)
        site.store.compact_history()
        reads = []

        def return_after_the_first_page(path):
            reads.append(path)
            if len(reads) == 2:
                site.store.return_from(copy)
                site.store.put("zz/0", {"written": "again"})

        site.store.on_call = return_after_the_first_page
        values, _ = await entry.store.list("zz/", purpose="site")
        assert [v.value for v in values if v.key == "zz/0"] == [b'{"written": "again"}']

    _run(scenario)


async def _return_from(site, copy):
    site.store.outage = "busy"
    await asyncio.sleep(AWAY_S)
    site.store.return_from(copy)
    site.store.outage = ""
    # The operators and the endpoints write again late.
    await asyncio.sleep(1.0)


async def _await(condition, limit_s):
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(0.01)


def _write_unrelated_changes(site, count):
    for number in range(count):
        site.store.put(f"unrelated/{number}", {})


def _register(site, endpoint_id, address, *, sequence, born=5, state="ready"):
    document = endpoint_document("plain", address, state=state)
    document |= {"Sequence": sequence, "born": born}
    site.store.put(f"servers/{endpoint_id}", document)


def _ready_ids(entry):
    return sorted(load.endpoint.id for load in entry.endpoint_table.loads_of("plain"))


def _run(scenario):
    async def run_with_limit():
        async with asyncio.timeout(TEST_LIMIT_S), OperatorsSite() as site:
            site.configure(configuration_document(3, ROUTES))
            for number in (1, 2):
                await site.add_endpoint(f"plain-{number}", "plain")
            entry = await site.add_entry()
            await scenario(site, entry)

    asyncio.run(run_with_limit())
