"""Increments of expert counters, rounded to bytes.

Load pattern: each of 63 ranks adds millions of choices per second to 2,016 counters, so
that exact increments take several bytes each. A plan of an expert map needs the ratio
of the loads of experts, not their exact counts.
"""

import array
import zlib
from dataclasses import dataclass

__all__ = ["Increments", "IncrementTracker", "pack_increments", "unpack_increments"]

# Largest rounded increment.
MAX_LEVEL = 255
# The fastest level: an agent has a share of a core.
ZLIB_LEVEL = 1
# Snapshot ids are numbers of 32 bits; 0 means no snapshot.
SNAPSHOT_ID_RANGE = 2**32


@dataclass(slots=True, kw_only=True)
class Increments:
    """What the counters of one rank or of several have gained.

    Parameters
    ----------
    snapshot_id : int
        Id of the counters up to which they count; 0 for the sum of several ranks.
    values : list of int
        Increments in the order of sets; empty if the base was not known.
    """

    snapshot_id: int
    values: list


def pack_increments(increments):
    """Return `Increments` as bytes, each value rounded to a 255th of the largest.

    Examples
    --------
    >>> data = pack_increments(Increments(snapshot_id=7, values=[510, 100, 0]))
    >>> unpack_increments(data)
    Increments(snapshot_id=7, values=[510, 100, 0])
    """
    values = increments.values
    unit = max(1, -(-max(values, default=0) // MAX_LEVEL))
    levels = bytes((value + unit // 2) // unit for value in values)
    header = array.array("Q", [increments.snapshot_id, unit])
    return header.tobytes() + zlib.compress(levels, ZLIB_LEVEL)


def unpack_increments(data):
    """Return the `Increments` that `pack_increments` encoded.

    Raises
    ------
    ValueError
        If the data is malformed.
    """
    try:
        snapshot_id, unit = array.array("Q", data[:16])
        levels = zlib.decompress(data[16:])
    except zlib.error as exc:
        raise ValueError(f"increments of {len(data)} bytes are malformed") from exc
    return Increments(
        snapshot_id=snapshot_id, values=[level * unit for level in levels]
    )


class IncrementTracker:
    """Computes the increments of one rank's counters since a snapshot.

    Parameters
    ----------
    first_snapshot_id : int
        Id of the first snapshot; random, so that a restarted agent never counts from a
        snapshot of its former process.

    Examples
    --------
    >>> tracker = IncrementTracker(first_snapshot_id=7)
    >>> first = tracker.read([5, 1], base_id=0)
    >>> first.values
    []
    >>> tracker.read([8, 1], base_id=first.snapshot_id).values
    [3, 0]
    """

    __slots__ = ("_counters", "_snapshot_id")

    def __init__(self, *, first_snapshot_id):
        self._counters = None
        self._snapshot_id = first_snapshot_id % SNAPSHOT_ID_RANGE

    def read(self, counters, *, base_id):
        """Return the `Increments` of counters, and take these as the next base.

        Parameters
        ----------
        counters : list of int
            Counters of all experts, in the order of sets.
        base_id : int
            Id of the snapshot that the reader has; 0 for none.
        """
        last = self._counters
        is_known = (
            base_id == self._snapshot_id
            and last is not None
            and len(last) == len(counters)
        )
        values = []
        if is_known:
            values = [new - old for new, old in zip(counters, last, strict=True)]
            if min(values, default=0) < 0:
                # The rank has restarted.
                values = []
        self._counters = list(counters)
        self._snapshot_id = self._snapshot_id % (SNAPSHOT_ID_RANGE - 1) + 1
        return Increments(snapshot_id=self._snapshot_id, values=values)
