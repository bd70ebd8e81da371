from magnoliagrade_standins.slopes import FAMILIES, Fleet, SizeResult, predict


def _result(family, value, reading):
    rest = {"entry": {"links": reading}}
    return SizeResult(family=family, value=value, rest_by_role=rest)


def test_fleet_adds_up_the_slopes_of_all_families():
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
    # 3 at the base, one for each entry and agent, two for each data centre.
    assert round(predict(results, "entry", "links", Fleet()), 6) == 3 + 37 + 58 + 18


def test_families_have_three_points_and_stay_under_the_machine():
    for sizes in FAMILIES.values():
        assert len({s.value for s in sizes}) >= 3
        assert all(s.data_centres * s.entries + s.agents <= 120 for s in sizes)
