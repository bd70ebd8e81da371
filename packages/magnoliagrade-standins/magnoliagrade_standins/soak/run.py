"""Run of one soak, from its plan to its report."""

import asyncio
from collections import Counter

from magnoliagrade_standins.soak.callers import SoakCaller
from magnoliagrade_standins.soak.checks import Finding, SoakReport, find_broken_promises
from magnoliagrade_standins.soak.faults import inject_fault
from magnoliagrade_standins.soak.plan import (
    FAULT_FREE_END_S,
    draw_faults,
    fault_kinds,
)
from magnoliagrade_standins.soak.site import SoakSite
from magnoliagrade_standins.soak.store_loss import lose_store_changes

__all__ = ["run_soak"]

# Recovery is checked with the calls sent in this time before the load ends. No fault is
# active then, so all of them must be served.
RECOVERY_WINDOW_S = 1.5
MIN_RECOVERY_SERVED_FRACTION = 1.0
# Work that reaches endpoints late is recorded within this time after the callers end.
SETTLE_S = 0.5
START_TIMEOUT_S = 30.0
# Time for which a caller sends requests before it is checked whether one was served.
FIRST_CALLS_S = 0.2


async def run_soak(plan):
    """Run a soak and return its `SoakReport`.

    Parameters
    ----------
    plan : SoakPlan
        Size, load, fault rate and seed.

    Raises
    ------
    TimeoutError
        If the first callers are not served within 30 s of the start.
    """
    async with SoakSite(plan=plan) as site:
        first_calls = await _wait_until_served(site)
        began_at = site.clock.monotonic()
        faults = draw_faults(plan, fault_kinds.names())
        callers = [SoakCaller(site=site, number=n) for n in range(plan.callers)]
        injections = [
            asyncio.create_task(_inject_at(site, f, began_at)) for f in faults
        ]
        injections.append(asyncio.create_task(_lose_store_changes(site)))
        ends_at = await _run_callers(
            callers,
            injections,
            clock=site.clock,
            min_ends_at=began_at + plan.duration_s,
        )
        await site.clock.sleep(SETTLE_S)
        calls = [call for caller in callers for call in caller.calls]
        calls += first_calls
        findings = find_broken_promises(site, calls)
        findings += _check_processes_at_end(site, calls, ends_at)
        return SoakReport(
            seed=plan.seed,
            calls=len(calls),
            by_status=dict(sorted(Counter(call.status for call in calls).items())),
            faults=[f"{f.start_s:.2f} {f.kind}" for f in faults],
            findings=findings,
        )


async def _run_callers(callers, injections, *, clock, min_ends_at):
    """Run callers until the faults have ended for long enough; return their end.

    Parameters
    ----------
    callers : list of SoakCaller
        Callers.
    injections : list of asyncio.Task
        Injections of the faults.
    clock : Clock
        Source of time.
    min_ends_at : float
        Earliest time at which the callers end, in seconds.

    Notes
    -----
    A fault may end later than planned: an entry that is stopped serves its last
    requests before it starts again.
    """
    over = asyncio.Event()
    running = [asyncio.create_task(c.run(is_over=over.is_set)) for c in callers]
    await asyncio.gather(*injections)
    ends_at = max(min_ends_at, clock.monotonic() + FAULT_FREE_END_S)
    await clock.sleep(ends_at - clock.monotonic())
    over.set()
    await asyncio.gather(*running)
    return ends_at


async def _wait_until_served(site):
    """Run one caller for each entry until each caller is served; return the calls.

    Callers choose an entry at random for each call.
    """
    callers = [
        SoakCaller(site=site, number=10_000 + number)
        for number in range(len(site.entries))
    ]
    async with asyncio.timeout(START_TIMEOUT_S):
        for caller in callers:
            while not any(call.status == 200 for call in caller.calls):
                ends_at = site.clock.monotonic() + FIRST_CALLS_S
                await caller.run(
                    is_over=lambda at=ends_at: site.clock.monotonic() >= at
                )
    return [call for caller in callers for call in caller.calls]


async def _inject_at(site, fault, began_at):
    await site.clock.sleep(began_at + fault.start_s - site.clock.monotonic())
    await inject_fault(site, fault, site.clock.sleep)


async def _lose_store_changes(site):
    """Let the store lose changes as often as planned, the last time before the end."""
    plan = site.plan
    for _ in range(plan.store_losses):
        await site.clock.sleep(
            (plan.duration_s - FAULT_FREE_END_S) / (plan.store_losses + 1)
        )
        await lose_store_changes(site, site.clock.sleep)


def _check_processes_at_end(site, calls, ends_at):
    findings = []
    processes_by_role = {"entry": site.entries, "agent": site.agents}
    for role, processes in processes_by_role.items():
        for number, process in enumerate(processes):
            if process.has_ended:
                detail = f"process ended with exit code {process.process.returncode}"
                findings.append(
                    Finding(
                        promise="goes on", request=f"{role}-{number}", detail=detail
                    )
                )
    last_calls = [
        c
        for c in calls
        if c.sent_at > ends_at - RECOVERY_WINDOW_S and c.key in site.keys
    ]
    served = sum(call.status == 200 for call in last_calls)
    if served < MIN_RECOVERY_SERVED_FRACTION * len(last_calls):
        detail = f"{served} of the last {len(last_calls)} calls served"
        findings.append(Finding(promise="recovers", request="", detail=detail))
    return findings
