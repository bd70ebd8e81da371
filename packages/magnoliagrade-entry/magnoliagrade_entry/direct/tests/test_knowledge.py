import json

from magnoliagrade.clock import ManualClock
from magnoliagrade.platform import encode_slow_ranks, slow_ranks_key
from magnoliagrade.store import StoreValue

from magnoliagrade_entry.direct.knowledge import RETURN_SETTLE_S, SiteKnowledge

CONFIGURATION = {
    "Version": 5,
    "Routes": [
        {
            "Name": "r",
            "Host": "a.example",
            "Prefix": "/b/",
            "Kind": "safe",
            "TimeoutMs": 800,
            "Service": "s",
        }
    ],
    "Services": [{"Name": "s"}],
    "Tenants": [{"Name": "o", "ApiKeys": ["k"]}],
}
SERVER = {
    "Service": "s",
    "Address": "10.0.0.1:80",
    "Zone": "dc-1",
    "Slots": 6,
    "State": "ready",
}


def test_a_version_never_goes_back():
    knowledge, _ = _knowledge()
    knowledge.apply("op/config", _bytes(CONFIGURATION | {"Version": 4}), 9)
    assert knowledge.version == 5


def test_an_older_state_of_a_key_is_ignored():
    knowledge, _ = _knowledge()
    assert not knowledge.apply("servers/i-1", None, 2)
    assert knowledge.endpoints_of("s")


def test_entries_that_cannot_be_read_name_no_endpoint_and_others_hold():
    for value in (
        b"\xff{",
        b"[]",
        _bytes(SERVER | {"State": "resting"}),
        _bytes(SERVER | {"Slots": "six"}),
        _bytes(SERVER | {"Address": "nowhere"}),
        _bytes({"Service": "s"}),
    ):
        knowledge, _ = _knowledge()
        knowledge.apply("servers/i-2", value, 20)
        assert [e.id for e in knowledge.endpoints_of("s")] == ["i-1"], value


def test_an_entry_that_is_overwritten_with_nonsense_names_no_endpoint():
    knowledge, _ = _knowledge()
    knowledge.apply("servers/i-1", b"torn", 20)
    assert not knowledge.endpoints_of("s")


def test_a_configuration_that_cannot_be_read_leaves_the_last_one_in_force():
    knowledge, _ = _knowledge()
    knowledge.apply("op/config", b"{", 20)
    assert knowledge.version == 5


def test_draining_endpoints_and_evacuated_data_centres_get_nothing():
    knowledge, _ = _knowledge()
    knowledge.apply("op/evacuate/dc-1", b"{}", 10)
    assert not knowledge.endpoints_of("s")
    knowledge.apply("op/evacuate/dc-1", None, 11)
    assert knowledge.endpoints_of("s")
    knowledge.apply("servers/i-1", _bytes(SERVER | {"State": "draining"}), 12)
    assert not knowledge.endpoints_of("s")


def test_an_entry_that_lapsed_while_the_store_was_away_is_held_until_it_settles():
    knowledge, clock = _knowledge()
    clock._time = 100.0
    knowledge.note_store_return()
    knowledge.apply("servers/i-1", None, 20)
    assert knowledge.endpoints_of("s")
    knowledge.apply("servers/i-1", _bytes(SERVER), 21)
    clock._time = 100.0 + RETURN_SETTLE_S
    assert not knowledge.drop_missing_endpoints()
    assert knowledge.endpoints_of("s")


def test_an_entry_that_does_not_come_back_is_taken_as_gone():
    knowledge, clock = _knowledge()
    clock._time = 100.0
    knowledge.note_store_return()
    knowledge.apply("servers/i-1", None, 20)
    clock._time = 100.0 + RETURN_SETTLE_S
    assert knowledge.drop_missing_endpoints()
    assert not knowledge.endpoints_of("s")


def test_a_newer_server_at_an_address_replaces_the_one_that_had_it():
    # Power comes back: servers start under new ids while the old entries still stand.
    knowledge, _ = _knowledge()
    assert knowledge.apply("servers/i-2", _bytes(SERVER), 20)
    assert [e.id for e in knowledge.endpoints_of("s")] == ["i-2"]
    knowledge.apply("servers/i-1", _bytes(SERVER), 19)
    assert [e.id for e in knowledge.endpoints_of("s")] == ["i-2"]


def test_a_listing_in_any_order_keeps_the_newest_server_of_an_address():
    for order in (("i-1", 20), ("i-2", 40)), (("i-2", 40), ("i-1", 20)):
        knowledge, _ = _knowledge()
        values = [
            StoreValue(key=f"servers/{name}", value=_bytes(SERVER), revision=revision)
            for name, revision in order
        ]
        knowledge.replace(values, 50)
        assert [e.id for e in knowledge.endpoints_of("s")] == ["i-2"], order


def test_an_entry_of_a_service_that_nobody_configured_replaces_nothing():
    knowledge, _ = _knowledge()
    knowledge.apply("servers/i-2", _bytes(SERVER | {"Service": "forged"}), 20)
    assert [e.id for e in knowledge.endpoints_of("s")] == ["i-1"]


def test_slow_ranks_are_known_until_they_are_taken_back():
    knowledge, clock = _knowledge()
    value = encode_slow_ranks({"10.0.0.1:80": 5.0})
    knowledge.apply(slow_ranks_key("g"), value, 20)
    slow = knowledge.slow_ranks_by_group["g"]
    assert slow.pace_by_address == {"10.0.0.1:80": 5.0}
    assert slow.until > clock.monotonic()
    knowledge.apply(slow_ranks_key("g"), b'{"pace_by_address": {"a": "x"}}', 21)
    assert "g" not in knowledge.slow_ranks_by_group
    knowledge.apply(slow_ranks_key("g"), value, 22)
    knowledge.apply(slow_ranks_key("g"), None, 23)
    assert not knowledge.slow_ranks_by_group


def test_a_listing_deletes_what_it_lacks():
    knowledge, _ = _knowledge()
    value = StoreValue(key="op/config", value=_bytes(CONFIGURATION), revision=3)
    knowledge.replace([value], 30)
    assert not knowledge.endpoints_of("s")
    assert knowledge.version == 5
    knowledge.apply("servers/i-1", _bytes(SERVER), 31)
    assert knowledge.endpoints_of("s")


def test_age_counts_from_the_start_of_the_read():
    knowledge, clock = _knowledge()
    began = clock.boot_time()
    clock._time += 2.0
    knowledge.confirm(began)
    assert knowledge.age_s() == 2.0
    knowledge.confirm(began - 5.0)
    assert knowledge.age_s() == 2.0


def _knowledge():
    clock = ManualClock(start=50.0)
    knowledge = SiteKnowledge(clock=clock)
    knowledge.apply("op/config", _bytes(CONFIGURATION), 3)
    knowledge.apply("servers/i-1", _bytes(SERVER), 4)
    return knowledge, clock


def _bytes(document):
    return json.dumps(document).encode()
