"""Traces with a span for each hop, exported by OTLP or as JSON lines."""

import contextlib
import json
import secrets
import sys

from opentelemetry import trace
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

__all__ = [
    "HopTracer",
    "configure_tracing",
    "extract_context",
    "get_tracer",
    "inject_context",
]

TRACEPARENT = "traceparent"
_PROPAGATOR = TraceContextTextMapPropagator()


class HopTracer:
    """Tracer that leaves the work of recording out where a trace is not recorded.

    Parameters
    ----------
    name : str
        Name of the module that traces.

    Notes
    -----
    The library builds each span in full before its sampler refuses it. Most
    requests are not recorded, so their hops only hand on the context.
    """

    __slots__ = ("_tracer",)

    # Whether this process records any trace that no caller began.
    records_new_traces = False

    def __init__(self, *, name):
        self._tracer = trace.get_tracer(name)

    def start_as_current_span(
        self, name, *, context=None, kind=trace.SpanKind.INTERNAL, attributes=None
    ):
        """Return a context manager in which a span is current.

        Parameters
        ----------
        name : str
            Name of the span.
        context : opentelemetry.context.Context, optional
            Holds the parent; the current context by default.
        kind : SpanKind
            Role of the hop.
        attributes : dict, optional
            Attributes of the span.
        """
        parent = trace.get_current_span(context)
        parent_context = parent.get_span_context()
        if not parent_context.is_valid and not HopTracer.records_new_traces:
            return trace.use_span(_new_unrecorded_span())
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
    return HopTracer(name=name)


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
    # Loaded only by processes that trace: they take several MB.
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
            out=stream or sys.stderr, formatter=_span_as_line
        )
    provider.add_span_processor(BatchSpanProcessor(exporter))
    trace.set_tracer_provider(provider)
    HopTracer.records_new_traces = sampling > 0
    return provider


def extract_context(headers):
    """Return the trace context of incoming headers, or None if they have none."""
    if TRACEPARENT not in headers:
        return None
    return _PROPAGATOR.extract(carrier={k.lower(): v for k, v in headers.items()})


def inject_context(headers, context=None):
    """Write the current trace context into outgoing headers."""
    _PROPAGATOR.inject(carrier=headers, context=context)


def _new_unrecorded_span():
    context = trace.SpanContext(
        trace_id=secrets.randbits(128) or 1,
        span_id=secrets.randbits(64) or 1,
        is_remote=False,
    )
    return trace.NonRecordingSpan(context)


def _span_as_line(span):
    return json.dumps({"span": json.loads(span.to_json(indent=None))}) + "\n"
