"""Real processes for system tests and trials."""

from magnoliagrade_standins.harness.processes import ProcessFailed, SpawnedProcess
from magnoliagrade_standins.harness.site import Site, SitePlan

__all__ = ["ProcessFailed", "Site", "SitePlan", "SpawnedProcess"]
