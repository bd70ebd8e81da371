"""Writing the configuration as INI, in one canonical form."""

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
        What to write.

    Returns
    -------
    text : str
        INI that `parse_configuration` reads as an equal configuration. Kinds and
        names are in order, values that equal their default are left out.

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
        What to write.
    kind : str
        Kind of section.

    Returns
    -------
    text_by_name : dict of str to str
        Each text ends with an empty line.
    """
    rows_by_name = section_writers.get(kind)(configuration)
    return {
        name: _format_section(kind, name, rows) for name, rows in rows_by_name.items()
    }


def _format_section(kind, name, rows):
    lines = [f"[{kind} {name}]", *(f"{k} = {v}" for k, v in rows.items()), "", ""]
    return "\n".join(lines)


def _write_objects(attribute):
    def write(configuration):
        by_name = getattr(configuration, attribute)
        return {name: _rows(item) for name, item in by_name.items()}

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


def _rows(item):
    rows = {}
    for field in dataclasses.fields(item):
        value = getattr(item, field.name)
        if field.name == "name" or _is_default(field, value):
            continue
        if field.name == "options":
            rows.update(sorted(value.items()))
            continue
        rows[field.name.removeprefix("is_")] = _format_value(value)
    return rows


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
