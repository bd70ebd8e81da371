"""Checked reading of fields of the platform's JSON documents."""

import json

from magnoliagrade.errors import ErrorKind, MagnoliagradeError

__all__ = ["FormatError", "flag", "load", "number", "optional", "rows", "text"]

_MISSING = object()


class FormatError(MagnoliagradeError):
    """A document of the platform cannot be read; names the field."""

    def __init__(self, detail):
        super().__init__(ErrorKind.INVALID_REQUEST, detail)


def load(data):
    """Return the JSON object that bytes hold.

    Raises
    ------
    FormatError
        If the bytes hold no JSON object.
    """
    try:
        document = json.loads(data)
    except (ValueError, UnicodeDecodeError, RecursionError) as exc:
        raise FormatError(f"{len(data)} bytes are no JSON") from exc
    if not isinstance(document, dict):
        raise FormatError(f"a {type(document).__name__} stands where an object should")
    return document


def text(document, name, default=_MISSING):
    """Return a field that holds a text."""
    return _typed(document, name, str, default)


def flag(document, name, default=False):
    """Return a field that holds true or false."""
    return _typed(document, name, bool, default)


def number(document, name, default=_MISSING, *, low=0):
    """Return a field that holds a finite number of at least `low`."""
    value = _typed(document, name, (int, float), default)
    if isinstance(value, bool) or not low <= value < float("inf"):
        raise FormatError(f"{name} is {value!r}")
    return value


def rows(document, name, default=_MISSING):
    """Return a field that holds a list of objects."""
    value = _typed(document, name, list, default)
    if not all(isinstance(row, dict) for row in value):
        raise FormatError(f"{name} holds a row that is no object")
    return value


def optional(document, name):
    """Return a field that holds an object, or None without it."""
    if document.get(name) is None:
        return None
    return _typed(document, name, dict, _MISSING)


def _typed(document, name, kind, default):
    value = document.get(name, default)
    if value is _MISSING:
        raise FormatError(f"{name} is missing")
    if not isinstance(value, kind):
        raise FormatError(f"{name} holds a {type(value).__name__}")
    return value
