from magnoliagrade.clock import ManualClock
from magnoliagrade.platform import prompt_parts_of

from magnoliagrade_entry.direct.prompt_guard import (
    BLOCK_S,
    CRASHES_TO_BLOCK,
    PromptGuard,
)


def test_part_is_blocked_after_crashes_at_separate_moments():
    guard, clock = _guard()
    for number in range(CRASHES_TO_BLOCK):
        assert not guard.blocked_for_s(["a"])
        clock._time += 1.0
        blocked = guard.record_crash(f"i-{number}", ["f", "a"])
        guard.record_served(["f", "b"])
    assert blocked == ["a"]
    assert guard.blocked_for_s(["f", "a"]) == BLOCK_S
    assert not guard.blocked_for_s(["f", "b"])
    clock._time += BLOCK_S
    guard.record_crash("i-9", ["b"])
    assert not guard.blocked_for_s(["a"])


def test_servers_that_end_at_one_moment_count_once():
    guard, _ = _guard()
    for number in range(3 * CRASHES_TO_BLOCK):
        assert not guard.record_crash(f"i-{number}", ["a"])


def test_complete_response_clears_a_part_that_a_crash_met_by_chance():
    guard, clock = _guard()
    for number in range(3 * CRASHES_TO_BLOCK):
        clock._time += 1.0
        assert not guard.record_crash(f"i-{number}", ["a"])
        assert guard.is_suspected(["a"])
        assert guard.record_served(["a", "c"]) == ["a"]
        assert not guard.is_suspected(["a"])


def test_crash_told_by_several_peers_counts_once():
    guard, clock = _guard()
    other = PromptGuard(clock=clock)
    clock._time += 1.0
    guard.record_crash("i-1", ["a"], age_s=0.25)
    clock._time += 1.0
    guard.record_crash("i-2", ["a"])
    for _ in range(3):
        clock._time += 0.05
        for endpoint_id, age_s, part in guard.evidence():
            assert not other.record_crash(endpoint_id, [part], age_s=age_s)
    assert len(other.evidence()) == 2


def test_part_that_the_store_lists_is_blocked():
    guard, _ = _guard()
    guard.published = {"a"}
    assert guard.blocked_for_s(["b", "a"]) == BLOCK_S


def test_last_part_and_malformed_ids_are_not_shared_parts():
    header = "X-Magnoliagrade-Prompt-Prefix"
    assert prompt_parts_of({header: "5c1e07a2:800, 91bd3f06:410,e4402b7d:250"}) == (
        "5c1e07a2",
        "91bd3f06",
    )
    for value in ("", "5c1e07a2:800", "../x:1,zz:2,:3,ff:4"):
        assert prompt_parts_of({header: value}) == ()
    assert prompt_parts_of({}) == ()


def _guard():
    clock = ManualClock(start=50.0)
    return PromptGuard(clock=clock), clock
