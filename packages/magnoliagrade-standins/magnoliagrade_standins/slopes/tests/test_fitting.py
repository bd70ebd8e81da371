from magnoliagrade_standins.slopes import FAMILIES, Fleet, SizeResult, predict


def _result(family, value, reading):
    rest = {"entry": {"links": reading}}
    return SizeResult(family=family, value=value, rest_by_role=rest)


def test_prediction_adds_the_slopes_of_all_families():
    results = [
        _result("organisations", 10, 3.0),
        _result("organisations", 6800, 3.0),
        _result("entries", 1, 2.0),
        _result("entries", 7, 8.0),
        _result("agents", 5, 6.0),
        _result("agents", 15, 16.0),
        _result("data_centres", 1, 4.0),
        _result("data_centres", 10, 22.0),
    ]
    # The base reading is 3; the slope is 1 for entries and for agents, and 2 for data
    # centres.
    assert round(predict(results, "entry", "links", Fleet()), 6) == 3 + 37 + 58 + 18


def test_families_have_at_least_three_sizes_of_at_most_120_processes():
    for sizes in FAMILIES.values():
        assert len({s.value for s in sizes}) >= 3
        assert all(s.data_centres * s.entries + s.agents <= 120 for s in sizes)
