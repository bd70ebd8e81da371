"""Keeping short responses, so that one that was lost can be given again."""

from dataclasses import dataclass

__all__ = ["RecordedResponse", "RecordingSink"]

RECORDED_BODY_BYTES = 512


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordedResponse:
    """A whole response that was short enough to keep.

    Parameters
    ----------
    status : int
        HTTP status.
    content_type : str
        Value of `Content-Type`, or empty.
    body : bytes
        Whole body.
    """

    status: int
    content_type: str = ""
    body: bytes = b""

    async def write_to(self, sink):
        """Write the response to a sink."""
        headers = {"Content-Length": str(len(self.body))}
        if self.content_type:
            headers["Content-Type"] = self.content_type
        await sink.start(self.status, headers)
        await sink.write(self.body)
        await sink.finish()


class RecordingSink:
    """Passes a response on and keeps it if it is short.

    Parameters
    ----------
    sink : ResponseSink
        Where the response goes.
    """

    __slots__ = ("_body", "_content_type", "_is_whole", "_sink", "status")

    def __init__(self, *, sink):
        self._sink = sink
        self._content_type = ""
        self._body = b""
        self._is_whole = False
        self.status = 0

    @property
    def recorded(self):
        """Return the response if it is whole and short, else None."""
        if not self._is_whole or self._body is None:
            return None
        return RecordedResponse(
            status=self.status, content_type=self._content_type, body=self._body
        )

    @property
    def has_started(self):
        """Whether status and headers have been sent."""
        return self._sink.has_started

    @property
    def is_event_stream(self):
        """Whether the answer is a stream of server-sent events."""
        return self._sink.is_event_stream

    @property
    def bytes_written(self):
        """Return the bytes of the body that have been sent."""
        return self._sink.bytes_written

    @property
    def tokens_written(self):
        """Return the tokens that have been sent."""
        return self._sink.tokens_written

    async def start(self, status, headers):
        """Send status and headers."""
        self.status = status
        self._content_type = headers.get("Content-Type", "")
        await self._sink.start(status, headers)

    async def write(self, data, *, tokens=0):
        """Send a part of the body."""
        if self._body is not None:
            self._body += data
            if len(self._body) > RECORDED_BODY_BYTES:
                self._body = None
        await self._sink.write(data, tokens=tokens)

    async def finish(self):
        """End the answer cleanly."""
        self._is_whole = True
        await self._sink.finish()
