"""The INI form of the operators' configuration."""

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


def parse_configuration(text, *, revision=0, file="configuration", is_whole=True):
    r"""Return the configuration that a text describes.

    Parameters
    ----------
    text : str
        INI with sections `[KIND NAME]`, where KIND is one of `section_readers`.
    revision : int
        Revision of the result.
    file : str
        Name of the file for problems.
    is_whole : bool
        Whether the text is a whole configuration, so that each name that it
        uses has to be defined in it.

    Returns
    -------
    configuration : Configuration
        The parsed configuration.

    Raises
    ------
    InvalidDocument
        With every problem of the text.

    Notes
    -----
    A value may go on in indented lines; every run of white space in it counts
    as one space.

    Examples
    --------
    >>> c = parse_configuration("[organisation o]\nshare = 2")
    >>> c.organisation_by_name["o"].share
    2.0
    """
    parser = _parse_ini(text, file)
    reader = _Reader(file=file, text=text)
    configuration = Configuration(revision=revision)
    for section in parser.sections():
        reader.read_section(configuration, section, parser[section])
    if is_whole:
        check_references(configuration, reader.report)
    if reader.problems:
        raise InvalidDocument(ErrorKind.CONFIGURATION_INVALID, reader.problems)
    configuration.index()
    return configuration


def check_references(configuration, report):
    """Report names that nothing defines and keys that two organisations share.

    Parameters
    ----------
    configuration : Configuration
        A whole configuration.
    report : callable
        Called with section, key and what is wrong.
    """
    for route in configuration.route_by_name.values():
        if route.pool not in configuration.pool_by_name:
            allowed = f"pool {route.pool!r} is not defined"
            report(f"route {route.name}", "pool", allowed)
    owner_by_digest = {}
    for organisation in configuration.organisation_by_name.values():
        for digest in organisation.key_digests:
            owner = owner_by_digest.setdefault(digest, organisation.name)
            if owner != organisation.name:
                allowed = f"key {digest!r} belongs to organisation {owner!r}"
                report(f"organisation {organisation.name}", "key_digests", allowed)


def _parse_ini(text, file):
    # No text can be the name "" of a section, so no section holds defaults.
    parser = configparser.ConfigParser(
        interpolation=None, strict=True, default_section=""
    )
    parser.optionxform = str
    try:
        text.encode()
        parser.read_string(text, source=file)
    except UnicodeEncodeError as exc:
        line = text.count("\n", 0, exc.start) + 1
        problem = Problem(file=file, line=line, allowed="the text is not Unicode")
        raise InvalidDocument(ErrorKind.CONFIGURATION_INVALID, [problem]) from exc
    except configparser.ParsingError as exc:
        # A missing header has a line of its own; other faults come as a list.
        errors = getattr(exc, "errors", None) or [(exc.lineno, exc.line)]
        problems = [
            Problem(file=file, line=number, allowed=f"{line} is not key = value")
            for number, line in errors
        ]
        raise InvalidDocument(ErrorKind.CONFIGURATION_INVALID, problems) from exc
    except configparser.Error as exc:
        line = getattr(exc, "lineno", None) or 0
        problem = Problem(file=file, line=line, allowed=exc.message)
        raise InvalidDocument(ErrorKind.CONFIGURATION_INVALID, [problem]) from exc
    return parser


class _Reader:
    """Reads sections one by one and gathers problems.

    Parameters
    ----------
    file : str
        Name of the file.
    text : str
        The whole text, to find line numbers.
    """

    __slots__ = ("_file", "_line_by_place", "_seen", "_text", "problems")

    def __init__(self, *, file, text):
        self._file = file
        self._text = text
        self._line_by_place = None
        self._seen = set()
        self.problems = []

    def read_section(self, configuration, section, values):
        """Add the object that one section describes."""
        kind, _, name = section.partition(" ")
        name = name.strip()
        if kind not in section_readers.by_name:
            known = ", ".join(section_readers.names())
            self.report(section, "", f"unknown kind {kind!r}; known: {known}")
            return
        if not NAME_PATTERN.fullmatch(name):
            self.report(section, "", f"name {name!r} is not allowed")
            return
        if (kind, name) in self._seen:
            self.report(section, "", f"{kind} {name!r} stands here twice")
            return
        self._seen.add((kind, name))
        folded = {_fold(k): _fold(v) for k, v in values.items()}
        fields = SectionFields(reader=self, section=section, values=folded)
        section_readers.get(kind)(configuration, name, fields)
        fields.finish()

    def report(self, section, key, allowed):
        """Note a problem."""
        if self._line_by_place is None:
            self._line_by_place = _line_numbers(self._text)
        header = self._line_by_place.get((_fold(section), ""), 0)
        line = self._line_by_place.get((_fold(section), key), header)
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
    works = [w.value for w in Work]
    work = fields.text("work", "model", choices=works)
    configuration.application_by_name[name] = Application(
        name=name,
        work=Work(work) if work in works else Work.MODEL,
        idempotent_paths=fields.names("idempotent_paths"),
        deadline_s=fields.number("deadline_s", 60.0, low=0.001, high=86400),
    )


@section_readers.register("organisation")
def _read_organisation(configuration, name, fields):
    configuration.organisation_by_name[name] = Organisation(
        name=name,
        share=fields.number("share", 1.0, low=0.001, high=10**6),
        rate_tokens_per_s=fields.number("rate_tokens_per_s", 0.0, low=0, high=10**9),
        key_digests=fields.matching_names("key_digests", _DIGEST, "a SHA-256 digest"),
        labels=fields.labels(),
    )


@section_readers.register("endpoint")
def _read_endpoint(configuration, name, fields):
    configuration.endpoint_labels_by_name[name] = fields.labels()


section_readers.register("group")(read_group)


def _fold(text):
    return " ".join(text.split())


def _line_numbers(text):
    line_by_place = {}
    section = ""
    for number, line in enumerate(text.split("\n"), start=1):
        stripped = line.strip()
        if m := _HEADER.match(stripped):
            section = _fold(m[1])
            line_by_place.setdefault((section, ""), number)
        elif m := re.match(r"([^=:]+?)\s*[=:]", stripped):
            line_by_place.setdefault((section, _fold(m[1])), number)
    return line_by_place
