"""Stand-in for the platform's store: items, leases, watches, return from a copy."""

import asyncio
import base64
import copy
import json
import time

from aiohttp import web

# Largest number of items in one page of a range.
PAGE_ITEMS = 500
# Interval at which ended leases are looked for.
LEASE_CHECK_S = 0.1


class Store:
    """Store with linearizable responses.

    Attributes
    ----------
    is_down : bool
        Whether calls get status 503.
    """

    def __init__(self):
        self._changed = asyncio.Event()
        self._events = []
        self._lease_by_id = {}
        self._next_lease = 1
        self._tasks = []
        self.era = 1
        self.is_down = False
        self.item_by_key = {}
        self.revision = 1

    async def start(self, host, port):
        """Listen on an address."""
        app = web.Application(client_max_size=8 * 1024 * 1024)
        app.add_routes(
            [
                web.get("/kv-key", self._guard(self._get)),
                web.get("/kv-range", self._guard(self._range)),
                web.get("/kv-watch", self._guard(self._watch)),
                web.post("/kv-txn", self._guard(self._txn)),
                web.post("/kv-lease", self._guard(self._grant)),
                web.post("/kv-keep/{lease}", self._guard(self._keep)),
                web.delete("/kv-lease-end/{lease}", self._guard(self._end)),
            ]
        )
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()
        self._tasks.append(asyncio.create_task(self._end_leases()))

    async def stop(self):
        """Stop listening."""
        for task in self._tasks:
            task.cancel()
        await self._runner.cleanup()

    def put(self, key, document, *, lease=0):
        """Write a value, JSON unless it is bytes, and return the revision."""
        value = (
            document if isinstance(document, bytes) else json.dumps(document).encode()
        )
        self.revision += 1
        old = self.item_by_key.get(key)
        item = {
            "Key": key,
            "Value": base64.b64encode(value).decode(),
            "Revision": self.revision,
            "CreateRevision": old["CreateRevision"] if old else self.revision,
            "Lease": lease,
        }
        self.item_by_key[key] = item
        self._record(item)
        return self.revision

    def delete(self, key):
        """Delete a key."""
        if self.item_by_key.pop(key, None) is not None:
            self.revision += 1
            self._record({"Key": key, "Revision": self.revision, "Tombstone": True})

    def make_copy(self):
        """Return a copy of the state."""
        return copy.deepcopy(
            (self.item_by_key, self._lease_by_id, self._next_lease, self.revision)
        )

    def return_from(self, state):
        """Replace the state by a copy: later changes are lost, the era rises by one."""
        self.era += 1
        items, leases, self._next_lease, self.revision = copy.deepcopy(state)
        self.item_by_key = items
        # Leases run on from the return.
        now = time.monotonic()
        self._lease_by_id = {
            lease: (ttl_s, now + ttl_s) for lease, (ttl_s, _) in leases.items()
        }
        self._events = [e for e in self._events if e["Revision"] <= self.revision]
        self._wake()

    def _record(self, event):
        self._events.append(event)
        # History: events of tens of seconds at most.
        del self._events[:-200]
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _guard(self, handle):
        async def guarded(request):
            if self.is_down:
                response = web.Response(status=503)
            else:
                response = await handle(request)
                if self.is_down:
                    response = web.Response(status=503)
            response.headers["Store-Era"] = str(self.era)
            return response

        return guarded

    async def _get(self, request):
        item = self.item_by_key.get(request.query["Key"])
        if item is None:
            return web.Response(status=404)
        return web.json_response({**item, "AsOf": self.revision})

    async def _range(self, request):
        prefix, after = request.query["Prefix"], request.query.get("After", "")
        keys = sorted(k for k in self.item_by_key if k.startswith(prefix) and k > after)
        page = [self.item_by_key[key] for key in keys[:PAGE_ITEMS]]
        return web.json_response(
            {"Items": page, "MorePages": len(keys) > PAGE_ITEMS, "AsOf": self.revision}
        )

    async def _watch(self, request):
        prefix, after = request.query["Prefix"], int(request.query["After"])
        era = self.era
        ends_at = time.monotonic() + int(request.query["WaitMs"]) / 1000
        while True:
            oldest = self._events[0]["Revision"] if self._events else self.revision + 1
            is_lost = after + 1 < oldest and after < self.revision
            if era != self.era or after > self.revision or is_lost:
                return web.Response(status=410)
            events = [
                e
                for e in self._events
                if e["Revision"] > after and e["Key"].startswith(prefix)
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0 or self.is_down:
                return web.json_response({"events": events, "AsOf": self.revision})
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass

    async def _txn(self, request):
        body = await request.json()
        conflicts = [
            row["Key"]
            for row in body["Precondition"]
            if self.item_by_key.get(row["Key"], {}).get("Revision", 0)
            != row["Revision"]
        ]
        if conflicts:
            items = [self.item_by_key.get(key) for key in conflicts]
            return web.json_response({"Items": items}, status=412)
        for row in body["Writes"]:
            if row.get("Lease", 0) and row["Lease"] not in self._lease_by_id:
                return web.Response(status=404)
        for row in body["Writes"]:
            value = base64.b64decode(row["Value"])
            self.put(row["Key"], value, lease=row.get("Lease", 0))
        for key in body["Deletes"]:
            self.delete(key)
        return web.json_response({"Revision": self.revision})

    async def _grant(self, request):
        ttl_s = (await request.json())["TtlMs"] / 1000
        lease = self._next_lease
        self._next_lease += 1
        self._lease_by_id[lease] = (ttl_s, time.monotonic() + ttl_s)
        return web.json_response({"Lease": lease, "TtlMs": int(ttl_s * 1000)})

    async def _keep(self, request):
        lease = int(request.match_info["lease"])
        if lease not in self._lease_by_id:
            return web.Response(status=404)
        ttl_s, _ = self._lease_by_id[lease]
        self._lease_by_id[lease] = (ttl_s, time.monotonic() + ttl_s)
        return web.json_response({"Lease": lease, "TtlMs": int(ttl_s * 1000)})

    async def _end(self, request):
        self._drop_lease(int(request.match_info["lease"]))
        return web.json_response({})

    def _drop_lease(self, lease):
        self._lease_by_id.pop(lease, None)
        for key in [k for k, i in self.item_by_key.items() if i["Lease"] == lease]:
            self.delete(key)

    async def _end_leases(self):
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            if self.is_down:
                # Leases pause while the store is down.
                continue
            now = time.monotonic()
            for lease in [i for i, (_, at) in self._lease_by_id.items() if at < now]:
                self._drop_lease(lease)
