"""Encoding of an expert map as its changes from a map that the receiver knows.

Load pattern: the demand for experts shifts every few seconds, and each new map goes to
63 ranks over one link of 4 Mbit/s. Most experts stay where they are, but the complete
maps take half a second, in which the group runs its passes with the former map.
"""

import json
import zlib

__all__ = ["KnownMaps", "UnknownBase", "apply_changes", "pack_changes"]

# Maps that an agent remembers: the one in use, and those of switches that failed since.
MAX_KNOWN_MAPS = 3
CHECKSUM_BYTES = 4


class UnknownBase(Exception):
    """The map that changes are based on is not known here."""


def pack_changes(base, experts):
    """Return as bytes what changes one expert map into another.

    Parameters
    ----------
    base, experts : list of list of list of int
        Experts by set and rank, with as many sets and ranks.

    Examples
    --------
    >>> data = pack_changes([[[0, 2], [1]]], [[[0], [1, 2]]])
    >>> len(data), apply_changes([[[0, 2], [1]]], data)
    (7, [[[0], [1, 2]]])
    """
    width = 1 + max(
        (e for cell in _cells(base) + _cells(experts) for e in cell), default=0
    )
    data = bytearray(_checksum(experts))
    data += _varint(width)
    last = -1
    for index, (before, after) in enumerate(
        zip(_cells(base), _cells(experts), strict=True)
    ):
        for expert in sorted({*before} ^ {*after}):
            position = index * width + expert
            data += _varint(position - last)
            last = position
    return bytes(data)


def apply_changes(base, data):
    """Return the expert map that `pack_changes` encoded, with sorted experts.

    Parameters
    ----------
    base : list of list of list of int
        The map that the changes are based on.
    data : bytes
        Encoded changes.

    Raises
    ------
    UnknownBase
        If they are based on another map, or malformed.
    """
    cells = [set(cell) for cell in _cells(base)]
    numbers = _numbers(data[CHECKSUM_BYTES:])
    width = next(numbers, 0)
    position = -1
    for gap in numbers:
        position += gap
        index, expert = divmod(position, max(1, width))
        if index >= len(cells):
            raise UnknownBase(f"change of rank {index} of {len(cells)} in all sets")
        cells[index] ^= {expert}
    experts = []
    for ranks in base:
        experts.append([sorted(cell) for cell in cells[: len(ranks)]])
        del cells[: len(ranks)]
    if _checksum(experts) != data[:CHECKSUM_BYTES]:
        raise UnknownBase("the changes make another map of this base")
    return experts


class KnownMaps:
    """Maps that an agent has received, by their version."""

    __slots__ = ("_experts_by_version",)

    def __init__(self):
        self._experts_by_version = {}

    def add(self, version, experts):
        """Remember a map; the oldest one is forgotten."""
        self._experts_by_version[version] = experts
        while len(self._experts_by_version) > MAX_KNOWN_MAPS:
            del self._experts_by_version[next(iter(self._experts_by_version))]

    def apply_changes(self, version, data):
        """Return the map that changes of the map of a version make.

        Raises
        ------
        UnknownBase
            If that map is not known, or the changes are based on another.
        """
        base = self._experts_by_version.get(version)
        if base is None:
            raise UnknownBase(f"map {version} is not known")
        return apply_changes(base, data)


def _cells(experts):
    return [cell for ranks in experts for cell in ranks]


def _checksum(experts):
    canonical = [[sorted(cell) for cell in ranks] for ranks in experts]
    data = json.dumps(canonical, separators=(",", ":")).encode()
    return zlib.crc32(data).to_bytes(CHECKSUM_BYTES, "big")


def _varint(number):
    data = bytearray()
    while number > 0x7F:
        data.append(number & 0x7F | 0x80)
        number >>= 7
    data.append(number)
    return data


def _numbers(data):
    number = shift = 0
    for byte in data:
        number |= (byte & 0x7F) << shift
        shift += 7
        if not byte & 0x80:
            yield number
            number = shift = 0
