"""Traces with a span for each hop, exported by OTLP or as JSON lines."""

import json
import sys

from opentelemetry import trace
from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor, ConsoleSpanExporter
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

__all__ = ["configure_tracing", "extract_context", "inject_context"]

_PROPAGATOR = TraceContextTextMapPropagator()


def configure_tracing(*, instance, otlp_url="", sampling=0.0, stream=None):
    """Set up the process's tracer.

    Parameters
    ----------
    instance : str
        Name of the instance, the `service.instance.id` of its spans.
    otlp_url : str
        Where to send spans by OTLP over HTTP; empty writes JSON lines.
    sampling : float
        Fraction of new traces that are recorded; a caller's choice is kept.
    stream : file, optional
        Where JSON lines go; standard error by default.

    Returns
    -------
    provider : TracerProvider
        To be shut down when the process ends.
    """
    resource = Resource.create(
        {"service.name": "magnoliagrade", "service.instance.id": instance}
    )
    provider = TracerProvider(
        resource=resource, sampler=ParentBased(TraceIdRatioBased(sampling))
    )
    if otlp_url:
        exporter = OTLPSpanExporter(endpoint=otlp_url)
    else:
        exporter = ConsoleSpanExporter(
            out=stream or sys.stderr, formatter=_span_as_line
        )
    provider.add_span_processor(BatchSpanProcessor(exporter))
    trace.set_tracer_provider(provider)
    return provider


def extract_context(headers):
    """Return the trace context of incoming headers."""
    return _PROPAGATOR.extract(carrier=dict(headers))


def inject_context(headers, context=None):
    """Write the current trace context into outgoing headers."""
    _PROPAGATOR.inject(carrier=headers, context=context)


def _span_as_line(span):
    return json.dumps({"span": json.loads(span.to_json(indent=None))}) + "\n"
