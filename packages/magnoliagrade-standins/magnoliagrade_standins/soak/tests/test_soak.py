"""A short soak with a fixed seed, and the checks on calls that break a promise."""

import asyncio
from types import SimpleNamespace

from magnoliagrade_standins.soak import SoakPlan, run_soak
from magnoliagrade_standins.soak.callers import SoakCall
from magnoliagrade_standins.soak.checks import (
    COMPLETE_STREAM_TEXT,
    find_broken_promises,
)

# Promises that hold also on a busy machine. "recovers" and "keys end" depend on time.
SAFETY_PROMISES = {
    "asked for",
    "at most once",
    "not run is true",
    "own answer",
    "whole answer",
    "whole stream",
    "goes on",
}


def test_short_soak_breaks_no_safety_promise():
    report = asyncio.run(run_soak(SoakPlan(seed=1, duration_s=9.0)))
    assert report.by_status.get(200, 0) > 20
    assert [f for f in report.findings if f.promise in SAFETY_PROMISES] == []


def test_processes_go_on_after_the_store_lost_its_last_changes():
    # No other fault is drawn at this rate, so that the last calls must all be served.
    plan = SoakPlan(
        seed=1, duration_s=13.0, store_losses=2, agents=True, faults_per_s=1e-9
    )
    report = asyncio.run(run_soak(plan))
    assert report.by_status.get(200, 0) > 20
    assert report.findings == []


def test_call_that_breaks_a_promise_gives_its_finding():
    stamp = {"response_id": "c1-1", "stamp": "stamp of plain-1"}
    for promise, call, runs in (
        ("at most once", _call("order"), ["c1-1", "c1-1"]),
        ("not run is true", _call("order", status=503), ["c1-1"]),
        ("own answer", _call("look", status=200, response_id="c1-2"), []),
        ("whole answer", _call("look", status=200, text="GET /lo", **stamp), []),
        ("whole stream", _call("stream", status=200, text="id: 1\n", **stamp), []),
        ("asked for", _call("order"), ["c9-9"]),
        ("keys end", _call("look", key="old"), ["c1-1"]),
    ):
        found = [
            finding.promise for finding in find_broken_promises(_site(runs), [call])
        ]
        assert found == [promise], promise


def test_complete_responses_give_no_findings():
    stamp = {"response_id": "c1-1", "stamp": "stamp of plain-1"}
    look = _call("look", status=200, text="GET /look/1  by plain-1", **stamp)
    order = _call("order", status=200, text="POST /order/1 b by plain-1", **stamp)
    stream = _call("stream", status=200, text=COMPLETE_STREAM_TEXT, **stamp)
    for call in (look, order, stream):
        assert find_broken_promises(_site(["c1-1"]), [call]) == []


def _site(runs):
    endpoint = SimpleNamespace(runs=runs, began_at=dict.fromkeys(runs, 9.0))
    return SimpleNamespace(
        endpoints=[endpoint],
        removed_at_by_key={"old": 1.0},
        plan=SoakPlan(revoke_ms=3000.0),
    )


def _call(kind, **fields):
    fields = {"key": "new", **fields}
    return SoakCall(id="c1-1", kind=kind, body="b", sent_at=9.0, **fields)
