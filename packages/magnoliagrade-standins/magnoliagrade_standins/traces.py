"""Assembly of traces from the JSON lines that processes write."""

import json
from dataclasses import dataclass, field
from datetime import datetime

__all__ = ["Span", "assemble_traces", "read_spans", "trace_lines"]

ATTRIBUTE_PREFIX = "magnoliagrade."
NO_PARENT = ""


@dataclass(slots=True, kw_only=True)
class Span:
    """One span of a trace, as a process recorded it.

    Parameters
    ----------
    trace_id, span_id, parent_id : str
        Hexadecimal ids without prefix; the parent's id is empty for a root span.
    name : str
        Name of the operation.
    instance : str
        Instance that recorded the span.
    start, end : datetime
        Wall-clock times at that instance.
    is_error : bool
        Whether the operation failed.
    attributes : dict
        Attributes of the span by name.
    children : list of Span
        Child spans in order of their start.
    """

    trace_id: str
    span_id: str
    parent_id: str
    name: str
    instance: str
    start: datetime
    end: datetime
    is_error: bool = False
    attributes: dict = field(default_factory=dict)
    children: list = field(default_factory=list)


def read_spans(lines):
    """Return the spans among the lines of a log; other lines are skipped.

    Parameters
    ----------
    lines : iterable of str
        Lines that processes wrote to their log.
    """
    spans = []
    for line in lines:
        if not line.startswith('{"span"'):
            continue
        fields = json.loads(line)["span"]
        context = fields["context"]
        spans.append(
            Span(
                trace_id=_hexadecimal(context["trace_id"]),
                span_id=_hexadecimal(context["span_id"]),
                parent_id=_hexadecimal(fields["parent_id"]),
                name=fields["name"],
                instance=fields["resource"]["attributes"]["service.instance.id"],
                start=datetime.fromisoformat(fields["start_time"]),
                end=datetime.fromisoformat(fields["end_time"]),
                is_error=fields["status"]["status_code"] == "ERROR",
                attributes=fields["attributes"],
            )
        )
    return spans


def assemble_traces(spans):
    """Link spans to their parents and return the root spans of each trace.

    Parameters
    ----------
    spans : list of Span
        Spans of all processes; their `children` are extended.

    Returns
    -------
    roots_by_trace : dict of str to list of Span
        Root spans by trace id. A span whose parent is not among the spans, for example
        because it belongs to the caller, is a root.
    """
    by_id = {span.span_id: span for span in spans}
    roots_by_trace = {}
    for span in sorted(spans, key=lambda s: s.start):
        parent = by_id.get(span.parent_id)
        if parent is None:
            roots_by_trace.setdefault(span.trace_id, []).append(span)
        else:
            parent.children.append(span)
    return roots_by_trace


def trace_lines(roots_by_trace):
    """Return traces as lines of text, indented as trees.

    Parameters
    ----------
    roots_by_trace : dict of str to list of Span
        Root spans by trace id, as `assemble_traces` returns them.
    """
    lines = []
    for trace_id, roots in roots_by_trace.items():
        lines.append(f"trace {trace_id}")
        for root in roots:
            lines += _span_lines(root, depth=1)
    return lines


def _span_lines(span, depth):
    milliseconds = (span.end - span.start).total_seconds() * 1000
    attribute_texts = [
        f"{name.removeprefix(ATTRIBUTE_PREFIX)}={value}"
        for name, value in sorted(span.attributes.items())
        if name.startswith(ATTRIBUTE_PREFIX)
    ]
    failure_mark = "  FAILED" if span.is_error else ""
    indent = "  " * depth
    line = f"{indent}{span.name}  {span.instance}  {milliseconds:.1f} ms{failure_mark}"
    lines = ["  ".join([line, *attribute_texts])]
    for child in span.children:
        lines += _span_lines(child, depth + 1)
    return lines


def _hexadecimal(text):
    return text.removeprefix("0x") if text else NO_PARENT
