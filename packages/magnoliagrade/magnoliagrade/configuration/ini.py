"""Parsing of the operators' configuration from INI."""

import configparser
import re

from magnoliagrade.configuration.document import Configuration
from magnoliagrade.configuration.fields import NAME_PATTERN, SectionFields
from magnoliagrade.configuration.group_section import read_group
from magnoliagrade.configuration.problems import InvalidDocument, Problem
from magnoliagrade.errors import ErrorKind
from magnoliagrade.registry import Registry
from magnoliagrade.world import (
    ROUTING_NAMES,
    Application,
    DataCentre,
    Organisation,
    Pool,
    Route,
    Work,
)

__all__ = ["check_references", "parse_configuration", "section_readers"]

section_readers = Registry(family="kind of section")

_HEADER = re.compile(r"\[(.+)\]")
_DIGEST = re.compile(r"[0-9a-f]{64}")


def parse_configuration(text, *, revision=0, file="configuration", is_complete=True):
    r"""Return the configuration parsed from a text.

    Parameters
    ----------
    text : str
        INI with sections `[KIND NAME]`, where KIND is one of `section_readers`.
    revision : int
        Revision of the result.
    file : str
        Name of the file, used in reported problems.
    is_complete : bool
        Whether the text is a complete configuration, so that every name that it
        refers to must be defined in it.

    Returns
    -------
    configuration : Configuration
        The parsed configuration.

    Raises
    ------
    InvalidDocument
        If the text has problems; the error holds all of them.

    Notes
    -----
    A value may continue on indented lines. Each run of white space in a value is
    replaced by one space.

    Examples
    --------
    >>> c = parse_configuration("[organisation o]\nshare = 2")
    >>> c.organisation_by_name["o"].share
    2.0
    """
    parser = _parse_ini(text, file)
    reader = _DocumentReader(file=file, text=text)
    configuration = Configuration(revision=revision)
    for section in parser.sections():
        reader.read_section(configuration, section, parser[section])
    if is_complete:
        check_references(configuration, reader.report)
    if reader.problems:
        raise InvalidDocument(ErrorKind.CONFIGURATION_INVALID, reader.problems)
    configuration.index()
    return configuration


def check_references(configuration, report):
    """Report undefined names and API keys that two organisations share.

    Parameters
    ----------
    configuration : Configuration
        A complete configuration.
    report : callable
        Called with section, key and a text that describes the problem.
    """
    for route in configuration.route_by_name.values():
        if route.pool not in configuration.pool_by_name:
            allowed = f"pool {route.pool!r} is not defined by any [pool NAME] section"
            report(f"route {route.name}", "pool", allowed)
    owner_by_digest = {}
    for organisation in configuration.organisation_by_name.values():
        for digest in organisation.key_digests:
            owner = owner_by_digest.setdefault(digest, organisation.name)
            if owner != organisation.name:
                allowed = f"digest {digest!r} already belongs to organisation {owner!r}"
                report(f"organisation {organisation.name}", "key_digests", allowed)


def _parse_ini(text, file):
    # A section cannot have an empty name, so no section is taken for the defaults.
    parser = configparser.ConfigParser(
        interpolation=None, strict=True, default_section=""
    )
    parser.optionxform = str
    try:
        text.encode()
        parser.read_string(text, source=file)
    except UnicodeEncodeError as exc:
        line = text.count("\n", 0, exc.start) + 1
        problem = Problem(
            file=file, line=line, allowed=f"text is not valid Unicode: {exc.reason}"
        )
        raise InvalidDocument(ErrorKind.CONFIGURATION_INVALID, [problem]) from exc
    except configparser.ParsingError as exc:
        # A missing section header is given by `lineno` and `line`; other syntax errors
        # are given by the list `errors`.
        errors = getattr(exc, "errors", None) or [(exc.lineno, exc.line)]
        problems = [
            Problem(
                file=file,
                line=number,
                allowed=f"expected [KIND NAME] or key = value, got {line}",
            )
            for number, line in errors
        ]
        raise InvalidDocument(ErrorKind.CONFIGURATION_INVALID, problems) from exc
    except configparser.Error as exc:
        line = getattr(exc, "lineno", None) or 0
        problem = Problem(file=file, line=line, allowed=exc.message)
        raise InvalidDocument(ErrorKind.CONFIGURATION_INVALID, [problem]) from exc
    return parser


class _DocumentReader:
    """Reads sections into a configuration and collects problems.

    Parameters
    ----------
    file : str
        Name of the file, used in problems.
    text : str
        The complete text, used to find line numbers.
    """

    __slots__ = ("_file", "_line_by_section_key", "_seen", "_text", "problems")

    def __init__(self, *, file, text):
        self._file = file
        self._text = text
        self._line_by_section_key = None
        self._seen = set()
        self.problems = []

    def read_section(self, configuration, section, values):
        """Add the object that one section describes to a configuration."""
        kind, _, name = section.partition(" ")
        name = name.strip()
        if kind not in section_readers.by_name:
            known = ", ".join(section_readers.names())
            self.report(section, "", f"unknown kind {kind!r}; allowed: {known}")
            return
        if not NAME_PATTERN.fullmatch(name):
            self.report(
                section, "", f"name {name!r} does not match {NAME_PATTERN.pattern}"
            )
            return
        if (kind, name) in self._seen:
            self.report(section, "", f"{kind} {name!r} is defined more than once")
            return
        self._seen.add((kind, name))
        collapsed = {
            _collapse_whitespace(k): _collapse_whitespace(v) for k, v in values.items()
        }
        fields = SectionFields(reader=self, section=section, values=collapsed)
        section_readers.get(kind)(configuration, name, fields)
        fields.report_unknown_keys()

    def report(self, section, key, allowed):
        """Record a problem with the line number of its key or section."""
        if self._line_by_section_key is None:
            self._line_by_section_key = _line_numbers(self._text)
        header = self._line_by_section_key.get((_collapse_whitespace(section), ""), 0)
        line = self._line_by_section_key.get(
            (_collapse_whitespace(section), key), header
        )
        self.problems.append(
            Problem(
                file=self._file, line=line, section=section, key=key, allowed=allowed
            )
        )


@section_readers.register("data_centre")
def _read_data_centre(configuration, name, fields):
    configuration.data_centre_by_name[name] = DataCentre(
        name=name, region=fields.text("region"), labels=fields.labels()
    )


@section_readers.register("pool")
def _read_pool(configuration, name, fields):
    configuration.pool_by_name[name] = Pool(
        name=name,
        endpoint_selector=fields.selector("endpoint_selector"),
        data_centre_selector=fields.selector("data_centre_selector"),
        routing=fields.text("routing", "prefix-affinity", choices=ROUTING_NAMES),
        cold_limit=fields.number("cold_limit", 2, low=1, high=10**9, kind=int),
        full_limit=fields.number("full_limit", 16, low=1, high=10**9, kind=int),
        retry_budget=fields.number("retry_budget", 0.1, low=0, high=1),
        options=fields.options("option."),
    )


@section_readers.register("route")
def _read_route(configuration, name, fields):
    configuration.route_by_name[name] = Route(
        name=name,
        pool=fields.text("pool"),
        request_selector=fields.selector("request_selector"),
        order=fields.number("order", 100, low=0, high=10**6, kind=int),
    )


@section_readers.register("application")
def _read_application(configuration, name, fields):
    work_values = [w.value for w in Work]
    work = fields.text("work", "model", choices=work_values)
    configuration.application_by_name[name] = Application(
        name=name,
        work=Work(work) if work in work_values else Work.MODEL,
        idempotent_paths=fields.text_list("idempotent_paths"),
        deadline_s=fields.number("deadline_s", 60.0, low=0.001, high=86400),
    )


@section_readers.register("organisation")
def _read_organisation(configuration, name, fields):
    configuration.organisation_by_name[name] = Organisation(
        name=name,
        share=fields.number("share", 1.0, low=0.001, high=10**6),
        rate_tokens_per_s=fields.number("rate_tokens_per_s", 0.0, low=0, high=10**9),
        key_digests=fields.matching_texts(
            "key_digests",
            _DIGEST,
            "a SHA-256 digest (64 lower-case hex digits)",
        ),
        labels=fields.labels(),
    )


@section_readers.register("endpoint")
def _read_endpoint(configuration, name, fields):
    configuration.endpoint_labels_by_name[name] = fields.labels()


section_readers.register("group")(read_group)


def _collapse_whitespace(text):
    return " ".join(text.split())


def _line_numbers(text):
    line_by_section_key = {}
    section = ""
    for number, line in enumerate(text.split("\n"), start=1):
        stripped = line.strip()
        if m := _HEADER.match(stripped):
            section = _collapse_whitespace(m[1])
            line_by_section_key.setdefault((section, ""), number)
        elif m := re.match(r"([^=:]+?)\s*[=:]", stripped):
            line_by_section_key.setdefault(
                (section, _collapse_whitespace(m[1])), number
            )
    return line_by_section_key
