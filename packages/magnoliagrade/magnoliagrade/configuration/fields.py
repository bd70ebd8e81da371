"""Reading and checking of the values of one section of the configuration."""

import re

from magnoliagrade.algorithms import parse_selector
from magnoliagrade.errors import MagnoliagradeError

__all__ = ["NAME_PATTERN", "SectionFields"]

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")


class SectionFields:
    """Values of one section; each method removes the value that it returns.

    Parameters
    ----------
    reader : _DocumentReader
        Reader that problems are reported to.
    section : str
        Name of the section.
    values : dict of str to str
        Texts of the section by key; modified.
    """

    __slots__ = ("_reader", "_section", "_values")

    def __init__(self, *, reader, section, values):
        self._reader = reader
        self._section = section
        self._values = values

    def text(self, key, default="", *, choices=()):
        """Return the text of a key; report it if it is not one of the choices."""
        value = self._values.pop(key, default)
        if choices and value not in choices:
            allowed = f"{value!r} is not one of {', '.join(choices)}"
            self._reader.report(self._section, key, allowed)
        return value

    def number(self, key, default, *, low, high, kind=float):
        """Return the number of a key, or the default after reporting a bad one."""
        text = self._values.pop(key, str(default))
        try:
            value = kind(text)
        except ValueError:
            value = None
        if value is None or not low <= value <= high:
            allowed = f"{text!r} is not a number ({kind.__name__}) from {low} to {high}"
            self._reader.report(self._section, key, allowed)
            return default
        return value

    def text_list(self, key):
        """Return the comma-separated texts of a key as a list."""
        parts = self._values.pop(key, "").split(",")
        return [p.strip() for p in parts if p.strip()]

    def matching_texts(self, key, pattern, what):
        """Return a list of texts; report those that do not match a pattern."""
        texts = self.text_list(key)
        for text in texts:
            if not pattern.fullmatch(text):
                self._reader.report(self._section, key, f"{text!r} is not {what}")
        return texts

    def labels(self, key="labels"):
        """Return labels written as `a=b, c=d`; report and leave out invalid ones."""
        labels = {}
        for part in self.text_list(key):
            name, equals, value = part.partition("=")
            if not equals or not NAME_PATTERN.fullmatch(name.strip()):
                self._reader.report(
                    self._section,
                    key,
                    f"{part!r} is not name=value; names match {NAME_PATTERN.pattern}",
                )
                continue
            labels[name.strip()] = value.strip()
        return labels

    def selector(self, key):
        """Return the text of a selector; report it if it does not parse."""
        text = self._values.pop(key, "")
        try:
            parse_selector(text)
        except MagnoliagradeError as exc:
            self._reader.report(self._section, key, exc.detail)
        return text

    def options(self, prefix):
        """Return the remaining values whose keys start with a prefix, by key."""
        keys = [k for k in self._values if k.startswith(prefix)]
        return {k: self._values.pop(k) for k in keys}

    def report(self, key, text):
        """Report a problem with the value of a key."""
        self._reader.report(self._section, key, text)

    def report_unknown_keys(self):
        """Report the keys that no method has read."""
        for key in self._values:
            self._reader.report(self._section, key, "unknown key")
