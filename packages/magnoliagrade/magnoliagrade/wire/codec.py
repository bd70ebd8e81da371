"""Conversion between typed messages and packed Cap'n Proto bytes."""

import dataclasses
import functools
import os
import re
from dataclasses import dataclass

import capnp

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.wire.message_table import (
    MESSAGE_BY_UNION_PATH,
    UNION_PATH_BY_MESSAGE,
    UnionPath,
)

__all__ = ["Envelope", "decode", "encode"]

_SCHEMA_PATH = os.path.join(os.path.dirname(__file__), "envelope.capnp")


@dataclass(slots=True, kw_only=True)
class Envelope:
    """A message together with the state of its sender.

    Parameters
    ----------
    instance : str
        Name of the sending instance.
    incarnation : int
        Incarnation of the sender.
    sequence : int
        Number of the message on its link, starting at 1.
    configuration_revision : int
        Revision of the configuration that the sender has in force.
    message : object
        Instance of a registered message class.
    """

    instance: str
    incarnation: int
    sequence: int
    configuration_revision: int
    message: object


def encode(envelope):
    """Return the packed bytes of an envelope.

    Parameters
    ----------
    envelope : Envelope
        Envelope whose message is of a registered class.

    Returns
    -------
    data : bytes
        Packed Cap'n Proto message, without a length prefix.

    Raises
    ------
    MagnoliagradeError
        `WIRE_INVALID` if the message's class is not registered.
    """
    path = UNION_PATH_BY_MESSAGE.get(type(envelope.message))
    if path is None:
        name = type(envelope.message).__name__
        raise MagnoliagradeError(
            ErrorKind.WIRE_INVALID, f"{name} is not a registered message class"
        )
    root = _schema().Envelope.new_message()
    root.instance = envelope.instance
    root.incarnation = envelope.incarnation
    root.sequence = envelope.sequence
    root.configurationRevision = envelope.configuration_revision
    body = root.init(path.family).init(path.member)
    _fill(body, envelope.message)
    return root.to_bytes_packed()


def decode(data):
    """Return the envelope decoded from packed bytes.

    Parameters
    ----------
    data : bytes
        Packed Cap'n Proto message.

    Returns
    -------
    envelope : Envelope
        Envelope with its typed message.

    Raises
    ------
    MagnoliagradeError
        `WIRE_INVALID` if the bytes are not an envelope or the message is unknown.
    """
    try:
        root = _schema().Envelope.from_bytes_packed(data)
        family = root.which()
        member = getattr(root, family).which()
        cls = MESSAGE_BY_UNION_PATH[UnionPath(str(family), str(member))]
        body = getattr(getattr(root, str(family)), str(member))
        return Envelope(
            instance=root.instance,
            incarnation=root.incarnation,
            sequence=root.sequence,
            configuration_revision=root.configurationRevision,
            message=_read(cls, body),
        )
    except (capnp.KjException, KeyError, AttributeError, UnicodeDecodeError) as exc:
        detail = f"{len(data)} bytes cannot be decoded as a known message: {exc}"
        raise MagnoliagradeError(ErrorKind.WIRE_INVALID, detail) from exc


@functools.cache
def _schema():
    return capnp.load(_SCHEMA_PATH)


@functools.cache
def _schema_fields(cls):
    # Tuples of attribute, field name in the schema, and class of list items or None.
    return [
        (f.name, _camel_case(f.name), f.metadata.get("of"))
        for f in dataclasses.fields(cls)
    ]


def _camel_case(name):
    return re.sub(r"_([a-z])", lambda m: m.group(1).upper(), name)


def _fill(body, item):
    for attribute, name, item_class in _schema_fields(type(item)):
        value = getattr(item, attribute)
        if not isinstance(value, list):
            setattr(body, name, value)
        elif item_class is None:
            setattr(body, name, value)
        else:
            rows = body.init(name, len(value))
            for i, row in enumerate(value):
                _fill(rows[i], row)


def _read(cls, body):
    values = {}
    for attribute, name, item_class in _schema_fields(cls):
        value = getattr(body, name)
        if item_class is not None:
            value = [_read(item_class, row) for row in value]
        elif not isinstance(value, (str, bytes, int, float)):
            value = list(value)
        values[attribute] = value
    return cls(**values)
