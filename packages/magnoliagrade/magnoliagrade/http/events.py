"""Cutting a stream of server-sent events at event boundaries."""

import re
from dataclasses import dataclass

__all__ = ["EventSplitter", "CompleteEvents"]

EVENT_LIMIT_BYTES = 1024 * 1024
_BOUNDARY = re.compile(rb"\r?\n\r?\n")
_END = b"[DONE]"


@dataclass(slots=True, kw_only=True)
class CompleteEvents:
    """Events that are complete and may be passed on.

    Parameters
    ----------
    data : bytes
        The events as they came.
    tokens : int
        Events that carry a token.
    is_stream_end : bool
        Whether the last one is the explicit end of the stream.
    """

    data: bytes
    tokens: int
    is_stream_end: bool


class EventSplitter:
    r"""Holds back the part of a stream that is no whole event yet.

    Examples
    --------
    >>> cutter = EventSplitter()
    >>> cutter.feed(b"data: a\n\ndata: [DO").data
    b'data: a\n\n'
    >>> cutter.feed(b"NE]\n\nlate").is_stream_end
    True

    Notes
    -----
    What follows the end event is dropped. An event that is never completed is not
    passed on, so another endpoint can go on right after the last whole one.
    """

    __slots__ = ("_rest",)

    def __init__(self):
        self._rest = b""

    def feed(self, data):
        """Return the events that are complete now.

        Parameters
        ----------
        data : bytes
            Next bytes of the stream.

        Raises
        ------
        ValueError
            If one event exceeds a megabyte.
        """
        self._rest += data
        whole = 0
        tokens = 0
        is_stream_end = False
        for boundary in _BOUNDARY.finditer(self._rest):
            event = self._rest[whole : boundary.start()]
            whole = boundary.end()
            payload = _payload(event)
            if payload == _END:
                is_stream_end = True
                break
            tokens += payload is not None
        passed, self._rest = self._rest[:whole], self._rest[whole:]
        if len(self._rest) > EVENT_LIMIT_BYTES:
            raise ValueError(f"event of {len(self._rest)} bytes has no end")
        return CompleteEvents(data=passed, tokens=tokens, is_stream_end=is_stream_end)


def _payload(event):
    lines = [line for line in event.splitlines() if line.startswith(b"data:")]
    if not lines:
        return None
    return b"\n".join(line[len(b"data:") :].strip() for line in lines)
