"""The command of the main job."""

import asyncio
import signal
import sys

import uvloop

from magnoliagrade_standins.demo.plan import DemoPlan
from magnoliagrade_standins.demo.run import run_demo
from magnoliagrade_standins.flags import split_flags
from magnoliagrade_standins.load import LoadPlan, print_progress

__all__ = ["demo_command"]

# Fields of the load that come from the site.
GIVEN = ("urls", "key_by_organisation")
EXIT_FAILED = 1
EXIT_INTERRUPTED = 130
DEFAULT_DURATION_S = 30.0


def demo_command(*, hold=False, **fields):
    """Run the main job, print its report and return the exit code.

    Parameters
    ----------
    hold : bool
        Whether to keep the site up after the load.
    **fields
        Fields of `DemoPlan` and of `LoadPlan`.

    Returns
    -------
    code : int
        0 if all promises were kept, 1 if not, 130 if it was interrupted; an
        unknown flag exits with 2.
    """
    sizes, load = split_flags(fields, DemoPlan, LoadPlan, without=GIVEN)
    load.setdefault("duration_s", DEFAULT_DURATION_S)
    try:
        result = uvloop.run(_until_signal(DemoPlan(**sizes), hold, load))
    except asyncio.CancelledError:
        _say("stopped; no process is left")
        return EXIT_INTERRUPTED
    print(result_text(result))
    return 0 if result.is_clean else EXIT_FAILED


def result_text(result):
    """Return what a demonstration showed, for people.

    Parameters
    ----------
    result : DemoResult
        What was seen.
    """
    peaks = sorted(result.peak_load_by_engine.values())
    lines = [
        result.report.as_text(),
        f"services           {_shown(result.executions_by_service)} calls recorded",
        f"engines            {sum(result.falls_by_engine.values())} overloads; "
        f"peak {peaks[-1]:.0%} of what the busiest bore"
        if peaks
        else "engines            none",
        f"skew               {_skew_text(result.skew)}",
        f"processes          {len(result.exit_codes)} stopped, "
        f"{sum(map(bool, result.exit_codes))} with an error",
        f"verdict            {'all kept' if result.is_clean else 'NOT kept'}",
    ]
    return "\n".join(lines)


def _skew_text(skew):
    if skew is None:
        return "not measured: the site has no rank group"
    if not skew.values:
        return "not measured: the group did not run"
    return skew.as_text()


def _shown(count_by_name):
    return ", ".join(f"{name} {count}" for name, count in count_by_name.items())


async def _until_signal(plan, hold, load):
    task = asyncio.current_task()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        loop.add_signal_handler(number, task.cancel)
    return await run_demo(plan, say=_say, on_progress=print_progress, hold=hold, **load)


def _say(line):
    print(line, file=sys.stderr, flush=True)
