"""Property tests do not depend on the machine's speed or on earlier runs."""

from hypothesis import HealthCheck, settings


def test_property_tests_repeat_and_measure_no_time():
    profile = settings.default
    assert profile.derandomize
    assert profile.deadline is None
    assert profile.database is None
    assert HealthCheck.too_slow in profile.suppress_health_check
