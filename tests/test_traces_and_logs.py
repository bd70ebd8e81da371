"""Traces, metrics and logs of real processes.

Guards against a trace that is split between hops, and against keys, bodies or header
values in the logs.
"""

import asyncio
import json
import pathlib

from magnoliagrade_standins.harness import Site, SitePlan
from magnoliagrade_standins.traces import assemble_traces, read_spans, trace_lines

TRACE_ID = "4bf92f3577b34da6a3ce929d0e0e4736"
CALLER_SPAN_ID = "00f067aa0ba902b7"
SECRETS = ("key-0", "secret-body", "secret-prompt", "secret-claim", "secret-header")
SAMPLE_ALL = {"traces": {"sampling": 1}}
PLAN = SitePlan(
    entries_by_data_centre={"kamloops": 1, "kelowna": 1},
    engines_by_data_centre={"kelowna": 1},
    services_by_data_centre={"kamloops": 1, "kelowna": 1},
    entry_settings={**SAMPLE_ALL, "logs": {"log_level": "DEBUG"}},
    agent_settings={**SAMPLE_ALL, "logs": {"log_level": "DEBUG"}},
    has_proxy=True,
)
HEADERS = {
    "Authorization": "Bearer key-0",
    "X-Request-Id": "traced",
    "X-Private": "secret-header",
}


def test_request_gets_one_trace_over_all_hops_and_logs_hold_no_secrets():
    asyncio.run(_check_traces_and_logs())


async def _check_traces_and_logs():
    async with Site(plan=PLAN) as site:
        rule = {
            "source": site.source_of("kamloops-entry-0"),
            "target": "kamloops-service-0/data",
            "flow": "cut",
        }
        await site.set_rules(rule)
        await _send_requests(site)
        await _check_metrics(site)
        for process in [*site.entry_by_name.values(), *site.agent_by_name.values()]:
            assert await process.stop() == 0
        names = [*site.entry_by_name, *site.agent_by_name]
        text_by_name = {
            name: pathlib.Path(site.folder, f"{name}.log").read_text() for name in names
        }
    lines = [line for text in text_by_name.values() for line in text.splitlines()]
    _check_trace(read_spans(lines))
    _check_log_events(lines)
    for name, text in text_by_name.items():
        for secret in SECRETS:
            assert secret not in text, (name, secret)


async def _send_requests(site):
    url = site.caller_url("kamloops-entry-0")
    traced = {**HEADERS, "traceparent": f"00-{TRACE_ID}-{CALLER_SPAN_ID}-01"}
    traced["Idempotent"] = "?1"
    order = f"{url}/orders/reorder"
    async with site.session.post(
        order, data=b"secret-body", headers=traced
    ) as response:
        # Reads to the end: a caller that disconnects early is a separate error.
        text = await response.text()
        assert response.status == 200, text
    for headers, body in (
        (HEADERS, {"model": "swatch", "prompt": "secret-prompt", "max_tokens": 2}),
        (HEADERS, {"model": "swatch", "prompt": ["secret-prompt"]}),
        (HEADERS, {"model": "none", "prompt": "secret-prompt"}),
        ({**HEADERS, "Authorization": "Bearer key-0x"}, {"secret-body": 1}),
        ({**HEADERS, "Idempotency-Key": "secret-claim"}, {"model": "swatch"}),
    ):
        target = f"{url}/v1/completions"
        async with site.session.post(target, json=body, headers=headers) as response:
            await response.read()
    host, _, port = (
        site.entry_by_name["kamloops-entry-0"].addresses["caller"].rpartition(":")
    )
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"GET / HTTP/1.1\r\nAuthorization Bearer key-0\r\n\r\n")
    assert b" 400 " in await reader.readline()
    writer.close()


async def _check_metrics(site):
    address = site.entry_by_name["kamloops-entry-0"].addresses["admin"]
    async with site.session.get(f"http://{address}/metrics") as response:
        lines = (await response.text()).splitlines()
    value_by_name = dict(line.rsplit(" ", 1) for line in lines if line[0] != "#")
    # Two requests got a response from a back end; the others were rejected.
    name = "magnoliagrade_first_byte_seconds"
    assert value_by_name[name + '_count{door="caller"}'] == "2.0"
    assert float(value_by_name[name + '_sum{door="caller"}']) > 0
    rejected = 'magnoliagrade_requests_total{door="caller",result="NO_ROUTE"}'
    assert value_by_name[rejected] == "1.0"


def _check_trace(spans):
    (root,) = assemble_traces(spans)[TRACE_ID]
    assert (root.name, root.parent_id) == ("entry.caller", CALLER_SPAN_ID)
    assert root.attributes["magnoliagrade.request_id"] == "traced"
    failed, succeeded = root.children
    assert (failed.name, succeeded.name) == ("attempt", "attempt")
    assert failed.is_error and not succeeded.is_error
    assert failed.attributes["magnoliagrade.endpoint"] == "kamloops-service-0"
    hops = []
    span = succeeded
    while span.children:
        (span,) = span.children
        hops.append((span.name, span.instance))
    assert hops == [
        ("entry.peer", "kelowna-entry-0"),
        ("attempt", "kelowna-entry-0"),
        ("agent.request", "kelowna-service-0"),
        ("endpoint.call", "kelowna-service-0"),
    ]
    formatted = trace_lines({TRACE_ID: [root]})
    assert len(formatted) == 8 and "FAILED" in formatted[2]


def _check_log_events(lines):
    records = [json.loads(line) for line in lines]
    events = [r for r in records if "span" not in r]
    for record in events:
        assert record["event"] and record["instance"] and record["data_centre"]
    (ended,) = [
        r
        for r in events
        if r["event"] == "attempt.ended"
        and r["request_id"] == "traced"
        and r["endpoint"] == "kelowna-service-0"
    ]
    assert ended["organisation"] == "organisation-0"
    assert ended["attempt"] and ended["configuration_revision"] == 1
    rejected = [r for r in events if r["event"] == "request.refused"]
    assert {"INVALID_REQUEST", "NO_ROUTE", "UNAUTHENTICATED"} <= {
        r["code"] for r in rejected
    }
    assert all(r["request_id"] for r in rejected)
