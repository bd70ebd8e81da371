"""Conversion between typed messages and packed Cap'n Proto bytes."""

import dataclasses
import functools
import os
import re
from dataclasses import dataclass

import capnp

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.wire.message_table import MESSAGE_BY_PLACE, PLACE_BY_MESSAGE, Place

__all__ = ["Envelope", "decode", "encode"]

_SCHEMA_PATH = os.path.join(os.path.dirname(__file__), "envelope.capnp")


@dataclass(slots=True, kw_only=True)
class Envelope:
    """A message with the state of its sender.

    Parameters
    ----------
    instance : str
        Name of the sending instance.
    incarnation : int
        Incarnation of the sender.
    sequence : int
        Number of the message on its link, from 1.
    configuration_revision : int
        Configuration revision that the sender has in force.
    message : object
        One of the registered message classes.
    """

    instance: str
    incarnation: int
    sequence: int
    configuration_revision: int
    message: object


def encode(envelope):
    """Return an envelope as packed bytes.

    Parameters
    ----------
    envelope : Envelope
        Envelope with a registered message.

    Returns
    -------
    data : bytes
        Packed Cap'n Proto message, without a length prefix.

    Raises
    ------
    MagnoliagradeError
        `WIRE_INVALID` if the message's class is not registered.
    """
    place = PLACE_BY_MESSAGE.get(type(envelope.message))
    if place is None:
        name = type(envelope.message).__name__
        raise MagnoliagradeError(ErrorKind.WIRE_INVALID, f"{name} is no message")
    root = _schema().Envelope.new_message()
    root.instance = envelope.instance
    root.incarnation = envelope.incarnation
    root.sequence = envelope.sequence
    root.configurationRevision = envelope.configuration_revision
    body = root.init(place.family).init(place.member)
    _fill(body, envelope.message)
    return root.to_bytes_packed()


def decode(data):
    """Return the envelope that packed bytes hold.

    Parameters
    ----------
    data : bytes
        Packed Cap'n Proto message.

    Returns
    -------
    envelope : Envelope
        The envelope with its typed message.

    Raises
    ------
    MagnoliagradeError
        `WIRE_INVALID` if the bytes are no envelope or the message is unknown.
    """
    try:
        root = _schema().Envelope.from_bytes_packed(data)
        family = root.which()
        member = getattr(root, family).which()
        cls = MESSAGE_BY_PLACE[Place(str(family), str(member))]
        body = getattr(getattr(root, str(family)), str(member))
        return Envelope(
            instance=root.instance,
            incarnation=root.incarnation,
            sequence=root.sequence,
            configuration_revision=root.configurationRevision,
            message=_read(cls, body),
        )
    except (capnp.KjException, KeyError, AttributeError, UnicodeDecodeError) as exc:
        detail = f"{len(data)} bytes hold no known message: {exc}"
        raise MagnoliagradeError(ErrorKind.WIRE_INVALID, detail) from exc


@functools.cache
def _schema():
    return capnp.load(_SCHEMA_PATH)


@functools.cache
def _columns(cls):
    # (attribute, schema name, class of list items or None)
    return [
        (f.name, _camel(f.name), f.metadata.get("of")) for f in dataclasses.fields(cls)
    ]


def _camel(name):
    return re.sub(r"_([a-z])", lambda m: m.group(1).upper(), name)


def _fill(body, item):
    for attribute, name, of in _columns(type(item)):
        value = getattr(item, attribute)
        if not isinstance(value, list):
            setattr(body, name, value)
        elif of is None:
            setattr(body, name, value)
        else:
            rows = body.init(name, len(value))
            for i, row in enumerate(value):
                _fill(rows[i], row)


def _read(cls, body):
    values = {}
    for attribute, name, of in _columns(cls):
        value = getattr(body, name)
        if of is not None:
            value = [_read(of, row) for row in value]
        elif not isinstance(value, (str, bytes, int, float)):
            value = list(value)
        values[attribute] = value
    return cls(**values)
