"""Settings of one process, read from an INI file and validated."""

import configparser
import dataclasses
import os
import re

from magnoliagrade.configuration.problems import InvalidDocument, Problem
from magnoliagrade.errors import ErrorKind

__all__ = ["describe_settings", "read_settings", "same_addresses", "setting"]

ADDRESS = re.compile(r"^[0-9A-Za-z_.:-]+:\d{1,5}$")
URL = re.compile(r"^https?://[0-9A-Za-z_.:\[\]-]+(/\S*)?$")
_MISSING = dataclasses.MISSING


def setting(
    *,
    section,
    doc,
    default=_MISSING,
    unit="",
    low=None,
    high=None,
    choices=(),
    address=False,
    url=False,
    env="",
):
    """Return a dataclass field that describes one setting.

    Parameters
    ----------
    section : str
        Section of the INI file; the key is the field's name.
    doc : str
        Effect of the setting, for the page of settings.
    default : object
        Value if the file has none; a setting without a default is required.
    unit : str
        Unit of the value.
    low, high : float, optional
        Minimum and maximum value.
    choices : sequence of str
        Allowed values of a text.
    address : bool
        Whether the value is a `host:port`.
    url : bool
        Whether the value is an HTTP URL.
    env : str
        Environment variable that overrides the file.
    """
    metadata = {
        "section": section,
        "doc": doc,
        "unit": unit,
        "low": low,
        "high": high,
        "choices": tuple(choices),
        "address": address,
        "url": url,
        "env": env,
    }
    return dataclasses.field(default=default, metadata=metadata)


def read_settings(cls, path, *, environ=None):
    """Return the settings read from a file.

    Parameters
    ----------
    cls : type
        Dataclass whose fields were created by `setting`. Its method `combinations`, if
        any, returns a text for each invalid combination of values.
    path : str
        INI file.
    environ : mapping, optional
        Environment variables; those of the process by default.

    Returns
    -------
    settings : cls
        Validated settings.

    Raises
    ------
    InvalidDocument
        If the file has problems; the error holds all of them.
    """
    environ = os.environ if environ is None else environ
    parser = _read_ini(path)
    field_by_section_key = {(f.metadata["section"], f.name): f for f in _fields(cls)}
    problems = _unknown_keys(parser, field_by_section_key, path)
    values = {}
    for (section, key), field in field_by_section_key.items():
        text = parser.get(section, key, fallback=None)
        text = environ.get(field.metadata["env"], text)
        if text is None:
            if field.default is _MISSING:
                allowed = f"missing, but required: {_allowed_text(field)}"
                problems.append(_problem(path, section, key, allowed))
            continue
        try:
            values[key] = _convert(field, text.strip())
        except ValueError:
            allowed = f"{text!r} is not {_allowed_text(field)}"
            problems.append(_problem(path, section, key, allowed))
    if problems:
        raise InvalidDocument(ErrorKind.SETTINGS_INVALID, problems)
    settings = cls(**values)
    combinations = getattr(settings, "combinations", list)()
    if combinations:
        found = [_problem(path, "", "", text) for text in combinations]
        raise InvalidDocument(ErrorKind.SETTINGS_INVALID, found)
    return settings


def describe_settings(cls):
    """Return a table of all settings of a class as Markdown lines."""
    rows = ["| section | key | default | allowed | meaning |", "|---|---|---|---|---|"]
    for f in _by_section(_fields(cls)):
        default = {_MISSING: "required", "": "empty"}.get(f.default, f"`{f.default}`")
        unit = f" ({f.metadata['unit']})" if f.metadata["unit"] else ""
        override = f"; `{f.metadata['env']}` overrides" if f.metadata["env"] else ""
        rows.append(
            f"| {f.metadata['section']} | {f.name} | {default} | {_allowed_text(f)} "
            f"| {f.metadata['doc']}{unit}{override} |"
        )
    return rows


def _by_section(fields):
    # Sections are listed in the order of their first field.
    sections = list(dict.fromkeys(f.metadata["section"] for f in fields))
    return sorted(fields, key=lambda f: sections.index(f.metadata["section"]))


def same_addresses(settings):
    """Return a text for each pair of listeners with the same address.

    Parameters
    ----------
    settings : object
        Instance of a dataclass whose fields were created by `setting`.
    """
    key_by_address = {}
    problems = []
    for field in _fields(type(settings)):
        address = getattr(settings, field.name)
        if not field.name.endswith("_address") or not _has_fixed_port(address):
            continue
        if field.name.startswith("advertised"):
            continue
        first_key = key_by_address.setdefault(address, field.name)
        if first_key != field.name:
            problems.append(
                f"{first_key} and {field.name} are both {address}; they must differ"
            )
    return problems


def _has_fixed_port(address):
    return ":" in address and not address.endswith(":0")


def _fields(cls):
    return [f for f in dataclasses.fields(cls) if "section" in f.metadata]


def _read_ini(path):
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    parser.optionxform = str
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, UnicodeDecodeError, configparser.Error) as exc:
        problem = _problem(path, "", "", f"cannot be read: {exc}")
        raise InvalidDocument(ErrorKind.SETTINGS_INVALID, [problem]) from exc
    return parser


def _unknown_keys(parser, field_by_section_key, path):
    sections = {section for section, _ in field_by_section_key}
    problems = []
    for section in parser.sections():
        if section not in sections:
            allowed = f"unknown section; allowed: {', '.join(sorted(sections))}"
            problems.append(_problem(path, section, "", allowed))
            continue
        known = sorted(k for s, k in field_by_section_key if s == section)
        for key in parser.options(section):
            if key not in known:
                allowed = f"unknown key; allowed: {', '.join(known)}"
                problems.append(_problem(path, section, key, allowed))
    return problems


def _problem(path, section, key, allowed):
    return Problem(file=str(path), section=section, key=key, allowed=allowed)


def _convert(field, text):
    meta = field.metadata
    if field.type is bool:
        states = configparser.ConfigParser.BOOLEAN_STATES
        if text.lower() not in states:
            raise ValueError(text)
        return states[text.lower()]
    if field.type in (int, float):
        value = field.type(text)
        too_low = meta["low"] is not None and value < meta["low"]
        too_high = meta["high"] is not None and value > meta["high"]
        if too_low or too_high or value != value:
            raise ValueError(text)
        return value
    if text == "" and field.default == "":
        return text
    if text == "" or (meta["choices"] and text not in meta["choices"]):
        raise ValueError(text)
    if meta["url"] and not URL.match(text):
        raise ValueError(text)
    if meta["address"] and not (ADDRESS.match(text) and _port(text) <= 65535):
        raise ValueError(text)
    return text


def _port(text):
    return int(text.rpartition(":")[2])


def _allowed_text(field):
    meta = field.metadata
    if meta["choices"]:
        return "one of " + ", ".join(meta["choices"])
    or_empty = " or empty" if field.default == "" else ""
    if meta["address"]:
        return f"a host:port{or_empty}"
    if meta["url"]:
        return f"an http:// or https:// URL{or_empty}"
    if field.type is bool:
        return "true or false"
    if field.type in (int, float):
        kind = "an integer" if field.type is int else "a number"
        low = "" if meta["low"] is None else f" from {meta['low']}"
        high = "" if meta["high"] is None else f" to {meta['high']}"
        return f"{kind}{low}{high}"
    return "any text" if field.default == "" else "a non-empty text"
