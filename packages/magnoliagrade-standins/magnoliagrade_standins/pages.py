"""Pages of the documentation that are made from code."""

import ast
import importlib
import pathlib
import pkgutil

from magnoliagrade.configuration import describe_settings
from magnoliagrade.errors import RESPONSE_BY_KIND
from magnoliagrade_agent import AgentSettings
from magnoliagrade_agent.direct import DirectAgentSettings
from magnoliagrade_entry.direct import DirectSettings
from magnoliagrade_entry.settings import EntrySettings
from prometheus_client import REGISTRY

__all__ = [
    "errors_page",
    "events_page",
    "metrics_page",
    "pages",
    "settings_page",
    "write_pages",
]

PRODUCT = ("magnoliagrade", "magnoliagrade_entry", "magnoliagrade_agent")
ERRORS_HEAD = """\
# Errors

Made by `python -m magnoliagrade_standins pages` from the one table in
`magnoliagrade/errors.py`; a test keeps the page and the code together.

The body is a problem document (RFC 9457) with `code`, `ran` and `retryable`. `ran`
says whether the request ran at its back end: `no` is certain. `retryable` says whether
sending the same request again is safe and can be expected to differ.

| code | status | ran | retryable | title |
|---|---|---|---|---|
"""
METRICS_HEAD = """\
# Metrics

Made by `python -m magnoliagrade_standins pages` from the code; a test keeps the page
and the code together.

`GET /metrics` on the admin address of each process, in Prometheus' format. Units are
in the names; `cost` is in tokens, or in calls for plain services. Labels have few
values each: none names a request, a caller or an organisation.

| metric | type | labels | meaning |
|---|---|---|---|
"""
EVENTS_HEAD = """\
# Events in the logs

Made by `python -m magnoliagrade_standins pages` from the code; a test keeps the page
and the code together.

Each process writes JSON lines to standard error, direct entries and agents to standard
output (see [OPERATIONS.md](../OPERATIONS.md)). Every line has `timestamp`, `level`,
`name` (the module), `event`, `instance` and `data_centre`; the fields below come on
top. Names of events and fields are stable. Neither bodies nor keys are ever written.
Spans of traces that are recorded go to the same place, as lines that start with
`{"span"`, unless `[traces] otlp_url` is set;
`python -m magnoliagrade_standins trace FILES` prints them as trees.

| event | fields | module |
|---|---|---|
"""
HEAD = """\
# Settings

Made by `python -m magnoliagrade_standins pages` from the settings' own
descriptions; a test keeps the page and the code together.

Each process reads one INI file. Where an environment variable is named, it overrides
the file. Unknown sections and keys, bad values and impossible combinations are
refused at start: every problem is printed with file, section, key and what is
allowed, and the exit code is 2. `magnoliagrade check FILE` and
`magnoliagrade-agent check FILE` do the same without starting. Listeners with the
same fixed address are an impossible combination; so are a group without a rank and
a group without a store.
"""


def settings_page():
    """Return the text of docs/SETTINGS.md.

    Returns
    -------
    text : str
        Markdown with one table for each binary.
    """
    parts = [HEAD]
    for binary, cls in (
        ("magnoliagrade", EntrySettings),
        ("magnoliagrade-agent", AgentSettings),
        ("magnoliagrade serve_direct", DirectSettings),
        ("magnoliagrade-agent serve_direct", DirectAgentSettings),
    ):
        rows = "\n".join(describe_settings(cls))
        parts.append(f"## {binary}\n\n{rows}\n")
    return "\n".join(parts)


def errors_page():
    """Return the text of docs/ERRORS.md.

    Returns
    -------
    text : str
        Markdown with a row for each kind of error.
    """
    rows = [
        f"| {kind.value} | {answer.status} | {answer.ran.value} "
        f"| {'yes' if answer.retryable else 'no'} | {answer.title} |"
        for kind, answer in RESPONSE_BY_KIND.items()
    ]
    return ERRORS_HEAD + "\n".join(rows) + "\n"


def events_page():
    """Return the text of docs/operators/LOGS.md.

    Returns
    -------
    text : str
        Markdown with a row for each event that the product logs.
    """
    rows = set()
    for package in PRODUCT:
        root = pathlib.Path(importlib.import_module(package).__file__).parent
        for path in root.rglob("*.py"):
            if "tests" not in path.parts:
                rows |= _events_in(path, root.parent)
    return EVENTS_HEAD + "\n".join(sorted(rows)) + "\n"


def metrics_page():
    """Return the text of docs/operators/METRICS.md.

    Returns
    -------
    text : str
        Markdown with a row for each metric that the product registers.
    """
    for package in PRODUCT:
        path = importlib.import_module(package).__path__
        for module in pkgutil.walk_packages(path, prefix=f"{package}."):
            if ".tests" not in module.name:
                importlib.import_module(module.name)
    rows = []
    for collector in list(REGISTRY._collector_to_names):
        if not getattr(collector, "_name", "").startswith("magnoliagrade_"):
            continue
        (family,) = collector.describe()
        suffix = "_total" if family.type == "counter" else ""
        labels = ", ".join(collector._labelnames)
        rows.append(
            f"| {family.name}{suffix} | {family.type} | {labels} "
            f"| {family.documentation} |"
        )
    return METRICS_HEAD + "\n".join(sorted(rows)) + "\n"


def pages():
    """Return the text of each page that is made from code, by path under docs/."""
    return {
        "ERRORS.md": errors_page(),
        "SETTINGS.md": settings_page(),
        "operators/LOGS.md": events_page(),
        "operators/METRICS.md": metrics_page(),
    }


def write_pages(folder):
    """Write every page that is made from code.

    Parameters
    ----------
    folder : str
        The directory `docs`.
    """
    for name, text in pages().items():
        pathlib.Path(folder, name).write_text(text, encoding="utf-8")


def _events_in(path, root):
    rows = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if not isinstance(node, ast.Call):
            continue
        called = getattr(node.func, "id", getattr(node.func, "attr", ""))
        if called == "log_event" and len(node.args) > 1:
            events = _literals(node.args[1])
        elif called in ("error", "exception") and _is_logger(node.func):
            events = _literals(node.args[0])
        else:
            continue
        fields = sorted({k.arg or "..." for k in node.keywords} - _NO_FIELDS)
        module = path.relative_to(root).with_suffix("").as_posix().replace("/", ".")
        rows |= {f"| {event} | {', '.join(fields)} | {module} |" for event in events}
    return rows


def _literals(node):
    if isinstance(node, ast.IfExp):
        return _literals(node.body) + _literals(node.orelse)
    return [ast.literal_eval(node)]


_NO_FIELDS = {"level", "exc_info", "extra"}


def _is_logger(function):
    return getattr(getattr(function, "value", None), "id", "") == "_log"
