"""Delta encoding of the expert counters that agents send to the coordinator.

Load pattern: each of 63 ranks has 2,016 counters. The counters of all ranks take a
megabyte uncompressed, and the coordinator's machine receives 4 Mbit/s. The increments
since the previous snapshot are mostly small or zero, and take a tenth of that.

A snapshot is one reading of the counters of one rank.
"""

import array
import zlib
from dataclasses import dataclass

__all__ = ["CounterDecoder", "CounterEncoder", "DeltaBaseUnknown"]

# The fastest level: each snapshot is compressed, and an agent has a share of a core.
ZLIB_LEVEL = 1
# Snapshot ids are numbers of 32 bits; 0 means no snapshot.
SNAPSHOT_ID_RANGE = 2**32


class DeltaBaseUnknown(Exception):
    """A delta refers to a base snapshot that the decoder does not have."""


@dataclass(slots=True, kw_only=True)
class _Header:
    """Ids of a snapshot and of the base of its delta; base 0 means full counters."""

    snapshot_id: int
    base_id: int


class CounterEncoder:
    """Encodes the counters of one rank for the coordinator; used by the agent.

    Examples
    --------
    >>> encoder, decoder = CounterEncoder(first_snapshot_id=7), CounterDecoder()
    >>> decoder.decode(encoder.encode([3, 0], base_id=decoder.snapshot_id)).tolist()
    [3, 0]
    >>> decoder.decode(encoder.encode([5, 1], base_id=decoder.snapshot_id)).tolist()
    [5, 1]
    """

    __slots__ = ("_counters", "_snapshot_id")

    def __init__(self, *, first_snapshot_id):
        self._counters = None
        self._snapshot_id = first_snapshot_id % SNAPSHOT_ID_RANGE

    def encode(self, counters, *, base_id):
        """Return a snapshot as bytes: a delta if the coordinator has the previous one.

        Parameters
        ----------
        counters : list of int
            Counters of all experts, in the order of sets.
        base_id : int
            Id of the snapshot that the coordinator has; 0 for none.
        """
        last = self._counters
        is_delta = (
            base_id == self._snapshot_id
            and last is not None
            and len(last) == len(counters)
            and all(new >= old for new, old in zip(counters, last, strict=True))
        )
        if is_delta:
            values = [new - old for new, old in zip(counters, last, strict=True)]
        else:
            values = counters
        self._counters = list(counters)
        self._snapshot_id = self._snapshot_id % (SNAPSHOT_ID_RANGE - 1) + 1
        header = array.array("Q", [self._snapshot_id, base_id if is_delta else 0])
        body = zlib.compress(array.array("Q", values).tobytes(), ZLIB_LEVEL)
        return header.tobytes() + body


class CounterDecoder:
    """Decodes the snapshots of one rank's counters; used by the coordinator.

    Notes
    -----
    `snapshot_id` is the id of the last snapshot that was decoded, 0 before the first.
    """

    __slots__ = ("_counters", "snapshot_id")

    def __init__(self):
        self._counters = None
        self.snapshot_id = 0

    def decode(self, data):
        """Return the counters of a snapshot as an array.

        Raises
        ------
        DeltaBaseUnknown
            If the base is not the last decoded snapshot. `snapshot_id` is then 0, so
            that the next snapshot is a full one.
        """
        import numpy as np

        head = array.array("Q", data[:16])
        header = _Header(snapshot_id=head[0], base_id=head[1])
        values = np.frombuffer(zlib.decompress(data[16:]), dtype="<u8").astype("<i8")
        if header.base_id:
            if header.base_id != self.snapshot_id or self._counters is None:
                self.snapshot_id = 0
                raise DeltaBaseUnknown(
                    f"snapshot {header.snapshot_id} has unknown base {header.base_id}"
                )
            values = self._counters + values
        self.snapshot_id = header.snapshot_id
        self._counters = values
        return values
