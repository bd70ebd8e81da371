"""Tracing with one span for each hop, exported by OTLP or as JSON lines."""

import contextlib
import json
import secrets
import sys

from opentelemetry import trace
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

__all__ = [
    "SamplingAwareTracer",
    "configure_tracing",
    "extract_context",
    "get_tracer",
    "inject_context",
]

TRACEPARENT = "traceparent"
_PROPAGATOR = TraceContextTextMapPropagator()


class SamplingAwareTracer:
    """Tracer that creates no span for a trace that isn't sampled.

    Parameters
    ----------
    name : str
        Name of the module that traces.

    Notes
    -----
    OpenTelemetry builds each span completely before its sampler drops it. Most
    requests aren't sampled, so their hops only propagate the trace context.
    """

    __slots__ = ("_tracer",)

    # Whether this process samples any of the traces that it starts itself.
    samples_new_traces = False

    def __init__(self, *, name):
        self._tracer = trace.get_tracer(name)

    def start_as_current_span(
        self, name, *, context=None, kind=trace.SpanKind.INTERNAL, attributes=None
    ):
        """Return a context manager within which a span is the current one.

        The span is new if the trace is sampled, else the parent span or, without a
        parent, a span that isn't recorded.

        Parameters
        ----------
        name : str
            Name of the span.
        context : opentelemetry.context.Context, optional
            Context with the parent span; the current context by default.
        kind : SpanKind
            Role of the hop.
        attributes : dict, optional
            Attributes of the span.
        """
        parent = trace.get_current_span(context)
        parent_context = parent.get_span_context()
        if not parent_context.is_valid and not SamplingAwareTracer.samples_new_traces:
            return trace.use_span(_new_unsampled_span())
        if not parent_context.is_valid or parent_context.trace_flags.sampled:
            return self._tracer.start_as_current_span(
                name, context=context, kind=kind, attributes=attributes
            )
        if context is None:
            return contextlib.nullcontext(parent)
        return trace.use_span(parent)


def get_tracer(name):
    """Return the tracer of a module.

    Parameters
    ----------
    name : str
        Name of the module.
    """
    return SamplingAwareTracer(name=name)


def configure_tracing(*, instance, otlp_url="", sampling=0.0, stream=None):
    """Set up the tracer provider of the process and return it.

    Parameters
    ----------
    instance : str
        Name of the instance, the `service.instance.id` of its spans.
    otlp_url : str
        URL to send spans to by OTLP over HTTP; if empty, spans are written as JSON
        lines.
    sampling : float
        Fraction of new traces that are sampled; the decision of a caller that sends a
        trace context is kept.
    stream : file, optional
        Stream for JSON lines; standard error by default.

    Returns
    -------
    provider : TracerProvider
        Provider, to be shut down when the process ends.
    """
    # Imported here because only processes that trace need them, and they take several
    # MB of memory.
    from opentelemetry.sdk.resources import Resource
    from opentelemetry.sdk.trace import TracerProvider
    from opentelemetry.sdk.trace.export import BatchSpanProcessor, ConsoleSpanExporter
    from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased

    resource = Resource.create(
        {"service.name": "magnoliagrade", "service.instance.id": instance}
    )
    provider = TracerProvider(
        resource=resource, sampler=ParentBased(TraceIdRatioBased(sampling))
    )
    if otlp_url:
        from opentelemetry.exporter.otlp.proto.http.trace_exporter import (
            OTLPSpanExporter,
        )

        exporter = OTLPSpanExporter(endpoint=otlp_url)
    else:
        exporter = ConsoleSpanExporter(
            out=stream or sys.stderr, formatter=_span_to_json_line
        )
    provider.add_span_processor(BatchSpanProcessor(exporter))
    trace.set_tracer_provider(provider)
    SamplingAwareTracer.samples_new_traces = sampling > 0
    return provider


def extract_context(headers):
    """Return the trace context in incoming headers, or None if they have none."""
    if TRACEPARENT not in headers:
        return None
    return _PROPAGATOR.extract(carrier={k.lower(): v for k, v in headers.items()})


def inject_context(headers, context=None):
    """Write a trace context, by default the current one, into outgoing headers."""
    _PROPAGATOR.inject(carrier=headers, context=context)


def _new_unsampled_span():
    context = trace.SpanContext(
        trace_id=secrets.randbits(128) or 1,
        span_id=secrets.randbits(64) or 1,
        is_remote=False,
    )
    return trace.NonRecordingSpan(context)


def _span_to_json_line(span):
    return json.dumps({"span": json.loads(span.to_json(indent=None))}) + "\n"
