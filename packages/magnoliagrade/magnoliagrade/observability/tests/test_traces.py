import http.server
import io
import json
import subprocess
import sys
import threading

from opentelemetry.proto.collector.trace.v1 import trace_service_pb2

CALLER = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-{flags}"
# A process can set only one tracer provider, so each case runs in its own process.
SCRIPT = """
import sys
from magnoliagrade.observability import (
    configure_tracing, extract_context, get_tracer, inject_context
)
provider = configure_tracing(
    instance="i", sampling=float(sys.argv[1]), otlp_url=sys.argv[3]
)
headers = {"traceparent": sys.argv[2]} if sys.argv[2] else {}
tracer = get_tracer("t")
with tracer.start_as_current_span("outer", context=extract_context(headers)):
    with tracer.start_as_current_span("inner"):
        onward = {}
        inject_context(onward)
provider.shutdown()
print(onward["traceparent"])
"""


def _trace(sampling, traceparent="", otlp_url=""):
    done = subprocess.run(
        [sys.executable, "-c", SCRIPT, str(sampling), traceparent, otlp_url],
        capture_output=True,
        text=True,
        check=True,
    )
    spans = [json.loads(line)["span"] for line in io.StringIO(done.stderr)]
    return {s["name"]: s for s in spans}, done.stdout.strip()


def _is_sampled(traceparent):
    return bool(int(traceparent.rpartition("-")[2], 16) & 1)


def test_trace_that_the_caller_samples_is_sampled_at_any_sampling_fraction():
    spans, onward = _trace(0, CALLER.format(flags="01"))
    assert spans["outer"]["parent_id"] == "0x00f067aa0ba902b7"
    assert spans["inner"]["parent_id"] == spans["outer"]["context"]["span_id"]
    inner_id = spans["inner"]["context"]["span_id"].removeprefix("0x")
    assert onward == f"00-4bf92f3577b34da6a3ce929d0e0e4736-{inner_id}-01"


def test_trace_that_the_caller_does_not_sample_is_not_sampled():
    spans, onward = _trace(1, CALLER.format(flags="00"))
    assert spans == {}
    assert onward == CALLER.format(flags="00")


def test_new_trace_is_sampled_by_the_sampling_fraction():
    spans, onward = _trace(1)
    assert set(spans) == {"outer", "inner"} and _is_sampled(onward)
    spans, onward = _trace(0)
    assert spans == {} and not _is_sampled(onward)


def test_spans_are_sent_to_the_collector_when_an_otlp_url_is_set():
    received = []

    class Collector(http.server.BaseHTTPRequestHandler):
        def do_POST(self):  # noqa: N802
            data = self.rfile.read(int(self.headers["Content-Length"]))
            received.append((self.path, self.headers["Content-Type"], data))
            self.send_response(200)
            self.end_headers()

        def log_message(self, *_args):
            pass

    with http.server.HTTPServer(("127.0.0.1", 0), Collector) as server:
        threading.Thread(target=server.serve_forever).start()
        host, port = server.server_address
        spans, _ = _trace(1, otlp_url=f"http://{host}:{port}/v1/traces")
        server.shutdown()
    assert spans == {}
    (path, kind, data), *_ = received
    assert (path, kind) == ("/v1/traces", "application/x-protobuf")
    request = trace_service_pb2.ExportTraceServiceRequest.FromString(data)
    (resource,) = request.resource_spans
    values = {a.key: a.value.string_value for a in resource.resource.attributes}
    assert values["service.instance.id"] == "i"
    names = [s.name for scope in resource.scope_spans for s in scope.spans]
    assert sorted(names) == ["inner", "outer"]
