"""Limit on the memory that the responses of all connections of a process take."""

import contextlib

import aiohttp
from prometheus_client import Counter

__all__ = ["ResponseHold", "ResponseMemory", "ResponseTooLong"]

# A response that holds no more than this is never closed to free memory: the number of
# connections bounds what all of them take.
SMALL_RESPONSE_BYTES = 64 * 1024

CLOSED_FOR_MEMORY = Counter(
    "magnoliagrade_responses_closed_for_memory_total",
    "Responses that were not read to their end, to free memory for others",
)


class ResponseTooLong(aiohttp.ClientPayloadError):
    """A response is not read to its end: it exceeds its limit, or that of all."""


class ResponseMemory:
    """Limit on the memory that the responses of a process take together.

    Parameters
    ----------
    limit_bytes : int
        Sum of the bytes held, above which responses are closed.

    Attributes
    ----------
    held_bytes : int
        Sum of the bytes held now.

    Examples
    --------
    >>> memory = ResponseMemory(limit_bytes=200_000)
    >>> small, large = memory.hold(), memory.hold()
    >>> closed = []
    >>> with small, large:
    ...     with large.receiving(source="a", close=lambda: closed.append("large")):
    ...         large.resize(150_000)
    ...         with small.receiving(source="b", close=lambda: closed.append("small")):
    ...             small.resize(60_000)
    >>> closed
    ['large']

    Notes
    -----
    Load pattern: some endpoints send bodies without end, each within the limit of one
    response, on as many connections as requests are admitted. Above the limit, the
    endpoint whose unfinished responses hold the most loses the largest of them, so that
    short responses and those of other endpoints are still received.
    """

    __slots__ = ("_receiving", "held_bytes", "limit_bytes")

    def __init__(self, *, limit_bytes):
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        # A dict, because it keeps the order in which responses began.
        self._receiving = {}

    def hold(self):
        """Return a `ResponseHold` that counts toward the limit."""
        return ResponseHold(memory=self)

    def begin(self, hold):
        """Record that a hold receives a response, which may be closed from now on."""
        self._receiving[hold] = None

    def end(self, hold):
        """Record that a hold receives no response any more."""
        self._receiving.pop(hold, None)

    def free(self):
        """Close unfinished responses until all others keep within the limit."""
        while self.held_bytes > self.limit_bytes:
            largest = self._pick_largest()
            if largest is None:
                return
            largest.revoke()

    def _pick_largest(self):
        """Return the hold to revoke, or None if there are only small ones."""
        bytes_by_source = {}
        for hold in self._receiving:
            held = bytes_by_source.get(hold.source, 0)
            bytes_by_source[hold.source] = held + hold.unfinished_bytes
        return max(
            (h for h in self._receiving if h.unfinished_bytes > SMALL_RESPONSE_BYTES),
            key=lambda hold: (bytes_by_source[hold.source], hold.unfinished_bytes),
            default=None,
        )


class ResponseHold:
    """Memory that the responses to one request take; a reentrant context manager.

    Parameters
    ----------
    memory : ResponseMemory
        Limit that it counts toward.

    Attributes
    ----------
    complete_bytes : int
        Bytes of complete responses, which are counted until the last context ends.
    unfinished_bytes : int
        Bytes held of the response that is being received.
    source : str
        Address that this response comes from.
    """

    __slots__ = (
        "_close",
        "_is_revoked",
        "_memory",
        "_users",
        "complete_bytes",
        "source",
        "unfinished_bytes",
    )

    def __init__(self, *, memory):
        self._memory = memory
        self._close = None
        self._is_revoked = False
        self._users = 0
        self.complete_bytes = 0
        self.source = ""
        self.unfinished_bytes = 0

    def __enter__(self):
        self._users += 1
        return self

    def __exit__(self, *_exc):
        self._users -= 1
        if not self._users:
            self._memory.held_bytes -= self.complete_bytes
            self.complete_bytes = 0

    @contextlib.contextmanager
    def receiving(self, *, source, close):
        """Receive one response in this context, during which it may be revoked.

        Parameters
        ----------
        source : str
            Address that it comes from.
        close : callable
            Closes its connection.

        Raises
        ------
        ResponseTooLong
            If it was closed to free memory.
        """
        self.source, self._close, self._is_revoked = source, close, False
        self._memory.begin(self)
        try:
            yield
            self.complete_bytes += self.unfinished_bytes
            self.unfinished_bytes = 0
        except ResponseTooLong:
            raise
        except (aiohttp.ClientError, OSError) as exc:
            self._check_revoked(exc)
            raise
        finally:
            self._memory.end(self)
            self._close = None
            self._set_unfinished(0)

    def resize(self, size):
        """Set the number of bytes held of the response that is being received.

        Raises
        ------
        ResponseTooLong
            If it was closed to free memory.
        """
        self._check_revoked()
        self._set_unfinished(size)
        self._memory.free()
        self._check_revoked()

    def revoke(self):
        """Close the connection of the response and stop counting what it holds."""
        CLOSED_FOR_MEMORY.inc()
        self._is_revoked = True
        self._set_unfinished(0)
        self._close()

    def _set_unfinished(self, size):
        self._memory.held_bytes += size - self.unfinished_bytes
        self.unfinished_bytes = size

    def _check_revoked(self, cause=None):
        if self._is_revoked:
            raise ResponseTooLong(
                "the response was closed to free memory: all responses together exceed "
                f"{self._memory.limit_bytes} bytes"
            ) from cause
