"""Open-loop run of a load: requests are sent on schedule, whatever the responses."""

import asyncio
from dataclasses import dataclass

import aiohttp
from magnoliagrade.clock import SystemClock

from magnoliagrade_standins.load.arrivals import make_arrivals
from magnoliagrade_standins.load.caller import send_arrival

__all__ = ["Progress", "run_load"]

PROGRESS_INTERVAL_S = 1.0


@dataclass(slots=True, kw_only=True)
class Progress:
    """Progress of a running load.

    Parameters
    ----------
    elapsed_s : float
        Time in seconds since the start.
    sent, good, rejected, failed : int
        Numbers of requests that were sent; whose response was complete, correct and
        in time; that were rejected with an error response; that ended otherwise.
    """

    elapsed_s: float = 0.0
    sent: int = 0
    good: int = 0
    rejected: int = 0
    failed: int = 0

    @property
    def in_flight(self):
        """Number of requests without an outcome."""
        return self.sent - self.good - self.rejected - self.failed

    def record(self, outcome):
        """Add an outcome to the counts."""
        if outcome.is_good:
            self.good += 1
        elif outcome.status > 200:
            self.rejected += 1
        else:
            self.failed += 1


async def run_load(plan, *, on_progress=None, clock=None, session=None):
    """Send a plan's load and return the outcome of every arrival.

    Parameters
    ----------
    plan : LoadPlan
        Plan of the load.
    on_progress : callable, optional
        Called with a `Progress` every second and at the end.
    clock : Clock, optional
        Source of time; the system clock by default.
    session : aiohttp.ClientSession, optional
        HTTP session to use; by default a new one without a limit on connections.

    Returns
    -------
    outcomes : list of Outcome
        Outcomes in order of arrival.
    """
    clock = clock or SystemClock()
    if session is None:
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as new_session:
            return await _run(plan, on_progress, clock, new_session)
    return await _run(plan, on_progress, clock, session)


async def _run(plan, on_progress, clock, session):
    progress = Progress()
    start = clock.monotonic()
    tasks = []
    async with asyncio.TaskGroup() as group:
        reporter = group.create_task(
            _report_progress(progress, on_progress, clock, start)
        )
        for arrival in make_arrivals(plan):
            due = start + arrival.at_s
            await clock.sleep(max(0.0, due - clock.monotonic()))
            progress.sent += 1
            sending = _send(arrival, plan, session, clock, due, progress)
            tasks.append(group.create_task(sending))
        await asyncio.gather(*tasks)
        reporter.cancel()
    if on_progress:
        progress.elapsed_s = clock.monotonic() - start
        on_progress(progress)
    return [task.result() for task in tasks]


async def _send(arrival, plan, session, clock, due, progress):
    outcome = await send_arrival(
        arrival, plan=plan, session=session, clock=clock, due=due
    )
    progress.record(outcome)
    return outcome


async def _report_progress(progress, on_progress, clock, start):
    while on_progress:
        await clock.sleep(PROGRESS_INTERVAL_S)
        progress.elapsed_s = clock.monotonic() - start
        on_progress(progress)
