"""Formatting of the operators' configuration as canonical INI."""

import dataclasses
import enum

from magnoliagrade.registry import Registry

__all__ = ["format_configuration", "format_sections", "section_writers"]

section_writers = Registry(family="kind of section")


def format_configuration(configuration):
    r"""Return the canonical text of a configuration.

    Parameters
    ----------
    configuration : Configuration
        Configuration to format.

    Returns
    -------
    text : str
        INI that `parse_configuration` parses to an equal configuration. Sections are
        sorted by kind and name; values equal to their default are omitted.

    Examples
    --------
    >>> from magnoliagrade.configuration.ini import parse_configuration
    >>> c = parse_configuration("[endpoint e]\nlabels=b=2,a=1\n")
    >>> print(format_configuration(c), end="")
    [endpoint e]
    labels = a=1, b=2
    <BLANKLINE>
    """
    sections = []
    for kind in section_writers.names():
        text_by_name = format_sections(configuration, kind)
        sections.extend(text_by_name[name] for name in sorted(text_by_name))
    return "".join(sections)


def format_sections(configuration, kind):
    """Return the texts of all sections of one kind, by name.

    Parameters
    ----------
    configuration : Configuration
        Configuration to format.
    kind : str
        Kind of section.

    Returns
    -------
    text_by_name : dict of str to str
        Text of each section, ending with an empty line.
    """
    values_by_name = section_writers.get(kind)(configuration)
    return {
        name: _format_section(kind, name, values)
        for name, values in values_by_name.items()
    }


def _format_section(kind, name, values):
    lines = [f"[{kind} {name}]", *(f"{k} = {v}" for k, v in values.items()), "", ""]
    return "\n".join(lines)


def _write_objects(attribute):
    def write(configuration):
        by_name = getattr(configuration, attribute)
        return {name: _section_values(item) for name, item in by_name.items()}

    return write


for _kind in ("application", "data_centre", "group", "organisation", "pool", "route"):
    section_writers.register(_kind)(_write_objects(f"{_kind}_by_name"))


@section_writers.register("endpoint")
def _write_endpoints(configuration):
    labels_by_name = configuration.endpoint_labels_by_name
    return {
        name: {"labels": _format_labels(labels)} if labels else {}
        for name, labels in labels_by_name.items()
    }


def _section_values(item):
    values = {}
    for field in dataclasses.fields(item):
        value = getattr(item, field.name)
        if field.name == "name" or _is_default(field, value):
            continue
        if field.name == "options":
            values.update(sorted(value.items()))
            continue
        values[field.name.removeprefix("is_")] = _format_value(value)
    return values


def _is_default(field, value):
    if field.default_factory is not dataclasses.MISSING:
        return value == field.default_factory()
    return field.default is not dataclasses.MISSING and value == field.default


def _format_value(value):
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, dict):
        return _format_labels(value)
    if isinstance(value, list):
        return ", ".join(value)
    return str(value)


def _format_labels(labels):
    return ", ".join(f"{k}={v}" for k, v in sorted(labels.items()))
