from magnoliagrade_entry.direct.placement.cold_rates import (
    ColdIntervals,
    cold_send_interval_s,
)
from magnoliagrade_entry.direct.placement.endpoint_load import EndpointLoad


def test_all_entries_together_stay_within_the_rate():
    for entries in (1, 2, 7, 33, 390):
        names = [f"entry-{number}" for number in range(entries)]
        for rate_per_s in (0.5, 1.0, 4.0, 15.0, 38.0, 500.0):
            intervals = [
                cold_send_interval_s(
                    "i-1", rate_per_s=rate_per_s, name=name, names=names
                )
                for name in names
            ]
            used = [interval for interval in intervals if interval is not None]
            assert used
            most_in_one_second = sum(1.0 // interval + 1 for interval in used)
            assert most_in_one_second <= max(1.0, rate_per_s), (entries, rate_per_s)


def test_entries_that_know_different_names_stay_within_half_more():
    # Each entry lacks another third of the others.
    names = [f"entry-{number}" for number in range(33)]
    for endpoint in range(20):
        sending = 0
        for index, name in enumerate(names):
            known = [n for i, n in enumerate(names) if (i + index) % 3]
            sending += (
                cold_send_interval_s(
                    f"i-{endpoint}", rate_per_s=15.0, name=name, names=known
                )
                is not None
            )
        assert sending <= 1.5 * 15 + 5


def test_intervals_follow_the_names_of_the_entries():
    intervals = ColdIntervals(name="entry-0")
    intervals.set_names({"entry-0"})
    assert intervals.interval_s("i-1", 0.0) == 0.0
    alone = intervals.interval_s("i-1", 40.0)
    intervals.set_names({"entry-0", "entry-1", "entry-2"})
    assert intervals.interval_s("i-1", 40.0) > alone


def test_load_of_a_cold_endpoint_is_available_at_its_rate():
    load = EndpointLoad(endpoint=None, cold_until=9.0, cold_interval_s=0.5)
    assert load.available_at(5.0) <= 5.0
    load.sent_at = 5.0
    assert load.available_at(5.1) == 5.5
    assert load.available_at(9.0) <= 9.0
    assert load.available_at(9.1, is_coldness_unknown=True) <= 9.1
    load.cold_interval_s = None
    assert load.available_at(5.6) == 9.0
    assert load.available_at(9.1, is_coldness_unknown=True) > 9.1
    load.cold_interval_s = 0.0
    assert load.available_at(5.1) <= 5.1
