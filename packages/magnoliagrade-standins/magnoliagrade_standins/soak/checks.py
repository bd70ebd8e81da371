"""What a soak checks, from what callers and endpoints saw."""

from collections import Counter
from dataclasses import dataclass, field

from magnoliagrade_standins.soak.site import EVENTS

__all__ = ["Finding", "SoakReport", "check_calls"]

# Statuses that promise that a request has not run and never will.
NOT_RUN = {408, 421, 429, 503}
WHOLE_STREAM = "".join(f"id: {n}\ndata: {n}\n\n" for n in range(1, EVENTS + 1))


@dataclass(slots=True, kw_only=True)
class Finding:
    """One promise that was broken: which, by which request, and how."""

    promise: str
    request: str
    detail: str


@dataclass(slots=True, kw_only=True)
class SoakReport:
    """What one soak found."""

    seed: int
    calls: int = 0
    by_status: dict = field(default_factory=dict)
    faults: list = field(default_factory=list)
    findings: list = field(default_factory=list)


def check_calls(site, calls):
    """Return the promises that calls show to be broken.

    Parameters
    ----------
    site : SoakSite
        Endpoints with their records, and keys with the times of their removal.
    calls : list of SoakCall
        All calls.
    """
    runs = Counter()
    began_at = {}
    for endpoint in site.endpoints:
        runs.update(endpoint.runs)
        for request_id, at in endpoint.began_at.items():
            began_at[request_id] = max(at, began_at.get(request_id, at))
    findings = []
    known = {call.id for call in calls}
    for request_id in runs:
        if request_id not in known:
            findings.append(_finding("asked for", request_id, "nobody sent it"))
    for call in calls:
        findings += _check_runs(call, runs[call.id])
        findings += _check_key(site, call, began_at.get(call.id))
        if call.status == 200:
            findings += _check_answer(call)
    return findings


def _check_runs(call, runs):
    if call.kind == "order" and runs > 1:
        yield _finding("at most once", call.id, f"ran {runs} times")
    if call.kind == "order" and call.status in NOT_RUN and runs:
        yield _finding("not run is true", call.id, f"answered {call.status}")


def _check_key(site, call, began_at):
    removed_at = site.removed_at_by_key.get(call.key)
    if removed_at is None or began_at is None:
        return
    late_s = call.sent_at - removed_at
    if late_s > site.plan.revoke_ms / 1000:
        yield _finding("keys end", call.id, f"sent {late_s:.2f} s after the removal")


def _check_answer(call):
    if call.answer_id != call.id or not call.stamp.startswith("stamp of "):
        yield _finding("own answer", call.id, f"{call.answer_id} {call.stamp}")
    elif call.kind == "stream":
        if call.text != WHOLE_STREAM:
            yield _finding("whole stream", call.id, repr(call.text))
    elif not _is_own_text(call):
        yield _finding("whole answer", call.id, repr(call.text))


def _is_own_text(call):
    number = call.id.partition("-")[2]
    method, body = ("GET", "") if call.kind == "look" else ("POST", call.body)
    endpoint = call.stamp.removeprefix("stamp of ")
    return call.text == f"{method} /{call.kind}/{number} {body} by {endpoint}"


def _finding(promise, request_id, detail):
    return Finding(promise=promise, request=request_id, detail=detail)
