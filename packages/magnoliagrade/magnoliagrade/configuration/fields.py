"""Values of one section of the configuration, taken out and checked one by one."""

import re

from magnoliagrade.algorithms import parse_selector
from magnoliagrade.errors import MagnoliagradeError

__all__ = ["NAME_PATTERN", "SectionFields"]

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")


class SectionFields:
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

    def matching_names(self, key, pattern, what):
        """Return a list of texts that each have to match a pattern."""
        names = self.names(key)
        for name in names:
            if not pattern.fullmatch(name):
                self._reader.report(self._section, key, f"{name!r} is not {what}")
        return names

    def labels(self, key="labels"):
        """Return labels written as `a=b, c=d`."""
        labels = {}
        for part in self.names(key):
            name, equals, value = part.partition("=")
            if not equals or not NAME_PATTERN.fullmatch(name.strip()):
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

    def report(self, key, text):
        """Report what is wrong with a key."""
        self._reader.report(self._section, key, text)

    def finish(self):
        """Report keys that nothing took."""
        for key in self._values:
            self._reader.report(self._section, key, "unknown key")
