"""Checks of the promises to callers, from the records of callers and endpoints."""

from collections import Counter
from dataclasses import dataclass, field

from magnoliagrade_standins.soak.site import STREAM_EVENTS

__all__ = ["Finding", "SoakReport", "find_broken_promises"]

# Statuses that promise that a request was not executed and never will be.
NOT_EXECUTED_STATUSES = {408, 421, 429, 503}
COMPLETE_STREAM_TEXT = "".join(
    f"id: {n}\ndata: {n}\n\n" for n in range(1, STREAM_EVENTS + 1)
)


@dataclass(slots=True, kw_only=True)
class Finding:
    """One broken promise.

    Parameters
    ----------
    promise : str
        Name of the promise.
    request : str
        Id of the request, or the entry, that shows it; may be empty.
    detail : str
        What was observed.
    """

    promise: str
    request: str
    detail: str


@dataclass(slots=True, kw_only=True)
class SoakReport:
    """Result of one soak.

    Parameters
    ----------
    seed : int
        Seed of the plan.
    calls : int
        Number of calls.
    by_status : dict of int to int
        Number of calls by HTTP status; 0 stands for no complete response.
    faults : list of str
        Start time in seconds and kind of each fault.
    findings : list of Finding
        Broken promises.
    """

    seed: int
    calls: int = 0
    by_status: dict = field(default_factory=dict)
    faults: list = field(default_factory=list)
    findings: list = field(default_factory=list)


def find_broken_promises(site, calls):
    """Return a `Finding` for each promise that a call shows to be broken.

    Parameters
    ----------
    site : SoakSite
        Site with the records of its endpoints and the removal times of keys.
    calls : list of SoakCall
        All calls that were sent to the site.
    """
    executions = Counter()
    began_at = {}
    for endpoint in site.endpoints:
        executions.update(endpoint.runs)
        for request_id, at in endpoint.began_at.items():
            began_at[request_id] = max(at, began_at.get(request_id, at))
    findings = []
    sent_ids = {call.id for call in calls}
    for request_id in executions:
        if request_id not in sent_ids:
            findings.append(
                _finding("asked for", request_id, "executed, but no caller sent it")
            )
    for call in calls:
        findings += _check_executions(call, executions[call.id])
        findings += _check_key(site, call, began_at.get(call.id))
        if call.status == 200:
            findings += _check_response(call)
    return findings


def _check_executions(call, executions):
    if call.kind == "order" and executions > 1:
        yield _finding("at most once", call.id, f"executed {executions} times")
    if call.kind == "order" and call.status in NOT_EXECUTED_STATUSES and executions:
        yield _finding(
            "not run is true", call.id, f"executed, but got status {call.status}"
        )


def _check_key(site, call, began_at):
    removed_at = site.removed_at_by_key.get(call.key)
    if removed_at is None or began_at is None:
        return
    after_removal_s = call.sent_at - removed_at
    if after_removal_s > site.plan.revoke_ms / 1000:
        yield _finding(
            "keys end",
            call.id,
            f"executed, but sent {after_removal_s:.2f} s after its key was removed",
        )


def _check_response(call):
    if call.response_id != call.id or not call.stamp.startswith("stamp of "):
        yield _finding("own answer", call.id, f"{call.response_id} {call.stamp}")
    elif call.kind == "stream":
        if call.text != COMPLETE_STREAM_TEXT:
            yield _finding("whole stream", call.id, repr(call.text))
    elif not _has_expected_text(call):
        yield _finding("whole answer", call.id, repr(call.text))


def _has_expected_text(call):
    number = call.id.partition("-")[2]
    method, body = ("GET", "") if call.kind == "look" else ("POST", call.body)
    endpoint = call.stamp.removeprefix("stamp of ")
    return call.text == f"{method} /{call.kind}/{number} {body} by {endpoint}"


def _finding(promise, request_id, detail):
    return Finding(promise=promise, request=request_id, detail=detail)
