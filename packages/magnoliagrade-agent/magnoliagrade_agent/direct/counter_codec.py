"""Counters of chosen experts as they travel from agents to the coordinator.

Load pattern: a group of 63 ranks counts 2,016 choices each, a megabyte in whole numbers
for one reading, and the coordinator's machine takes 4 Mbit/s. What was added since the
last reading is mostly small or nothing, and takes a tenth of that.
"""

import array
import zlib
from dataclasses import dataclass

__all__ = ["CountReader", "CountSender", "CountsLost"]

# The fastest: counters are packed for each reading, on a share of a core.
ZLIB_LEVEL = 1
# Numbers of readings travel in 32 bits.
TOKEN_RANGE = 2**32


class CountsLost(Exception):
    """A reply adds to a reading that its reader does not have."""


@dataclass(slots=True, kw_only=True)
class _Header:
    """Number of a reading, and of the one that it adds to; 0 for whole counters."""

    token: int
    since: int


class CountSender:
    """The agent's side: what it has counted since the last reading that it sent.

    Examples
    --------
    >>> sender, reader = CountSender(first_token=7), CountReader()
    >>> reader.read(sender.pack([3, 0], since=reader.token)).tolist()
    [3, 0]
    >>> reader.read(sender.pack([5, 1], since=reader.token)).tolist()
    [5, 1]
    """

    __slots__ = ("_counters", "_token")

    def __init__(self, *, first_token):
        self._counters = None
        self._token = first_token % TOKEN_RANGE

    def pack(self, counters, *, since):
        """Return a reading as bytes.

        Parameters
        ----------
        counters : list of int
            Counters, set after set.
        since : int
            Number of the reading that the coordinator has; 0 for none.
        """
        last = self._counters
        is_added = (
            since == self._token
            and last is not None
            and len(last) == len(counters)
            and all(new >= old for new, old in zip(counters, last, strict=True))
        )
        if is_added:
            numbers = [new - old for new, old in zip(counters, last, strict=True)]
        else:
            numbers = counters
        self._counters = list(counters)
        self._token = self._token % (TOKEN_RANGE - 1) + 1
        header = array.array("Q", [self._token, since if is_added else 0])
        body = zlib.compress(array.array("Q", numbers).tobytes(), ZLIB_LEVEL)
        return header.tobytes() + body


class CountReader:
    """The coordinator's side: the counters of one rank.

    Notes
    -----
    `token` is the number of the last reading, 0 before the first.
    """

    __slots__ = ("_counters", "token")

    def __init__(self):
        self._counters = None
        self.token = 0

    def read(self, data):
        """Return the counters that a reading gives, as an array.

        Raises
        ------
        CountsLost
            If it adds to another reading than the last one; the next one is whole.
        """
        import numpy as np

        head = array.array("Q", data[:16])
        header = _Header(token=head[0], since=head[1])
        numbers = np.frombuffer(zlib.decompress(data[16:]), dtype="<u8").astype("<i8")
        if header.since:
            if header.since != self.token or self._counters is None:
                self.token = 0
                raise CountsLost(f"reading {header.token} adds to {header.since}")
            numbers = self._counters + numbers
        self.token = header.token
        self._counters = numbers
        return numbers
