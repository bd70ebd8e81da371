"""Differences between two configurations."""

from dataclasses import dataclass

from magnoliagrade.configuration.ini_writer import section_writers

__all__ = ["Difference", "differences"]


@dataclass(slots=True, kw_only=True, frozen=True)
class Difference:
    """One value that differs between two configurations.

    Parameters
    ----------
    section : str
        Section as `KIND NAME`.
    key : str
        Key, or empty for a section that was added or removed.
    before : str or None
        Text before the change; None if there was none.
    after : str or None
        Text after the change; None if there is none.
    """

    section: str
    key: str
    before: str | None
    after: str | None


def differences(before, after):
    r"""Return the values that differ between two configurations, sorted.

    Parameters
    ----------
    before, after : Configuration
        Configurations to compare.

    Returns
    -------
    rows : list of Difference
        One row per value, by kind, name and key of its section. A section that only
        one of the two has is one row with an empty key.

    Examples
    --------
    >>> from magnoliagrade.configuration.ini import parse_configuration
    >>> a = parse_configuration("[endpoint e]")
    >>> b = parse_configuration("[endpoint e]\nlabels = x=1")
    >>> differences(a, b)[0].after
    'x=1'
    """
    rows = []
    for kind in section_writers.names():
        old_by_name = section_writers.get(kind)(before)
        new_by_name = section_writers.get(kind)(after)
        for name in sorted(old_by_name.keys() | new_by_name.keys()):
            old, new = old_by_name.get(name), new_by_name.get(name)
            if old != new:
                rows.extend(_section_rows(f"{kind} {name}", old, new))
    return rows


def _section_rows(section, old, new):
    if old is None or new is None:
        return [
            Difference(
                section=section, key="", before=_one_line(old), after=_one_line(new)
            )
        ]
    return [
        Difference(section=section, key=key, before=old.get(key), after=new.get(key))
        for key in sorted(old.keys() | new.keys())
        if old.get(key) != new.get(key)
    ]


def _one_line(values):
    if values is None:
        return None
    return "; ".join(f"{k} = {v}" for k, v in values.items())
