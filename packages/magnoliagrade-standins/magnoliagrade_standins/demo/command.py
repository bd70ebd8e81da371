"""Command that runs the demonstration and prints its report."""

import asyncio
import signal
import sys

import uvloop

from magnoliagrade_standins.demo.plan import DemoPlan
from magnoliagrade_standins.demo.run import run_demo
from magnoliagrade_standins.flags import split_flags
from magnoliagrade_standins.load import LoadPlan, print_progress

__all__ = ["demo_command"]

# Fields of `LoadPlan` that the site determines; they are not flags.
NON_FLAG_FIELDS = ("urls", "key_by_organisation")
EXIT_FAILED = 1
EXIT_INTERRUPTED = 130
DEFAULT_DURATION_S = 30.0


def demo_command(*, hold=False, **fields):
    """Run the demonstration, print its report and return the exit code.

    Parameters
    ----------
    hold : bool
        Whether to keep the site running after the load, until interrupted.
    **fields
        Fields of `DemoPlan` and of `LoadPlan`.

    Returns
    -------
    code : int
        0 if all checks of the result passed, 1 if one failed, 130 if a signal
        interrupted the run. An unknown flag exits with 2.
    """
    plan_fields, load_fields = split_flags(
        fields, DemoPlan, LoadPlan, without=NON_FLAG_FIELDS
    )
    load_fields.setdefault("duration_s", DEFAULT_DURATION_S)
    try:
        result = uvloop.run(
            _run_until_signal(DemoPlan(**plan_fields), hold, load_fields)
        )
    except asyncio.CancelledError:
        _print_status("interrupted; all processes have stopped")
        return EXIT_INTERRUPTED
    print(result_text(result))
    return 0 if result.is_clean else EXIT_FAILED


def result_text(result):
    """Return the report of a demonstration as readable text.

    Parameters
    ----------
    result : DemoResult
        Result to report on.

    Returns
    -------
    text : str
        Lines of a label and its value.
    """
    peaks = sorted(result.peak_load_by_engine.values())
    lines = [
        result.report.as_text(),
        f"services           {_listing(result.executions_by_service)} calls recorded",
        f"engines            {sum(result.falls_by_engine.values())} overloads; "
        f"peak load {peaks[-1]:.0%} of capacity"
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


def _listing(count_by_name):
    return ", ".join(f"{name} {count}" for name, count in count_by_name.items())


async def _run_until_signal(plan, hold, load_fields):
    task = asyncio.current_task()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        loop.add_signal_handler(signal_number, task.cancel)
    return await run_demo(
        plan,
        report_status=_print_status,
        on_progress=print_progress,
        hold=hold,
        **load_fields,
    )


def _print_status(line):
    print(line, file=sys.stderr, flush=True)
