"""Recording of short responses, so that a lost one can be sent again."""

from dataclasses import dataclass

__all__ = ["RecordedResponse", "RecordingSink"]

# A response is short enough to record if its body is at most this large.
MAX_RECORDED_BODY_BYTES = 512


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordedResponse:
    """A complete response that was short enough to record.

    Parameters
    ----------
    status : int
        HTTP status.
    content_type : str
        Value of `Content-Type`, or empty.
    body : bytes
        Complete body.
    """

    status: int
    content_type: str = ""
    body: bytes = b""

    async def write_to(self, sink):
        """Write the recorded response to a sink."""
        headers = {"Content-Length": str(len(self.body))}
        if self.content_type:
            headers["Content-Type"] = self.content_type
        await sink.start(self.status, headers)
        await sink.write(self.body)
        await sink.finish()


class RecordingSink:
    """Sink that forwards a response and records it if it is short.

    Parameters
    ----------
    sink : ResponseSink
        Sink that the response is written to.

    Notes
    -----
    `status` is 0 until the response has started.
    """

    __slots__ = ("_body", "_content_type", "_is_complete", "_sink", "status")

    def __init__(self, *, sink):
        self._sink = sink
        self._content_type = ""
        self._body = b""
        self._is_complete = False
        self.status = 0

    @property
    def recorded(self):
        """Return the response if it is complete and short, else None."""
        if not self._is_complete or self._body is None:
            return None
        return RecordedResponse(
            status=self.status, content_type=self._content_type, body=self._body
        )

    @property
    def has_started(self):
        """Whether the status and headers have been sent."""
        return self._sink.has_started

    @property
    def is_event_stream(self):
        """Whether the response is a stream of server-sent events."""
        return self._sink.is_event_stream

    @property
    def bytes_written(self):
        """Return the number of bytes of the body that have been sent."""
        return self._sink.bytes_written

    @property
    def tokens_written(self):
        """Return the number of tokens that have been sent."""
        return self._sink.tokens_written

    async def start(self, status, headers):
        """Send the status and headers."""
        self.status = status
        self._content_type = headers.get("Content-Type", "")
        await self._sink.start(status, headers)

    async def write(self, data, *, tokens=0):
        """Send a part of the body and record it unless the body is too long by now."""
        if self._body is not None:
            self._body += data
            if len(self._body) > MAX_RECORDED_BODY_BYTES:
                self._body = None
        await self._sink.write(data, tokens=tokens)

    async def finish(self):
        """End the response, so that it counts as complete."""
        self._is_complete = True
        await self._sink.finish()
