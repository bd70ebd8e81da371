"""Skew of the ranks of a group while a load runs."""

import math
from dataclasses import dataclass, field

import aiohttp
from magnoliagrade.clock import SystemClock

from magnoliagrade_standins.ranks import StepRecord, find_map_conflict

__all__ = ["SkewReport", "watch_skew"]

INTERVAL_S = 1.0


@dataclass(slots=True, kw_only=True)
class SkewReport:
    """Slowest over mean step time of a group's ranks, and the maps they used.

    Parameters
    ----------
    values : list of float
        Skew at regular times, from the group's own record.
    versions : int
        Maps that came into use.
    steps : int
        Steps that all ranks completed.
    has_two_maps : bool
        Whether two ranks used different maps in one step.
    stall_s : float
        Time in which no rank could step.
    """

    values: list = field(default_factory=list)
    versions: int = 0
    steps: int = 0
    has_two_maps: bool = False
    stall_s: float = 0.0

    async def read_maps(self, site):
        """Take the maps of each step from the group's record."""
        record = await site.group_record()
        steps = [StepRecord(**row) for row in record["records"]]
        self.versions = len({step.version for step in steps})
        self.steps = min(record["completed"])
        self.has_two_maps = find_map_conflict(steps) is not None
        self.stall_s = record["stall_s"]

    def as_text(self):
        """Return the report on one line."""
        ordered = sorted(self.values)
        at_95 = ordered[math.ceil(0.95 * len(ordered)) - 1]
        mean = sum(ordered) / len(ordered)
        maps = "two maps in one step!" if self.has_two_maps else "one map in each step"
        return (
            f"mean {mean:.2f}, {at_95:.2f} at 95 % (slowest over mean rank); "
            f"{self.steps} steps, {self.versions} maps, {maps}, "
            f"{self.stall_s:.2f} s stalled"
        )


async def watch_skew(site, report):
    """Add the skew of a site's group to a report until cancelled.

    Parameters
    ----------
    site : GroupSite
        The site.
    report : SkewReport
        What takes the values.
    """
    clock = SystemClock()
    while True:
        try:
            pace = await site.group_pace()
        except aiohttp.ClientError:
            return
        if any(pace["completed"]):
            report.values.append(pace["skew"])
        await clock.sleep(INTERVAL_S)
