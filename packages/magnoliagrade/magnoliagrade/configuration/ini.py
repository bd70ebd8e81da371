"""The INI form of the operators' configuration."""

import configparser
import re

from magnoliagrade.algorithms import parse_selector
from magnoliagrade.configuration.document import Configuration
from magnoliagrade.configuration.problems import InvalidDocument, Problem
from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.world import (
    Application,
    DataCentre,
    Group,
    Organisation,
    Pool,
    Route,
    Work,
)

__all__ = ["parse_configuration"]

_NAME = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$")


def parse_configuration(text, *, revision=0, file="configuration"):
    """Return the configuration that a text describes.

    Parameters
    ----------
    text : str
        INI with sections `[KIND NAME]`, where KIND is one of `data_centre`,
        `pool`, `route`, `application`, `organisation`, `endpoint` and `group`.
    revision : int
        Revision of the result.
    file : str
        Name of the file for problems.

    Returns
    -------
    configuration : Configuration
        The parsed configuration.

    Raises
    ------
    InvalidDocument
        With every problem of the text.
    """
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    parser.optionxform = str
    try:
        parser.read_string(text, source=file)
    except configparser.Error as exc:
        problem = Problem(
            file=file, line=getattr(exc, "lineno", None) or 0, allowed=exc.message
        )
        raise InvalidDocument(ErrorKind.CONFIGURATION_INVALID, [problem]) from exc
    reader = _Reader(file=file, text=text)
    configuration = Configuration(revision=revision)
    for section in parser.sections():
        reader.read_section(configuration, section, parser[section])
    reader.check_references(configuration)
    if reader.problems:
        raise InvalidDocument(ErrorKind.CONFIGURATION_INVALID, reader.problems)
    configuration.__post_init__()
    return configuration


class _Reader:
    """Reads sections one by one and gathers problems.

    Parameters
    ----------
    file : str
        Name of the file.
    text : str
        The whole text, to find line numbers.
    """

    __slots__ = ("_file", "_line_by_place", "problems")

    def __init__(self, *, file, text):
        self._file = file
        self._line_by_place = _line_numbers(text)
        self.problems = []

    def read_section(self, configuration, section, values):
        """Add the object that one section describes."""
        kind, _, name = section.partition(" ")
        name = name.strip()
        reader = _READER_BY_KIND.get(kind)
        if reader is None:
            known = ", ".join(sorted(_READER_BY_KIND))
            self.report(section, "", f"unknown kind {kind!r}; known: {known}")
            return
        if not _NAME.match(name):
            self.report(section, "", f"name {name!r} is not allowed")
            return
        fields = _Fields(reader=self, section=section, values=dict(values))
        reader(configuration, name, fields)
        fields.finish()

    def check_references(self, configuration):
        """Report names that nothing defines."""
        for route in configuration.route_by_name.values():
            if route.pool not in configuration.pool_by_name:
                section = f"route {route.name}"
                self.report(section, "pool", f"pool {route.pool!r} is not defined")

    def report(self, section, key, allowed):
        """Note a problem."""
        line = self._line_by_place.get((section, key), 0)
        self.problems.append(
            Problem(
                file=self._file, line=line, section=section, key=key, allowed=allowed
            )
        )


class _Fields:
    """Values of one section, taken out one by one.

    Parameters
    ----------
    reader : _Reader
        Where problems go.
    section : str
        Name of the section.
    values : dict of str to str
        Its keys and texts.
    """

    __slots__ = ("_reader", "_section", "_values")

    def __init__(self, *, reader, section, values):
        self._reader = reader
        self._section = section
        self._values = values

    def text(self, key, default="", *, choices=()):
        """Return a text, optionally one of several."""
        value = self._values.pop(key, default)
        if choices and value not in choices:
            allowed = f"{value!r} is not one of {', '.join(choices)}"
            self._reader.report(self._section, key, allowed)
        return value

    def number(self, key, default, *, low, high, kind=float):
        """Return a number within bounds."""
        text = self._values.pop(key, str(default))
        try:
            value = kind(text)
        except ValueError:
            value = None
        if value is None or not low <= value <= high:
            allowed = f"{text!r} is not a number from {low} to {high}"
            self._reader.report(self._section, key, allowed)
            return default
        return value

    def names(self, key):
        """Return a list of texts separated by commas."""
        parts = self._values.pop(key, "").split(",")
        return [p.strip() for p in parts if p.strip()]

    def labels(self, key="labels"):
        """Return labels written as `a=b, c=d`."""
        labels = {}
        for part in self.names(key):
            name, equals, value = part.partition("=")
            if not equals or not _NAME.match(name.strip()):
                self._reader.report(self._section, key, f"{part!r} is not name=value")
                continue
            labels[name.strip()] = value.strip()
        return labels

    def selector(self, key):
        """Return the text of a selector after checking it."""
        text = self._values.pop(key, "")
        try:
            parse_selector(text)
        except MagnoliagradeError as exc:
            self._reader.report(self._section, key, exc.detail)
        return text

    def options(self, prefix):
        """Return the remaining keys that start with a prefix."""
        keys = [k for k in self._values if k.startswith(prefix)]
        return {k: self._values.pop(k) for k in keys}

    def finish(self):
        """Report keys that nothing took."""
        for key in self._values:
            self._reader.report(self._section, key, "unknown key")


def _read_data_centre(configuration, name, fields):
    configuration.data_centre_by_name[name] = DataCentre(
        name=name, region=fields.text("region"), labels=fields.labels()
    )


def _read_pool(configuration, name, fields):
    configuration.pool_by_name[name] = Pool(
        name=name,
        endpoint_selector=fields.selector("endpoint_selector"),
        data_centre_selector=fields.selector("data_centre_selector"),
        routing=fields.text("routing", "prefix-affinity"),
        cold_limit=fields.number("cold_limit", 2, low=1, high=10**9, kind=int),
        full_limit=fields.number("full_limit", 16, low=1, high=10**9, kind=int),
        retry_budget=fields.number("retry_budget", 0.1, low=0, high=1),
        options=fields.options("option."),
    )


def _read_route(configuration, name, fields):
    configuration.route_by_name[name] = Route(
        name=name,
        pool=fields.text("pool"),
        request_selector=fields.selector("request_selector"),
        order=fields.number("order", 100, low=0, high=10**6, kind=int),
    )


def _read_application(configuration, name, fields):
    works = [w.value for w in Work]
    work = fields.text("work", "model", choices=works)
    configuration.application_by_name[name] = Application(
        name=name,
        work=Work(work) if work in works else Work.MODEL,
        idempotent_paths=fields.names("idempotent_paths"),
        deadline_s=fields.number("deadline_s", 60.0, low=0.001, high=86400),
    )


def _read_organisation(configuration, name, fields):
    configuration.organisation_by_name[name] = Organisation(
        name=name,
        share=fields.number("share", 1.0, low=0.001, high=10**6),
        rate_tokens_per_s=fields.number("rate_tokens_per_s", 0.0, low=0, high=10**9),
        key_digests=fields.names("key_digests"),
        labels=fields.labels(),
    )


def _read_endpoint(configuration, name, fields):
    configuration.endpoint_labels_by_name[name] = fields.labels()


def _read_group(configuration, name, fields):
    frozen = fields.text("frozen", "false", choices=("true", "false"))
    configuration.group_by_name[name] = Group(
        name=name,
        ranks=fields.number("ranks", 1, low=1, high=4096, kind=int),
        experts=fields.number("experts", 1, low=1, high=65536, kind=int),
        layers=fields.number("layers", 1, low=1, high=4096, kind=int),
        slots_per_rank=fields.number("slots_per_rank", 1, low=1, high=65536, kind=int),
        rebalancing=fields.text("rebalancing", "static"),
        is_frozen=frozen == "true",
        pinned_version=fields.number(
            "pinned_version", 0, low=0, high=2**63 - 1, kind=int
        ),
        options=fields.options("option."),
    )


_READER_BY_KIND = {
    "data_centre": _read_data_centre,
    "pool": _read_pool,
    "route": _read_route,
    "application": _read_application,
    "organisation": _read_organisation,
    "endpoint": _read_endpoint,
    "group": _read_group,
}


def _line_numbers(text):
    line_by_place = {}
    section = ""
    for number, line in enumerate(text.splitlines(), start=1):
        stripped = line.strip()
        if stripped.startswith("[") and stripped.endswith("]"):
            section = stripped[1:-1]
            line_by_place.setdefault((section, ""), number)
        elif m := re.match(r"([^=:]+?)\s*[=:]", stripped):
            line_by_place.setdefault((section, m[1]), number)
    return line_by_place
