"""Splitting of a stream of server-sent events at event boundaries."""

import re
from dataclasses import dataclass

__all__ = ["CompleteEvents", "EventSplitter"]

# Largest incomplete event that is held back.
MAX_EVENT_BYTES = 1024 * 1024
# End of an event. The expression begins with a fixed byte, which is found fastest.
_BOUNDARY = re.compile(rb"\n\r?\n")
BOUNDARY_BYTES = 3
_END_PAYLOAD = b"[DONE]"


@dataclass(slots=True, kw_only=True)
class CompleteEvents:
    """Complete events, which may be forwarded.

    Parameters
    ----------
    data : bytes
        Bytes of the events as received.
    tokens : int
        Number of events with a `data` line, except the end event; each counts as one
        token.
    is_stream_end : bool
        Whether the last event is the explicit end of the stream.
    """

    data: bytes
    tokens: int
    is_stream_end: bool


class EventSplitter:
    r"""Splits a stream into complete events and holds back an incomplete one.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"data: a\n\ndata: [DO").data
    b'data: a\n\n'
    >>> splitter.feed(b"NE]\n\nlate").is_stream_end
    True

    Notes
    -----
    Bytes after the end event are dropped. An event that is never completed isn't
    forwarded, so another endpoint can resume right after the last complete event.
    """

    __slots__ = ("_incomplete",)

    def __init__(self):
        self._incomplete = bytearray()

    @property
    def held_bytes(self):
        """Bytes of the event that is not complete yet."""
        return len(self._incomplete)

    def feed(self, data):
        """Return the events that the next bytes of the stream complete.

        Parameters
        ----------
        data : bytes
            Next bytes of the stream.

        Returns
        -------
        events : CompleteEvents
            Events in order; without data if none is complete yet.

        Raises
        ------
        ValueError
            If more than 1 MiB has come without the end of an event.
        """
        # Only the new data is searched, so that a long event takes linear time.
        searched = max(0, len(self._incomplete) - (BOUNDARY_BYTES - 1))
        self._incomplete += data
        complete_bytes = 0
        tokens = 0
        is_stream_end = False
        for end in [m.end() for m in _BOUNDARY.finditer(self._incomplete, searched)]:
            payload = _payload_of(self._incomplete[complete_bytes:end])
            complete_bytes = end
            if payload == _END_PAYLOAD:
                is_stream_end = True
                break
            tokens += payload is not None
        complete = bytes(self._incomplete[:complete_bytes])
        del self._incomplete[:complete_bytes]
        if len(self._incomplete) > MAX_EVENT_BYTES:
            raise ValueError(
                f"event without an end: got {len(self._incomplete)} bytes, "
                f"limit {MAX_EVENT_BYTES}"
            )
        return CompleteEvents(data=complete, tokens=tokens, is_stream_end=is_stream_end)


def _payload_of(event):
    lines = [line for line in event.splitlines() if line.startswith(b"data:")]
    if not lines:
        return None
    return b"\n".join(line[len(b"data:") :].strip() for line in lines)
