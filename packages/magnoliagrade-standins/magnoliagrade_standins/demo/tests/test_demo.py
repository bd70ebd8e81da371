import asyncio
import pathlib
import re
import signal
import sys

from magnoliagrade_standins.demo import DemoPlan, DemoResult
from magnoliagrade_standins.demo.command import result_text
from magnoliagrade_standins.demo.skew import SkewReport
from magnoliagrade_standins.load import OrderCheckResult, summarise

SMALL_SITE_FLAGS = (
    "--data_centres=vernon",
    "--entries=1",
    "--engines=1",
    "--services=1",
)
STEP_TIMEOUT_S = 60


async def _start(*flags):
    return await asyncio.create_subprocess_exec(
        sys.executable,
        *("-m", "magnoliagrade_standins", "demo", *SMALL_SITE_FLAGS, *flags),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )


def _children(parent):
    found = set()
    for status in pathlib.Path("/proc").glob("[0-9]*/status"):
        try:
            text = status.read_text()
        except OSError:
            continue
        if re.search(rf"^PPid:\s+{parent}$", text, re.MULTILINE):
            found.add(status.parent)
    return found


def test_short_run_reports_orders_skew_and_progress():
    async def main():
        process = await _start("--engines=4", "--duration_s=3", "--rate_per_s=15")
        async with asyncio.timeout(STEP_TIMEOUT_S):
            out, progress = await process.communicate()
        text = out.decode()
        assert process.returncode == 0, text + progress.decode()
        assert "0 lost, 0 doubled, 0 run though rejected" in text
        assert "verdict            all kept" in text
        first_token = r"first token +[\d.]+ ms / [\d.]+ ms / [\d.]+ ms"
        assert re.search(first_token, text), text
        assert re.search(r"skew +mean [\d.]+, [\d.]+ at 95 %", text), text
        assert "one map in each step" in text
        assert " s  sent " in progress.decode()

    asyncio.run(main())


def test_plan_counts_processes_and_report_states_a_missing_group():
    plan = DemoPlan(data_centres="vernon", entries=1, engines=1, services=1)
    assert (plan.group_ranks, plan.process_count) == (0, 6)
    default_plan = DemoPlan()
    assert (default_plan.group_ranks, default_plan.process_count) == (4, 35)
    site_plan = default_plan.site_plan()
    assert site_plan.engines_by_data_centre == {
        "kamloops": 0,
        "kelowna": 4,
        "vernon": 4,
    }
    result = DemoResult(
        report=summarise([], duration_s=1.0),
        executions_by_service={},
        falls_by_engine={},
        peak_load_by_engine={},
    )
    assert "the site has no rank group" in result_text(result)


def test_result_is_clean_only_with_good_requests_and_one_map_in_each_step():
    result = DemoResult(
        report=summarise([], duration_s=1.0, orders=OrderCheckResult()),
        executions_by_service={},
        falls_by_engine={},
        peak_load_by_engine={},
    )
    assert not result.is_clean
    result.report.good = 1
    assert result.is_clean
    result.skew = SkewReport(has_two_maps=True)
    assert not result.is_clean


def test_interrupt_stops_every_process():
    async def main():
        process = await _start("--duration_s=600")
        async with asyncio.timeout(STEP_TIMEOUT_S):
            url = None
            while b"s  sent" not in (line := await process.stderr.readline()):
                assert line, "standard error ended before the load started"
                if line.startswith(b"entry "):
                    url = line.split()[-1].decode()
            children = _children(process.pid)
            assert len(children) == 6, children
            process.send_signal(signal.SIGINT)
            await process.communicate()
        assert process.returncode == 130
        assert not any(child.exists() for child in children)
        host, _, port = url.removeprefix("http://").partition(":")
        try:
            await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            return
        raise AssertionError(f"{url} still accepts connections")

    asyncio.run(main())
