"""Reading of HTTP/1.1 messages, and a consumer that keeps its channel."""

import asyncio
import itertools

_numbers = itertools.count(1)


async def read_head(reader):
    """Return the first line and the headers, by name in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    value_by_name = {}
    for line in lines:
        name, _, value = line.partition(":")
        value_by_name[name.strip().lower()] = value.strip()
    return first, value_by_name


async def read_body(reader, headers, on_data=None):
    """Return the body of a message with a length, or in chunks."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return body
        body += data[:-2]
        if on_data is not None:
            on_data(body)


class Answer:
    """What a consumer got: a status (0 without one), headers, and the body if whole."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_whole = False

    def __str__(self):
        if not self.status:
            return "channel closed without an answer"
        if not self.is_whole:
            return f"status {self.status}, channel closed after {len(self.body)} bytes"
        return f"status {self.status}, whole, {len(self.body)} bytes"


class Consumer:
    """Consumer with one channel, opened at the first request and kept."""

    def __init__(self, address, record):
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._record = record
        self._streams = None

    async def call(
        self, method, path, *, key, body=b"", deadline_ms=8000, on_sent=None
    ):
        """Send one request with an id of its own; return the id and the `Answer`."""
        request_id = f"r{next(_numbers):06d}"
        answer = Answer()
        try:
            if self._streams is None:
                self._streams = await asyncio.wait_for(
                    asyncio.open_connection(self._host, self._port), 1.0
                )
            reader, writer = self._streams
            lines = [
                f"{method} {path} HTTP/1.1",
                "Host: a.example",
                f"X-Magnoliagrade-Request-Id: {request_id}",
                f"X-Magnoliagrade-Deadline-Ms: {deadline_ms}",
                f"Authorization: Bearer {key}",
                f"Content-Length: {len(body)}",
            ]
            self._record(f"sent {request_id} {method} {path} key={key}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            if on_sent is not None:
                on_sent(request_id)
            first, answer.headers = await read_head(reader)
            answer.status = int(first.split()[1])

            def keep(body):
                answer.body = body

            answer.body = await read_body(reader, answer.headers, keep)
            answer.is_whole = True
            if answer.headers.get("connection", "").lower() == "close":
                await self.close()
        except (TimeoutError, OSError, EOFError):
            await self.close()
        except asyncio.CancelledError:
            await self.close()
            raise
        self._record(f"answered {request_id} {answer}")
        return request_id, answer

    async def close(self):
        """Close the channel."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None
