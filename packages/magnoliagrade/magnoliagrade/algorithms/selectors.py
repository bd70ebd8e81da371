"""Label selectors in the equality and set syntax of Kubernetes."""

import functools
import re
from dataclasses import dataclass

from magnoliagrade.errors import ErrorKind, MagnoliagradeError

__all__ = ["Requirement", "Selector", "parse_selector"]

_NAME = r"[A-Za-z0-9](?:[A-Za-z0-9._/-]*[A-Za-z0-9])?"
_VALUE = r"[A-Za-z0-9](?:[A-Za-z0-9._-]*[A-Za-z0-9])?"
_EQUALITY = re.compile(rf"^({_NAME})\s*(==|=|!=)\s*({_VALUE})?$")
_SET = re.compile(rf"^({_NAME})\s+(in|notin)\s+\(([^()]*)\)$")
_EXISTS = re.compile(rf"^(!?)\s*({_NAME})$")
_SEPARATOR = re.compile(r",(?![^()]*\))")


@dataclass(frozen=True, slots=True)
class Requirement:
    """One condition on one label.

    Parameters
    ----------
    name : str
        Name of the label.
    operator : str
        One of `in`, `notin`, `exists`, `absent`.
    values : frozenset of str
        Values for `in` and `notin`.
    """

    name: str
    operator: str
    values: frozenset = frozenset()

    def matches(self, labels):
        """Return whether labels satisfy the condition."""
        if self.operator == "exists":
            return self.name in labels
        if self.operator == "absent":
            return self.name not in labels
        is_member = labels.get(self.name) in self.values
        return is_member if self.operator == "in" else not is_member


@dataclass(frozen=True, slots=True)
class Selector:
    """Conjunction of conditions on labels.

    Parameters
    ----------
    requirements : tuple of Requirement
        The conditions; an empty tuple selects everything.
    """

    requirements: tuple = ()

    def matches(self, labels):
        """Return whether labels satisfy every condition.

        Parameters
        ----------
        labels : dict of str to str
            Labels of an endpoint, a data centre or a request.
        """
        return all(r.matches(labels) for r in self.requirements)


@functools.lru_cache(maxsize=4096)
def parse_selector(text):
    """Return the selector that a text specifies.

    Parameters
    ----------
    text : str
        Conditions separated by commas: `a=b`, `a!=b`, `a in (b, c)`,
        `a notin (b)`, `a`, `!a`. Empty text selects everything.

    Returns
    -------
    selector : Selector
        The parsed selector.

    Raises
    ------
    MagnoliagradeError
        `CONFIGURATION_INVALID` with the part that cannot be parsed.

    Examples
    --------
    >>> parse_selector("zone in (a, b), !cold").matches({"zone": "a"})
    True
    >>> parse_selector("zone!=a").matches({})
    True
    """
    parts = [p.strip() for p in _SEPARATOR.split(text)]
    if parts == [""]:
        return Selector()
    return Selector(tuple(_parse_requirement(p) for p in parts))


def _parse_requirement(part):
    if m := _EQUALITY.match(part):
        operator = "notin" if m[2] == "!=" else "in"
        return Requirement(m[1], operator, frozenset([m[3] or ""]))
    if m := _SET.match(part):
        values = frozenset(v.strip() for v in m[3].split(","))
        if all(re.fullmatch(_VALUE, v) for v in values):
            return Requirement(m[1], m[2], values)
    if m := _EXISTS.match(part):
        return Requirement(m[2], "absent" if m[1] else "exists")
    detail = (
        f"selector part {part!r} cannot be parsed; allowed: a=b, a==b, a!=b, "
        "a in (b, c), a notin (b, c), a, !a"
    )
    raise MagnoliagradeError(ErrorKind.CONFIGURATION_INVALID, detail)
