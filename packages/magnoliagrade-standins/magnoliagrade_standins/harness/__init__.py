"""Sites of real processes on loopback, for system tests and trials."""

from magnoliagrade_standins.harness.calls import (
    CallOutcome,
    call_service,
    call_until,
)
from magnoliagrade_standins.harness.configurations import (
    CONFIGURATION,
    KEY_BY_ORGANISATION,
)
from magnoliagrade_standins.harness.processes import (
    ProcessFailed,
    SpawnedProcess,
    binary_command,
    standin_command,
)
from magnoliagrade_standins.harness.site import Site, SitePlan

__all__ = [
    "CONFIGURATION",
    "CallOutcome",
    "KEY_BY_ORGANISATION",
    "ProcessFailed",
    "Site",
    "SitePlan",
    "SpawnedProcess",
    "binary_command",
    "call_service",
    "call_until",
    "standin_command",
]
