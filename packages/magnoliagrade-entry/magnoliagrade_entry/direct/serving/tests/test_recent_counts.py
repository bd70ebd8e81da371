from magnoliagrade.clock import ManualClock

from magnoliagrade_entry.direct.serving.recent_counts import (
    GENERATION_S,
    MAX_KEYS,
    RecentCounts,
)


def test_counts_are_kept_for_one_generation_and_forgotten_after_two():
    clock = ManualClock(start=5.0)
    counts = RecentCounts(clock=clock)
    counts.record(["a", "b"])
    clock._time += GENERATION_S
    counts.record(["a"])
    assert (counts.count("a"), counts.count("b")) == (2, 1)
    clock._time += GENERATION_S
    counts.record(["c"])
    assert (counts.count("a"), counts.count("b"), counts.count("c")) == (1, 0, 1)


def test_number_of_keys_is_limited_and_frequent_ones_are_kept():
    counts = RecentCounts(clock=ManualClock())
    for number in range(10 * MAX_KEYS):
        counts.record(["frequent", str(number)])
    assert counts.count("frequent") > MAX_KEYS / 2
    assert counts.count("0") == 0
    kept = len(counts._count_by_key) + len(counts._previous_count_by_key)
    assert kept <= 2 * MAX_KEYS + 2
