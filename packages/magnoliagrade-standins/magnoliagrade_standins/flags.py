"""Command-line flags that set the fields of plans."""

import dataclasses
import sys

__all__ = ["EXIT_UNKNOWN_FLAG", "split_flags"]

EXIT_UNKNOWN_FLAG = 2


def split_flags(flags, *classes, without=()):
    """Return the flags that belong to each class of plan.

    Prints the known flags and exits with `EXIT_UNKNOWN_FLAG` if a flag belongs to no
    class.

    Parameters
    ----------
    flags : dict of str to object
        Values of flags by name.
    *classes : type
        Dataclasses of plans.
    without : sequence of str
        Names of fields that are not flags of this command.

    Returns
    -------
    flags_by_class : list of dict of str to object
        One dictionary for each class, in the order of the classes.

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
        known_flags = ", ".join(f"--{name}" for name in sorted(known))
        print(f"unknown flag --{unknown[0]}; known: {known_flags}", file=sys.stderr)
        sys.exit(EXIT_UNKNOWN_FLAG)
    return [
        {name: value for name, value in flags.items() if name in names}
        for names in names_by_class.values()
    ]
