"""Requests per second and processor time of processes under load."""

import asyncio
import os
from dataclasses import dataclass

__all__ = ["Throughput", "measure_throughput", "processor_s"]

HEADERS = {"Authorization": "Bearer key-0"}
# Indices in the fields of /proc/PID/stat that follow the command: user time and system
# time, in clock ticks.
USER_TIME_INDEX = 11
SYSTEM_TIME_INDEX = 12


@dataclass(slots=True, kw_only=True)
class Throughput:
    """Throughput and processor time of one or more processes.

    Parameters
    ----------
    name : str
        Role of the measured processes.
    succeeded : int
        Number of responses with status 200.
    rejected : int
        Number of responses with another status.
    duration_s : float
        Duration of the measurement.
    processor_s : float
        Processor time that the measured processes took.
    processes : int
        Number of measured processes.
    """

    name: str
    succeeded: int
    rejected: int
    duration_s: float
    processor_s: float
    processes: int

    @property
    def calls_per_s(self):
        """Responses with status 200 per second."""
        return self.succeeded / self.duration_s

    def table_row(self):
        """Return the row of a Markdown table."""
        processor_s_per_call = self.processor_s / max(1, self.succeeded)
        utilisation = self.processor_s / self.duration_s / self.processes
        return (
            f"| {self.name} | {self.calls_per_s:.0f} | {self.rejected} "
            f"| {1e6 * processor_s_per_call:.0f} | {utilisation:.0%} |"
        )


async def measure_throughput(
    session, clock, urls, *, name, process_ids, callers, duration_s
):
    """Call in a closed loop and return the throughput of the processes.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session to call with.
    clock : Clock
        Source of time.
    urls : list of str
        URLs that each caller calls in turn.
    name : str
        Role of the measured processes.
    process_ids : list of int
        Ids of the processes whose processor time is counted.
    callers : int
        Number of concurrent callers; each sends its next call when the response to
        the previous one is complete.
    duration_s : float
        Time after which no further call is started.

    Returns
    -------
    throughput : Throughput
        Counts of responses and processor time.
    """
    counts = {True: 0, False: 0}
    started_at = clock.monotonic()
    processor_before = processor_s(process_ids)

    async def call_in_loop(first):
        number = first
        while clock.monotonic() < started_at + duration_s:
            url = urls[number % len(urls)]
            number += 1
            async with session.get(url, headers=HEADERS) as response:
                await response.read()
            counts[response.status == 200] += 1

    await asyncio.gather(*(call_in_loop(i) for i in range(callers)))
    return Throughput(
        name=name,
        succeeded=counts[True],
        rejected=counts[False],
        duration_s=clock.monotonic() - started_at,
        processor_s=processor_s(process_ids) - processor_before,
        processes=len(process_ids),
    )


def processor_s(process_ids):
    """Return the processor time that processes have taken, in seconds.

    Parameters
    ----------
    process_ids : list of int
        Ids of running processes.
    """
    ticks = 0
    for number in process_ids:
        with open(f"/proc/{number}/stat", encoding="utf-8") as file:
            fields = file.read().rpartition(")")[2].split()
        ticks += int(fields[USER_TIME_INDEX]) + int(fields[SYSTEM_TIME_INDEX])
    return ticks / os.sysconf("SC_CLK_TCK")
