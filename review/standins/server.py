"""Stand-in for a server of a service."""

import asyncio
import time

from review.standins.http import read_body, read_head


class Server:
    """Server that registers itself and records what it runs.

    Parameters
    ----------
    id, service, address, zone : str
        As in its registration.
    record : callable
        Takes one line of the record.
    work : coroutine function, optional
        Called with this server, the request id, the path and the writer once the
        request runs; sends the answer. A short plain answer by default.
    """

    def __init__(self, *, id, service, address, zone, record, work=None, slots=6):
        self.id = id
        self.service = service
        self.address = address
        self.zone = zone
        self.slots = slots
        self.state = "ready"
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.run_at_by_id = {}
        self.headers_by_id = {}
        self._record = record
        self._work = work or answer_plain
        self._tasks = set()

    async def start(self):
        """Listen."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self):
        """Close the listener and all channels."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()

    def registration(self):
        """Return the next registration."""
        self.sequence += 1
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Sequence": self.sequence,
            "born": self.born_ms,
        }

    def head(self, request_id, *, status="200 OK", **headers):
        """Return the head of an answer with the server's stamp."""
        fields = {
            "X-Magnoliagrade-Request-Id": request_id,
            "X-Magnoliagrade-Response-Stamp": f"stamp.{self.id}.{request_id}",
            **headers,
        }
        lines = "".join(f"{k.replace('_', '-')}: {v}\r\n" for k, v in fields.items())
        return f"HTTP/1.1 {status}\r\n{lines}\r\n".encode()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                path = first.split()[1]
                request_id = headers.get("x-magnoliagrade-request-id", "")
                if headers.get("x-magnoliagrade-expect-instance") != self.id:
                    writer.write(
                        b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n"
                        b"X-Magnoliagrade-Not-Executed: 1\r\n\r\n"
                    )
                    continue
                self._record(
                    f"runs {request_id} at {self.id} {first} {len(body)} bytes"
                )
                self.run_at_by_id[request_id] = time.monotonic()
                self.headers_by_id[request_id] = headers
                await self._work(self, request_id, path, writer)
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()


async def answer_plain(server, request_id, _path, writer):
    """Send a short plain answer at once."""
    body = f"{request_id} by {server.id}".encode()
    writer.write(server.head(request_id, Content_Length=str(len(body))) + body)
