"""nose2 plugin that makes property tests give the same verdict in each run.

The examples are drawn from a fixed seed, and neither the time that an example takes nor
the time that it takes to draw one is checked: both depend on the machine's load.
"""

from hypothesis import HealthCheck, settings
from nose2 import events

__all__ = ["PROFILE", "PropertyTests"]

PROFILE = "repeatable"

settings.register_profile(
    PROFILE,
    derandomize=True,
    deadline=None,
    database=None,
    print_blob=True,
    suppress_health_check=[HealthCheck.too_slow],
)


class PropertyTests(events.Plugin):
    """Loads the profile before the test modules are imported."""

    configSection = "property-tests"  # noqa: N815

    def __init__(self):
        settings.load_profile(PROFILE)
