"""Flags of commands that are fields of plans."""

import dataclasses
import sys

__all__ = ["EXIT_UNKNOWN_FLAG", "split_flags"]

EXIT_UNKNOWN_FLAG = 2


def split_flags(flags, *classes, without=()):
    """Return the flags of each class of plan; exit if one belongs to none.

    Parameters
    ----------
    flags : dict of str to object
        Flags as they were given.
    *classes : type
        Dataclasses.
    without : sequence of str
        Fields that are no flags of this command.

    Returns
    -------
    flags_by_class : list of dict of str to object
        In the order of the classes.

    Examples
    --------
    >>> from magnoliagrade_standins.demo.plan import DemoPlan
    >>> from magnoliagrade_standins.load import LoadPlan
    >>> split_flags({"entries": 3, "seed": 5}, DemoPlan, LoadPlan)
    [{'entries': 3}, {'seed': 5}]
    """
    names_by_class = {
        c: [f.name for f in dataclasses.fields(c) if f.name not in without]
        for c in classes
    }
    known = {name for names in names_by_class.values() for name in names}
    unknown = sorted(set(flags) - known)
    if unknown:
        shown = ", ".join(f"--{name}" for name in sorted(known))
        print(f"unknown flag --{unknown[0]}; known: {shown}", file=sys.stderr)
        sys.exit(EXIT_UNKNOWN_FLAG)
    return [
        {name: value for name, value in flags.items() if name in names}
        for names in names_by_class.values()
    ]
