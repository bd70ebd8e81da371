"""Type-checked access to the fields of the platform's JSON documents.

A field that is missing and has no default, or whose value has another type, raises
`FormatError`.
"""

import functools
import json
import reprlib

from magnoliagrade.errors import ErrorKind, MagnoliagradeError

__all__ = [
    "DECODING_ERRORS",
    "FormatError",
    "boolean_field",
    "decoder",
    "load_object",
    "number_field",
    "optional_object",
    "object_list_field",
    "string_field",
]

# What reading a document of another writer may raise.
DECODING_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)
# Integers up to here are exact in every JSON implementation, and fit into a float.
LARGEST_NUMBER = 2**53
_MISSING = object()


class FormatError(MagnoliagradeError):
    """A document of the platform is malformed; the detail names the field."""

    def __init__(self, detail):
        super().__init__(ErrorKind.INVALID_REQUEST, detail)


def decoder(decode):
    """Decorate a function that decodes a value of another writer.

    The decorated function raises `FormatError` for every value that it cannot decode.
    """

    @functools.wraps(decode)
    def decode_checked(*args):
        try:
            return decode(*args)
        except DECODING_ERRORS as exc:
            raise FormatError(f"{type(exc).__name__}: {exc}") from exc

    return decode_checked


def load_object(data):
    """Return the JSON object that is encoded in bytes.

    Raises
    ------
    FormatError
        If the bytes are not valid JSON or encode another type.
    """
    try:
        document = json.loads(data)
    except (ValueError, UnicodeDecodeError, RecursionError) as exc:
        raise FormatError(f"document of {len(data)} bytes is not valid JSON") from exc
    if not isinstance(document, dict):
        raise FormatError(
            f"expected a JSON object as document, got a {type(document).__name__}"
        )
    return document


def string_field(document, name, default=_MISSING):
    """Return the value of a string field."""
    return _field_of_type(document, name, str, default)


def boolean_field(document, name, default=False):
    """Return the value of a boolean field."""
    return _field_of_type(document, name, bool, default)


def number_field(document, name, default=_MISSING, *, minimum=0):
    """Return the value of a field with a number from `minimum` to 2**53."""
    value = _field_of_type(document, name, (int, float), default)
    if isinstance(value, bool) or not minimum <= value <= LARGEST_NUMBER:
        raise FormatError(
            f"{name}: expected a number from {minimum} to 2**53, got "
            f"{reprlib.repr(value)}"
        )
    return value


def object_list_field(document, name, default=_MISSING):
    """Return the value of a field that holds a list of JSON objects."""
    value = _field_of_type(document, name, list, default)
    if not all(isinstance(element, dict) for element in value):
        raise FormatError(f"{name}: list has an element that is not a JSON object")
    return value


def optional_object(document, name):
    """Return the JSON object in a field, or None if it is missing or null."""
    if document.get(name) is None:
        return None
    return _field_of_type(document, name, dict, _MISSING)


def _field_of_type(document, name, types, default):
    value = document.get(name, default)
    if value is _MISSING:
        raise FormatError(f"required field {name} is missing")
    if not isinstance(value, types):
        raise FormatError(f"{name}: unexpected value of type {type(value).__name__}")
    return value
