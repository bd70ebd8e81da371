import json

from magnoliagrade.clock import ManualClock
from magnoliagrade.platform import (
    StorePosition,
    blocked_request_key,
    encode_instance,
    encode_slow_ranks,
    instance_key,
    slow_ranks_key,
)
from magnoliagrade.store import StoreValue

from magnoliagrade_entry.direct.knowledge.site_state import (
    LOST_KEY_HOLD_S,
    STORE_SETTLE_S,
    SiteState,
)

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


def test_older_configuration_version_is_ignored():
    site_state, _ = _site_state()
    site_state.apply("op/config", _bytes(CONFIGURATION | {"Version": 4}), _at(9))
    assert site_state.version == 5


def test_older_revision_of_a_key_is_ignored():
    site_state, _ = _site_state()
    assert not site_state.apply("servers/i-1", None, _at(2))
    assert site_state.endpoints_of("s")


def test_unreadable_endpoint_is_ignored_and_others_stay():
    for value in (
        b"\xff{",
        b"[]",
        _bytes(SERVER | {"State": "resting"}),
        _bytes(SERVER | {"Slots": "six"}),
        _bytes(SERVER | {"Address": "nowhere"}),
        _bytes({"Service": "s"}),
    ):
        site_state, _ = _site_state()
        site_state.apply("servers/i-2", value, _at(20))
        assert [e.id for e in site_state.endpoints_of("s")] == ["i-1"], value


def test_endpoint_overwritten_with_an_unreadable_value_is_removed():
    site_state, _ = _site_state()
    site_state.apply("servers/i-1", b"torn", _at(20))
    assert not site_state.endpoints_of("s")


def test_unreadable_configuration_leaves_the_last_one_in_force():
    site_state, _ = _site_state()
    site_state.apply("op/config", b"{", _at(20))
    assert site_state.version == 5


def test_draining_and_evacuated_endpoints_are_not_listed():
    site_state, _ = _site_state()
    site_state.apply("op/evacuate/dc-1", b"{}", _at(10))
    assert not site_state.endpoints_of("s")
    site_state.apply("op/evacuate/dc-1", None, _at(11))
    assert site_state.endpoints_of("s")
    site_state.apply("servers/i-1", _bytes(SERVER | {"State": "draining"}), _at(12))
    assert not site_state.endpoints_of("s")


def test_endpoint_lapsed_in_a_store_outage_is_kept_until_the_settle_time():
    site_state, clock = _site_state()
    clock._time = 100.0
    site_state.record_store_return()
    site_state.apply("servers/i-1", None, _at(20))
    assert site_state.endpoints_of("s")
    site_state.apply("servers/i-1", _bytes(SERVER), _at(21))
    clock._time = 100.0 + STORE_SETTLE_S
    assert not site_state.drop_missing_endpoints()
    assert site_state.endpoints_of("s")


def test_endpoint_not_registered_again_is_removed_after_the_settle_time():
    site_state, clock = _site_state()
    clock._time = 100.0
    site_state.record_store_return()
    site_state.apply("servers/i-1", None, _at(20))
    clock._time = 100.0 + STORE_SETTLE_S
    assert site_state.drop_missing_endpoints()
    assert not site_state.endpoints_of("s")


def test_newer_endpoint_at_an_address_replaces_the_older_one():
    # After a power loss, servers register under new ids while their old registrations
    # have not expired yet.
    site_state, _ = _site_state()
    assert site_state.apply("servers/i-2", _bytes(SERVER), _at(20))
    assert [e.id for e in site_state.endpoints_of("s")] == ["i-2"]
    site_state.apply("servers/i-1", _bytes(SERVER), _at(19))
    assert [e.id for e in site_state.endpoints_of("s")] == ["i-2"]


def test_listing_in_any_order_keeps_the_newest_endpoint_of_an_address():
    for order in (("i-1", 20), ("i-2", 40)), (("i-2", 40), ("i-1", 20)):
        site_state, _ = _site_state()
        values = [
            StoreValue(key=f"servers/{name}", value=_bytes(SERVER), revision=revision)
            for name, revision in order
        ]
        site_state.replace(values, _at(50))
        assert [e.id for e in site_state.endpoints_of("s")] == ["i-2"], order


def test_endpoint_of_an_unconfigured_service_replaces_no_other():
    site_state, _ = _site_state()
    site_state.apply("servers/i-2", _bytes(SERVER | {"Service": "forged"}), _at(20))
    assert [e.id for e in site_state.endpoints_of("s")] == ["i-1"]


def test_slow_ranks_are_kept_until_withdrawn_or_unreadable():
    site_state, clock = _site_state()
    value = encode_slow_ranks({"10.0.0.1:80": 5.0})
    site_state.apply(slow_ranks_key("g"), value, _at(20))
    slow = site_state.slow_ranks_by_group["g"]
    assert slow.pace_by_address == {"10.0.0.1:80": 5.0}
    assert slow.until > clock.monotonic()
    site_state.apply(slow_ranks_key("g"), b'{"pace_by_address": {"a": "x"}}', _at(21))
    assert "g" not in site_state.slow_ranks_by_group
    site_state.apply(slow_ranks_key("g"), value, _at(22))
    site_state.apply(slow_ranks_key("g"), None, _at(23))
    assert not site_state.slow_ranks_by_group


def test_listing_deletes_keys_that_it_lacks():
    site_state, _ = _site_state()
    value = StoreValue(key="op/config", value=_bytes(CONFIGURATION), revision=3)
    site_state.replace([value], _at(30))
    assert not site_state.endpoints_of("s")
    assert site_state.version == 5
    site_state.apply("servers/i-1", _bytes(SERVER), _at(31))
    assert site_state.endpoints_of("s")


def test_entry_whose_registration_lapsed_still_counts_until_the_hold_time():
    # Each entry divides the shared budgets by the number of entries that it knows.
    site_state, clock = _site_state()
    key = instance_key("entry-2")
    site_state.apply(key, encode_instance("10.0.0.9:1"), _at(20))
    site_state.apply(key, None, _at(21))
    assert site_state.link_address_by_name == {"entry-2": "10.0.0.9:1"}
    site_state.apply(key, encode_instance("10.0.0.9:2"), _at(22))
    clock._time += LOST_KEY_HOLD_S + 1.0
    assert not site_state.apply_due_deletions()
    assert site_state.link_address_by_name == {"entry-2": "10.0.0.9:2"}
    site_state.apply(key, None, _at(23))
    clock._time += LOST_KEY_HOLD_S
    assert site_state.apply_due_deletions()
    assert not site_state.link_address_by_name


def test_blocked_part_of_prompts_is_known_until_its_record_expires():
    site_state, _ = _site_state()
    site_state.apply(blocked_request_key("5c1e"), b"{}", _at(20))
    assert site_state.blocked_requests == {"5c1e"}
    site_state.apply(blocked_request_key("5c1e"), None, _at(21))
    assert not site_state.blocked_requests


def test_age_is_measured_from_the_start_of_the_read():
    site_state, clock = _site_state()
    began = clock.boot_time()
    clock._time += 2.0
    site_state.confirm(began)
    assert site_state.age_s() == 2.0
    site_state.confirm(began - 5.0)
    assert site_state.age_s() == 2.0


def _at(revision, *, era=1):
    return StorePosition(era, revision)


def _site_state():
    clock = ManualClock(start=50.0)
    site_state = SiteState(clock=clock)
    site_state.apply("op/config", _bytes(CONFIGURATION), _at(3))
    site_state.apply("servers/i-1", _bytes(SERVER), _at(4))
    return site_state, clock


def _bytes(document):
    return json.dumps(document).encode()
