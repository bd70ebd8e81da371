"""Skew of the step times of a group's ranks during a load."""

import math
from dataclasses import dataclass, field

import aiohttp
from magnoliagrade.clock import SystemClock

from magnoliagrade_standins.ranks import StepRecord, find_map_conflict

__all__ = ["SkewReport", "watch_skew"]

# Interval between two values of the skew.
SAMPLE_INTERVAL_S = 1.0


@dataclass(slots=True, kw_only=True)
class SkewReport:
    """Skew of a group's ranks, and the expert maps that the ranks used.

    Skew is the step time of the slowest rank divided by the mean of all ranks.

    Parameters
    ----------
    values : list of float
        Skew each second, as the group's process reports it.
    versions : int
        Number of versions of the expert map that ranks used.
    steps : int
        Number of steps that all ranks completed.
    has_two_maps : bool
        Whether two ranks used different maps in one step.
    stall_s : float
        Time in seconds in which no rank could take a step.
    """

    values: list = field(default_factory=list)
    versions: int = 0
    steps: int = 0
    has_two_maps: bool = False
    stall_s: float = 0.0

    async def read_maps(self, site):
        """Set the counts of maps and steps from the record of a site's group.

        Parameters
        ----------
        site : GroupSite
            A running site.
        """
        record = await site.group_record()
        steps = [StepRecord(**row) for row in record["records"]]
        self.versions = len({step.version for step in steps})
        self.steps = min(record["completed"])
        self.has_two_maps = find_map_conflict(steps) is not None
        self.stall_s = record["stall_s"]

    def as_text(self):
        """Return the report as one line of text; there must be at least one value."""
        ordered = sorted(self.values)
        percentile_95 = ordered[math.ceil(0.95 * len(ordered)) - 1]
        mean = sum(ordered) / len(ordered)
        maps = "two maps in one step!" if self.has_two_maps else "one map in each step"
        return (
            f"mean {mean:.2f}, {percentile_95:.2f} at 95 % (slowest over mean rank); "
            f"{self.steps} steps, {self.versions} maps, {maps}, "
            f"{self.stall_s:.2f} s stalled"
        )


async def watch_skew(site, report):
    """Add the skew of a site's group to a report each second until cancelled.

    Returns early if the group's process does not respond.

    Parameters
    ----------
    site : GroupSite
        A running site.
    report : SkewReport
        Report that the values are added to.
    """
    clock = SystemClock()
    while True:
        try:
            pace = await site.group_pace()
        except aiohttp.ClientError:
            return
        if any(pace["completed"]):
            report.values.append(pace["skew"])
        await clock.sleep(SAMPLE_INTERVAL_S)
