"""Stand-in of a server: plain answers and streams, with faults."""

import asyncio
import time
from dataclasses import dataclass, field

from aiohttp import web

from magnoliagrade_standins.resets import reset_connection

__all__ = ["EndpointBehaviour", "StandInEndpoint"]

STAMP = "X-Magnoliagrade-Response-Stamp"
REQUEST_ID = "X-Magnoliagrade-Request-Id"


@dataclass(slots=True, kw_only=True)
class EndpointBehaviour:
    """How an endpoint behaves.

    Parameters
    ----------
    fault : str
        Empty, or one of `busy` (503, not run), `broken-group` (503, another rank at
        fault), `error` (500), `reset` (cut without an answer), `cut-body` (an answer
        without a length is reset), `other-answer` (the answer of another request),
        `hang` (no answer) and `cut-stream` (cut inside an event).
    delay_s : float
        Work of a plain request, and pause between events.
    events : int
        Events of a stream.
    cut_after : int
        Events before a stream is cut.
    """

    fault: str = ""
    delay_s: float = 0.0
    events: int = 5
    cut_after: int = 2


@dataclass(slots=True, kw_only=True)
class StandInEndpoint:
    """A server that keeps a record of what it ran.

    Parameters
    ----------
    id : str
        Id of its incarnation.
    behaviour : EndpointBehaviour
        How it behaves.
    """

    id: str
    behaviour: EndpointBehaviour = field(default_factory=EndpointBehaviour)
    runs: list = field(default_factory=list)
    cancelled: list = field(default_factory=list)
    began_at: dict = field(default_factory=dict)
    headers_seen: list = field(default_factory=list)
    reports: int = 0

    async def handle(self, request):
        """Serve a request."""
        if request.path == "/report":
            return self._report()
        self.headers_seen.append(request.headers.copy())
        request_id = request.headers.get(REQUEST_ID, "")
        expected = request.headers.get("X-Magnoliagrade-Expect-Instance")
        if expected != self.id:
            return web.Response(status=421)
        fault = self.behaviour.fault
        if fault in ("busy", "broken-group"):
            at_fault = "other" if fault == "broken-group" else self.id
            headers = {"X-Magnoliagrade-Not-Executed": "1", "At-Server": at_fault}
            return web.Response(status=503, headers=headers)
        self.runs.append(request_id)
        self.began_at[request_id] = time.monotonic()
        try:
            return await self._run(request, request_id, fault)
        except (asyncio.CancelledError, ConnectionError):
            self.cancelled.append(request_id)
            raise

    def _report(self):
        self.reports += 1
        is_broken = self.behaviour.fault == "broken-group"
        state = "broken" if is_broken else "open"
        group = {"Name": "g", "epoch": 1, "rank": 0, "State": state}
        return web.json_response({"group": group, "size": 1, "step": 0, "Map": 0})

    async def _run(self, request, request_id, fault):
        if fault == "hang":
            await asyncio.sleep(3600)
        if fault == "reset":
            request.transport.abort()
            return web.Response()
        own_id = self.id
        headers = {REQUEST_ID: request_id, STAMP: f"stamp of {own_id}"}
        if fault == "other-answer":
            headers[REQUEST_ID] = "another"
        if "stream" in request.path:
            return await self._stream(request, headers, fault)
        await asyncio.sleep(self.behaviour.delay_s)
        if fault == "cut-body":
            return await self._cut_body(request, headers)
        status = 500 if fault == "error" else 200
        body = await request.read()
        text = f"{request.method} {request.path_qs} {body.decode()} by {own_id}"
        return web.Response(status=status, headers=headers, text=text)

    async def _stream(self, request, headers, fault):
        headers["Content-Type"] = "text/event-stream"
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id") or 0) + 1
        for number in range(first, self.behaviour.events + 1):
            await asyncio.sleep(self.behaviour.delay_s)
            if fault == "cut-stream" and number - first >= self.behaviour.cut_after:
                await response.write(f"id: {number}\nda".encode())
                await asyncio.sleep(0.02)
                request.transport.abort()
                return response
            await response.write(f"id: {number}\ndata: {number}\n\n".encode())
        await response.write_eof()
        return response

    async def _cut_body(self, request, headers):
        transport = request.transport
        lines = [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join(["HTTP/1.1 200 OK", *lines, "Connection: close", "", ""])
        transport.write(head.encode() + b"half of the bo")
        await asyncio.sleep(0.02)
        reset_connection(transport)
        return web.Response()
