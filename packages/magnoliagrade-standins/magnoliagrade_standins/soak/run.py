"""Running one soak from its plan to its report."""

import asyncio
from collections import Counter

from magnoliagrade_standins.soak.callers import SoakCaller
from magnoliagrade_standins.soak.checks import Finding, SoakReport, check_calls
from magnoliagrade_standins.soak.faults import strike
from magnoliagrade_standins.soak.plan import draw_faults, fault_kinds
from magnoliagrade_standins.soak.site import SoakSite

__all__ = ["run_soak"]

# Calls after the last fault that tell whether the site has recovered: those of the
# last part of the calm at the end. All are served: nothing strikes any more.
RECOVERED_S = 1.5
RECOVERED_PART = 1.0
# Late work at endpoints shows within this long after the last caller has ended.
SETTLE_S = 0.5
START_LIMIT_S = 30.0


async def run_soak(plan):
    """Run a soak and return its `SoakReport`.

    Parameters
    ----------
    plan : SoakPlan
        The plan.
    """
    async with SoakSite(plan=plan) as site:
        first_calls = await _await_entries(site)
        began_at = site.clock.monotonic()
        ends_at = began_at + plan.duration_s
        faults = draw_faults(plan, fault_kinds.names())
        callers = [SoakCaller(site=site, number=n) for n in range(plan.callers)]
        striking = [asyncio.create_task(_strike_at(site, f, began_at)) for f in faults]
        await asyncio.gather(*(caller.run(ends_at) for caller in callers))
        await asyncio.gather(*striking)
        await site.clock.sleep(SETTLE_S)
        calls = [call for caller in callers for call in caller.calls]
        calls += first_calls
        findings = check_calls(site, calls)
        findings += _check_end(site, calls, ends_at)
        return SoakReport(
            seed=plan.seed,
            calls=len(calls),
            by_status=dict(sorted(Counter(call.status for call in calls).items())),
            faults=[f"{f.at_s:.2f} {f.kind}" for f in faults],
            findings=findings,
        )


async def _await_entries(site):
    """Call until all serve; returns the calls."""
    callers = [
        SoakCaller(site=site, number=10_000 + number)
        for number in range(len(site.entries))
    ]
    async with asyncio.timeout(START_LIMIT_S):
        for caller in callers:
            while not any(call.status == 200 for call in caller.calls):
                await caller.run(site.clock.monotonic() + 0.2)
    return [call for caller in callers for call in caller.calls]


async def _strike_at(site, fault, began_at):
    await site.clock.sleep(began_at + fault.at_s - site.clock.monotonic())
    await strike(site, fault, site.clock.sleep)


def _check_end(site, calls, ends_at):
    findings = []
    for number, entry in enumerate(site.entries):
        if entry.has_ended:
            detail = f"ended by itself with {entry.process.returncode}"
            findings.append(
                Finding(promise="goes on", request=f"entry-{number}", detail=detail)
            )
    last = [
        c for c in calls if c.sent_at > ends_at - RECOVERED_S and c.key in site.keys
    ]
    served = sum(call.status == 200 for call in last)
    if served < RECOVERED_PART * len(last):
        detail = f"{served} of the last {len(last)} calls served"
        findings.append(Finding(promise="recovers", request="", detail=detail))
    return findings
