import asyncio
import json
import os
import tempfile
from collections import Counter

import aiohttp
from aiohttp import web

from magnoliagrade_standins.engine import expected_text
from magnoliagrade_standins.load import (
    Arrival,
    LoadPlan,
    Outcome,
    check_orders,
    make_arrivals,
    plot_report,
    run_load,
    summarise,
)
from magnoliagrade_standins.load.arrivals import Kind


def test_arrivals_match_rate_and_mix_of_plan():
    plan = LoadPlan(urls=["a", "b"], rate_per_s=500, duration_s=8, seed=3)
    arrivals = make_arrivals(plan)
    assert 3700 < len(arrivals) < 4300
    assert len({a.id for a in arrivals}) == len(arrivals)
    kinds = Counter(a.kind for a in arrivals)
    assert 0.17 < kinds[Kind.ORDER] / len(arrivals) < 0.23
    count = Counter(a.organisation for a in arrivals)
    assert count["organisation-0"] > 5 * count["organisation-9"]
    assert make_arrivals(LoadPlan(urls=["a"], seed=4)) != arrivals


def _order_outcome(request_id, ran, status=200):
    arrival = Arrival(id=request_id, at_s=0, url="", organisation="o", kind=Kind.ORDER)
    return Outcome(arrival=arrival, ran=ran, status=status)


def test_order_check_finds_contradictions_to_service_records():
    outcomes = [
        _order_outcome("run-once", "yes"),
        _order_outcome("lost", "yes"),
        _order_outcome("run-twice", "unknown", 504),
        _order_outcome("rejected", "no", 503),
        _order_outcome("run-despite-no", "no", 503),
    ]
    runs = ["run-once", "run-twice", "run-twice", "run-despite-no", "not-sent"]
    result = check_orders(outcomes, [{"id": i, "method": "POST"} for i in runs])
    assert result.lost == ["lost"]
    assert result.doubled == ["run-twice"]
    assert result.ran_though_refused == ["run-despite-no"]
    assert result.foreign == ["not-sent"]
    assert not result.is_clean
    clean = check_orders(outcomes[:1], [{"id": "run-once", "method": "POST"}])
    assert clean.is_clean and clean.executed == 1


async def _start_stub_entry(handler):
    app = web.Application()
    app.router.add_route("*", "/{tail:.*}", handler)
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0]
    return runner, f"http://{host}:{port}"


def _run_load_against(handler, **fields):
    async def main():
        runner, url = await _start_stub_entry(handler)
        plan = LoadPlan(urls=[url], rate_per_s=100, duration_s=0.2, **fields)
        try:
            return await run_load(plan)
        finally:
            await runner.cleanup()

    return asyncio.run(main())


def _stream_handler(*, owner="", missing=0, has_end=True):
    async def respond(request):
        fields = await request.json()
        request_id = request.headers["X-Request-Id"]
        lines = []
        for i in range(fields["max_tokens"] - missing):
            text = expected_text(owner or request_id, i)
            event = {"choices": [{"delta": {"content": text}}]}
            lines.append(f"data: {json.dumps(event)}\n\n")
        lines.append("data: [DONE]\n\n" if has_end else "")
        return web.Response(text="".join(lines), headers={"X-Request-Id": request_id})

    return respond


STREAM_MIX = {"order_fraction": 0, "lookup_fraction": 0, "stream_fraction": 1}


def test_complete_streams_are_good():
    outcomes = _run_load_against(_stream_handler(), **STREAM_MIX)
    assert outcomes and all(o.is_good for o in outcomes)
    report = summarise(outcomes, duration_s=0.2)
    assert report.good == len(outcomes) and report.count_by_code == {}
    assert "goodput" in report.as_text()
    json.dumps(report.as_dict())
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "plot.svg")
        plot_report(report, path)
        assert os.path.getsize(path) > 0


def test_foreign_or_truncated_streams_are_not_good():
    for defect, code in (
        ({"owner": "other"}, "foreign"),
        ({"missing": 1}, "cut-short"),
        ({"has_end": False}, "cut-short"),
    ):
        outcomes = _run_load_against(
            _stream_handler(**defect), output_tokens=20, **STREAM_MIX
        )
        report = summarise(outcomes, duration_s=0.2)
        assert set(report.count_by_code) == {code}, (defect, report.count_by_code)
        assert report.good == 0


def test_rejections_are_counted_by_code():
    async def reject(_request):
        return web.json_response({"code": "LIMITED", "ran": "no"}, status=429)

    outcomes = _run_load_against(reject)
    report = summarise(outcomes, duration_s=0.2)
    assert report.count_by_code == {"LIMITED": len(outcomes)}


def test_unreachable_entry_gives_failed_outcomes_without_raising():
    async def main():
        plan = LoadPlan(urls=["http://127.0.0.1:9"], rate_per_s=50, duration_s=0.2)
        return await run_load(plan, session=None)

    outcomes = asyncio.run(main())
    assert outcomes and all(o.code.startswith("broken-") for o in outcomes)
    assert aiohttp.ClientConnectorError.__name__ in outcomes[0].code
