"""A group of model servers in lock-step, and plain servers, as PROTOCOL.md has them."""

import asyncio
import contextlib
import socket
import struct
import time

import site_2
from aiohttp import web

STALL_S = 1.5
FORM_S = 0.6


class Rank:
    """One model server of a group."""

    def __init__(self, group, number):
        self.group = group
        self.number = number
        self.life = 0
        self.id = ""
        self.born = 0
        self.address = ""
        self.is_down = True
        self.runner = None
        self.running = 0
        self.transports = set()

    async def start(self):
        """Start a new lifetime at the same address and register it."""
        self.life += 1
        self.id = f"i-{self.number}-{self.life}"
        self.born = int(time.time() * 1000)
        self.is_down = False
        self.running = 0
        site = self.group.site
        self.runner = web.ServerRunner(
            web.Server(self._handle, handler_cancellation=True), shutdown_timeout=0.1
        )
        host, _, port = self.address.rpartition(":")
        self.address = await site.listen(self.runner, host or None, int(port or 0))
        self.register()

    def register(self):
        """Write the entry of this lifetime to the store."""
        entry = site_2.registration(
            self.group.service, self.address, slots=self.group.slots, born=self.born
        )
        self.group.site.store.put(f"servers/{self.id}", entry)

    async def crash(self, down_s):
        """End without a word, and come back after some seconds."""
        if self.is_down:
            return
        self.is_down = True
        self.group.record.add(f"server {self.id} crashes")
        self.group.crashed_at.append(time.monotonic())
        self.group.lose(self)
        for each in list(self.runner.sites):
            await each.stop()
        for connection in list(self.runner.server.connections):
            reset(connection.transport)
        self.group.site.start_task(self._return(down_s))

    async def _return(self, down_s):
        old = self.id
        # The entry is removed after three status reports of silence.
        await asyncio.sleep(min(down_s, 3 * site_2.HEARTBEAT_S))
        if down_s > 3 * site_2.HEARTBEAT_S:
            self.group.site.store.delete(f"servers/{old}")
            await asyncio.sleep(down_s - 3 * site_2.HEARTBEAT_S)
        await self.start()
        self.group.site.store.delete(f"servers/{old}")
        self.group.site.start_task(self.group.form())

    async def _handle(self, request):
        group = self.group
        if request.path == "/report":
            return web.json_response(self._report())
        headers = {site_2.INSTANCE_ID: self.id}
        if request.headers.get(site_2.EXPECT_INSTANCE, self.id) != self.id:
            return web.Response(status=421, headers=headers)
        request_id = request.headers.get(site_2.REQUEST_ID, "")
        headers[site_2.REQUEST_ID] = request_id
        if not group.is_open:
            # Work that has not begun stalls before it is refused.
            await asyncio.sleep(max(0.0, group.lost_at + STALL_S - time.monotonic()))
            headers["At-Server"] = group.lost_id
            headers[site_2.NOT_EXECUTED] = "1"
            return web.Response(status=503, headers=headers)
        if self.running >= 2 * group.slots:
            headers[site_2.NOT_EXECUTED] = "1"
            return web.Response(status=503, headers=headers)
        self.running += 1
        try:
            return await self._stream(request, request_id, headers)
        finally:
            self.running -= 1

    def _report(self):
        state = "open" if self.group.is_open else "broken"
        return {
            "born": self.born,
            "group": {
                "Name": "g-1",
                "epoch": self.group.epoch,
                "rank": self.number,
                "State": state,
            },
            "size": len(self.group.ranks),
            "Running": self.running,
            "Waiting": 0,
            "step": 1,
            "Map": 0,
            "pace": 1.0,
        }

    async def _stream(self, request, request_id, headers):
        group = self.group
        await request.read()
        epoch = group.epoch
        await asyncio.sleep(group.first_s)
        if not group.is_open or group.epoch != epoch:
            await asyncio.sleep(max(0.0, group.lost_at + STALL_S - time.monotonic()))
            headers["At-Server"] = group.lost_id
            headers[site_2.NOT_EXECUTED] = "1"
            return web.Response(status=503, headers=headers)
        group.begun.setdefault(request_id, time.monotonic())
        group.record.add(f"run {request_id} at {self.id}")
        if group.crashes_under(request):
            await self.crash(group.down_s)
            return web.Response()
        headers[site_2.STAMP] = f"stamp-{self.id}"
        headers["Content-Type"] = "text/event-stream"
        response = web.StreamResponse(headers=headers)
        response.enable_chunked_encoding()
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id") or 0) + 1
        for number in range(first, group.events + 1):
            if not group.is_open or group.epoch != epoch:
                # The work is cut off after the stall.
                await asyncio.sleep(
                    max(0.0, group.lost_at + STALL_S - time.monotonic())
                )
                reset(request.transport)
                return response
            await response.write(f"id: {number}\ndata: {number}\n\n".encode())
            await asyncio.sleep(group.event_s)
        await response.write_eof()
        return response


class Group:
    """Ranks that execute each pass together; one that is lost stops them all."""

    def __init__(self, site, record, *, ranks, slots, events, event_s, down_s):
        self.site = site
        self.record = record
        self.service = "assistant"
        self.slots = slots
        self.events = events
        self.event_s = event_s
        self.first_s = 0.1
        self.down_s = down_s
        self.is_open = True
        self.epoch = 1
        self.lost_at = 0.0
        self.lost_id = ""
        self.begun = {}
        self.crashed_at = []
        self.crashing_part = ""
        self.ranks = [Rank(self, number) for number in range(ranks)]

    async def start(self):
        """Start all ranks."""
        for rank in self.ranks:
            await rank.start()

    def lose(self, rank):
        """Stop all ranks, because one is lost."""
        if self.is_open:
            self.lost_at = time.monotonic()
            self.lost_id = rank.id
        self.is_open = False

    async def form(self):
        """Open the group in a new epoch once all ranks are back."""
        if any(rank.is_down for rank in self.ranks):
            return
        await asyncio.sleep(FORM_S)
        if any(rank.is_down for rank in self.ranks) or self.is_open:
            return
        self.epoch += 1
        self.is_open = True
        self.record.add(f"the group opens, epoch {self.epoch}")

    def crashes_under(self, request):
        """Return whether the prompt holds the part that crashes servers."""
        prefix = request.headers.get(site_2.PROMPT_PREFIX, "")
        parts = [entry.partition(":")[0] for entry in prefix.split(",")[:-1]]
        return bool(self.crashing_part) and self.crashing_part in parts


def reset(transport):
    """Close a connection with a reset."""
    if transport is None:
        return
    with contextlib.suppress(OSError, AttributeError):
        transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    transport.abort()
