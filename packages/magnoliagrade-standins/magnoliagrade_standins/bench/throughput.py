"""Requests a second and processor time of single processes."""

import asyncio
import os
from dataclasses import dataclass

__all__ = ["Throughput", "measure_throughput", "processor_s"]

HEADERS = {"Authorization": "Bearer key-0"}
# Fields of /proc/PID/stat after the command: user and system time.
USER_FIELD = 11
SYSTEM_FIELD = 12


@dataclass(slots=True, kw_only=True)
class Throughput:
    """What one or more processes bore for a while.

    Parameters
    ----------
    name : str
        What was measured.
    answered : int
        Calls that were answered with 200.
    refused : int
        Calls that were not.
    duration_s : float
        How long.
    processor_s : float
        Processor time that the measured processes took.
    processes : int
        How many were measured.
    """

    name: str
    answered: int
    refused: int
    duration_s: float
    processor_s: float
    processes: int

    @property
    def per_s(self):
        """Calls answered a second."""
        return self.answered / self.duration_s

    def line(self):
        """Return the row of a Markdown table."""
        each = self.processor_s / max(1, self.answered)
        load = self.processor_s / self.duration_s / self.processes
        return (
            f"| {self.name} | {self.per_s:.0f} | {self.refused} "
            f"| {1e6 * each:.0f} | {load:.0%} |"
        )


async def measure_throughput(
    session, clock, urls, *, name, process_ids, callers, duration_s
):
    """Call as fast as answers come and return what the processes bore.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session to use.
    clock : Clock
        Source of time.
    urls : list of str
        Called in turn.
    name : str
        What is measured.
    process_ids : list of int
        Processes whose time is counted.
    callers : int
        Calls in flight.
    duration_s : float
        How long.
    """
    counts = {True: 0, False: 0}
    begun = clock.monotonic()
    processor_before = processor_s(process_ids)

    async def call_in_turn(first):
        number = first
        while clock.monotonic() < begun + duration_s:
            url = urls[number % len(urls)]
            number += 1
            async with session.get(url, headers=HEADERS) as response:
                await response.read()
            counts[response.status == 200] += 1

    await asyncio.gather(*(call_in_turn(i) for i in range(callers)))
    return Throughput(
        name=name,
        answered=counts[True],
        refused=counts[False],
        duration_s=clock.monotonic() - begun,
        processor_s=processor_s(process_ids) - processor_before,
        processes=len(process_ids),
    )


def processor_s(process_ids):
    """Return the processor time that processes have taken, in seconds.

    Parameters
    ----------
    process_ids : list of int
        Running processes.
    """
    ticks = 0
    for number in process_ids:
        with open(f"/proc/{number}/stat", encoding="utf-8") as file:
            fields = file.read().rpartition(")")[2].split()
        ticks += int(fields[USER_FIELD]) + int(fields[SYSTEM_FIELD])
    return ticks / os.sysconf("SC_CLK_TCK")
