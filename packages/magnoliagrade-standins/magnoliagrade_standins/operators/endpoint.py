"""Stand-in for an endpoint: plain responses and event streams, with faults."""

import asyncio
import time
from dataclasses import dataclass, field

from aiohttp import web

from magnoliagrade_standins.resets import reset_connection

__all__ = ["EndpointBehaviour", "StandInEndpoint"]

STAMP_HEADER = "X-Magnoliagrade-Response-Stamp"
REQUEST_ID_HEADER = "X-Magnoliagrade-Request-Id"
# Interval between the bytes of an event that never ends.
TRICKLE_INTERVAL_S = 0.2
# Time for which an endpoint runs a request under which it ends.
CRASH_DELAY_S = 0.05
# Time after which a refusal is written once more.
REPEAT_DELAY_S = 0.005


@dataclass(slots=True, kw_only=True)
class EndpointBehaviour:
    """Fault and timing of a stand-in endpoint; may be changed while it runs.

    Parameters
    ----------
    fault : str
        Empty for none, or one of `busy` (503, request not executed), `broken-group`
        (503, not executed, names another rank as the cause), `error` (500), `reset`
        (connection reset without a response), `cut-body` (connection reset within a
        response that has no content length), `other-answer` (response with the id of
        another request), `hang` (no response), `cut-stream` (connection reset
        within an event), `trickle` (an event that goes on byte by byte and never
        ends), `other-refusal` (503, not executed, with the id of another request),
        `repeated-refusal` (the response of `busy` twice on a connection that stays
        open), `error-text` (200 with text instead of events) or `error-events` (200
        with an error as an event without an id).
    delay_s : float
        Processing time of a plain request and interval between the events of a
        stream, in seconds.
    events : int
        Number of events of a stream.
    cut_after : int
        Number of complete events that `cut-stream` and `trickle` send on a connection.
    crashing_part : str
        Part of a prompt under which the endpoint ends as it begins to write the
        response; empty for none.
    is_leaving : bool
        Whether each response says that the endpoint is about to leave.
    retry_after_s : float
        `Retry-After` of the responses of `busy`, in seconds; 0 for none.
    crashing_target : str
        Path under which the endpoint ends some time after it has begun to run the
        request; empty for none.
    crash_manner : str
        How it ends: `reset` (its connections are reset before any response), `body`
        (within the body of a response), `events` (after events of a stream) or
        `silent` (its connections stay open, new ones are not accepted).
    limit : str
        Limit on requests that each response names, per second; empty for none.
    """

    fault: str = ""
    delay_s: float = 0.0
    events: int = 5
    cut_after: int = 2
    crashing_part: str = ""
    is_leaving: bool = False
    retry_after_s: float = 0.0
    crashing_target: str = ""
    crash_manner: str = "reset"
    limit: str = ""


@dataclass(slots=True, kw_only=True)
class StandInEndpoint:
    """Stand-in for an endpoint that records the requests that it executed.

    Parameters
    ----------
    id : str
        Id of the present incarnation of the endpoint; requests that expect another id
        get status 421.
    behaviour : EndpointBehaviour
        Fault and timing.
    runs : list of str
        Ids of the requests that it began to execute, once for each execution.
    cancelled : list of str
        Ids of the requests whose caller disconnected during the execution.
    began_at : dict of str to float
        Monotonic time of the latest execution's start, by request id.
    headers_seen : list of CIMultiDict
        Headers of each request received, except requests for reports.
    arrived_at : list of float
        Monotonic time of each request that named this incarnation, in seconds, also of
        those that it rejected.
    reports : int
        Number of group state reports that were requested from it.
    crashed_by : list of str
        Ids of the requests under which it ended.
    bytes_without_end : int
        Number of bytes that it has sent of heads and bodies that do not end.
    is_down : bool
        Whether it has ended and not started again.
    crash : coroutine function or None
        Ends the endpoint and starts it again later; called with whether it is silent.
    """

    id: str
    behaviour: EndpointBehaviour = field(default_factory=EndpointBehaviour)
    runs: list = field(default_factory=list)
    cancelled: list = field(default_factory=list)
    began_at: dict = field(default_factory=dict)
    headers_seen: list = field(default_factory=list)
    arrived_at: list = field(default_factory=list)
    reports: int = 0
    crashed_by: list = field(default_factory=list)
    bytes_without_end: int = 0
    is_down: bool = False
    crash: object = None

    async def handle(self, request):
        """Respond to a request, or inject the current fault."""
        if self.is_down:
            await asyncio.sleep(3600)
        if request.path == "/report":
            return self._report_group()
        self.headers_seen.append(request.headers.copy())
        request_id = request.headers.get(REQUEST_ID_HEADER, "")
        expected_id = request.headers.get("X-Magnoliagrade-Expect-Instance")
        if expected_id != self.id:
            return web.Response(status=421)
        self.arrived_at.append(time.monotonic())
        fault = self.behaviour.fault
        if fault in ("busy", "broken-group", "repeated-refusal"):
            causing_server = "other" if fault == "broken-group" else self.id
            headers = {"X-Magnoliagrade-Not-Executed": "1", "At-Server": causing_server}
            headers |= self._notices()
            if self.behaviour.retry_after_s:
                headers["Retry-After"] = f"{self.behaviour.retry_after_s:g}"
            if fault == "repeated-refusal":
                return self._refuse_twice(request, headers)
            return web.Response(status=503, headers=headers)
        self.runs.append(request_id)
        self.began_at[request_id] = time.monotonic()
        try:
            return await self._run(request, request_id, fault)
        except (asyncio.CancelledError, ConnectionError):
            self.cancelled.append(request_id)
            raise

    def _refuse_twice(self, request, headers):
        lines = ["HTTP/1.1 503 Busy", "Content-Length: 0"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        refusal = "\r\n".join([*lines, "", ""]).encode()
        request.transport.write(refusal)
        asyncio.get_running_loop().call_later(
            REPEAT_DELAY_S, request.transport.write, refusal
        )
        return web.Response()

    def _notices(self):
        notices = {}
        if self.behaviour.is_leaving:
            notices["Server-Leaving"] = "1"
        if self.behaviour.limit:
            notices["Server-Limit"] = self.behaviour.limit
        return notices

    def _report_group(self):
        self.reports += 1
        is_broken = self.behaviour.fault == "broken-group"
        state = "broken" if is_broken else "open"
        group = {"Name": "g", "epoch": 1, "rank": 0, "State": state}
        return web.json_response({"group": group, "size": 1, "step": 0, "Map": 0})

    async def _run(self, request, request_id, fault):
        if fault == "hang":
            await asyncio.sleep(3600)
        if fault == "other-refusal":
            headers = {
                "X-Magnoliagrade-Not-Executed": "1",
                REQUEST_ID_HEADER: "another",
            }
            return web.Response(status=503, headers=headers)
        if fault == "reset":
            request.transport.abort()
            return web.Response()
        endpoint_id = self.id
        headers = {
            REQUEST_ID_HEADER: request_id,
            STAMP_HEADER: f"stamp of {endpoint_id}",
            **self._notices(),
        }
        if self._ends_under(request) and self.behaviour.crash_manner != "events":
            if self.behaviour.crash_manner == "body":
                await self._begin_body(request, headers)
            await self._crash(request)
            return web.Response()
        if fault == "other-answer":
            headers[REQUEST_ID_HEADER] = "another"
        if fault in ("endless-head", "endless-body"):
            return await self._send_without_end(request, headers, fault)
        if "stream" in request.path:
            return await self._stream(request, headers, fault)
        await asyncio.sleep(self.behaviour.delay_s)
        if fault == "cut-body":
            return await self._cut_body(request, headers)
        status = 500 if fault == "error" else 200
        body = await request.read()
        text = f"{request.method} {request.path_qs} {body.decode()} by {endpoint_id}"
        return web.Response(status=status, headers=headers, text=text)

    async def _stream(self, request, headers, fault):
        if fault in ("error", "error-text", "error-events"):
            return _error_of_stream(headers, fault)
        headers["Content-Type"] = "text/event-stream"
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        part = self.behaviour.crashing_part
        if part and part in _shared_parts(request):
            await response.write(b"id: 1\nda")
            await asyncio.sleep(0.02)
            self.crashed_by.append(request.headers.get(REQUEST_ID_HEADER, ""))
            await self.crash()
            return response
        if self._ends_under(request) and self.behaviour.crash_manner == "events":
            await response.write(b"id: 1\ndata: 1\n\nid: 2\nda")
            await self._crash(request)
            return response
        first_id = int(request.headers.get("Last-Event-Id") or 0) + 1
        for event_id in range(first_id, self.behaviour.events + 1):
            await asyncio.sleep(self.behaviour.delay_s)
            is_at_fault = event_id - first_id >= self.behaviour.cut_after
            if fault == "trickle" and is_at_fault:
                await response.write(f"id: {event_id}\ndata: ".encode())
                while True:
                    await asyncio.sleep(TRICKLE_INTERVAL_S)
                    await response.write(b"x")
            if fault == "cut-stream" and is_at_fault:
                await response.write(f"id: {event_id}\nda".encode())
                await asyncio.sleep(0.02)
                request.transport.abort()
                return response
            await response.write(f"id: {event_id}\ndata: {event_id}\n\n".encode())
        await response.write_eof()
        return response

    async def _send_without_end(self, request, headers, fault):
        transport = request.transport
        lines = [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join(["HTTP/1.1 200 OK", *lines, "Connection: close", ""])
        transport.write(head.encode())
        block = b"x" * 65536
        if fault == "endless-head":
            block = b"X-Line: x\r\n" * 6000
        else:
            transport.write(b"\r\n")
        while not transport.is_closing():
            transport.write(block)
            self.bytes_without_end += len(block)
            await asyncio.sleep(0.001)
        return web.Response()

    def _ends_under(self, request):
        target = self.behaviour.crashing_target
        return bool(target) and request.path_qs == target

    async def _crash(self, request):
        await asyncio.sleep(CRASH_DELAY_S)
        self.crashed_by.append(request.headers.get(REQUEST_ID_HEADER, ""))
        await self.crash(is_silent=self.behaviour.crash_manner == "silent")

    async def _cut_body(self, request, headers):
        await self._begin_body(request, headers)
        reset_connection(request.transport)
        return web.Response()

    async def _begin_body(self, request, headers):
        transport = request.transport
        header_lines = [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join(
            ["HTTP/1.1 200 OK", *header_lines, "Connection: close", "", ""]
        )
        transport.write(head.encode() + b"half of the bo")
        await asyncio.sleep(0.02)


def _shared_parts(request):
    prefix = request.headers.get("X-Magnoliagrade-Prompt-Prefix", "")
    return [entry.partition(":")[0] for entry in prefix.split(",")[:-1]]


def _error_of_stream(headers, fault):
    media_type = "text/event-stream" if fault == "error-events" else "text/plain"
    return web.Response(
        status=500 if fault == "error" else 200,
        headers=headers | {"Content-Type": media_type},
        text="HTTP/1.1 500 failed\r\n\r\ndata: failure\n\n",
    )
