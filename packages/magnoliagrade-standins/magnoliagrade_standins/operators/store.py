"""Stand-in of the platform's store: items, leases and watches, with outages."""

import asyncio
import base64
import json

from aiohttp import web

__all__ = ["OperatorsStore"]


class OperatorsStore:
    """Store in memory that speaks the platform's protocol.

    Parameters
    ----------
    page_size : int
        Items of a page.

    Notes
    -----
    `outage` makes it misbehave: `busy` answers 503, `silent` answers nothing, `deaf`
    lets watches hear nothing: their answers are empty and stay at the same revision.
    """

    def __init__(self, *, page_size=50):
        self._page_size = page_size
        self._changed = asyncio.Event()
        self._events = []
        self._oldest = 0
        self.calls = []
        self.item_by_key = {}
        self.keys_by_lease = {}
        self.outage = ""
        self.revision = 1

    def routes(self):
        """Return the routes of the store's protocol."""
        return [
            web.get("/kv-key", self._guarded(self._get)),
            web.get("/kv-range", self._guarded(self._range)),
            web.get("/kv-watch", self._guarded(self._watch)),
            web.post("/kv-txn", self._guarded(self._txn)),
            web.post("/kv-lease", self._guarded(self._grant)),
            web.post("/kv-keep/{lease}", self._guarded(self._keep)),
            web.delete("/kv-lease-end/{lease}", self._guarded(self._end)),
        ]

    def put(self, key, document, *, lease=0):
        """Write a document, or bytes as they are."""
        value = document if isinstance(document, bytes) else _encode(document)
        self.revision += 1
        item = {
            "Key": key,
            "Value": base64.b64encode(value).decode(),
            "Revision": self.revision,
            "CreateRevision": self.revision,
            "Lease": lease,
        }
        self.item_by_key[key] = item
        self._note(item)

    def delete(self, key):
        """Delete a key."""
        if self.item_by_key.pop(key, None) is None:
            return
        self.revision += 1
        self._note({"Key": key, "Revision": self.revision, "Tombstone": True})

    def compact_history(self):
        """Drop all changes so far; watches from before get 410."""
        self._events.clear()
        self._oldest = self.revision

    def _note(self, event):
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _guarded(self, handle):
        async def guarded(request):
            self.calls.append(request.path)
            if self.outage == "busy":
                return web.Response(status=503)
            if self.outage == "silent":
                await asyncio.sleep(3600)
            return await handle(request)

        return guarded

    async def _get(self, request):
        item = self.item_by_key.get(request.query["Key"])
        if item is None:
            return web.Response(status=404)
        return web.json_response({**item, "AsOf": self.revision})

    async def _range(self, request):
        prefix, after = request.query["Prefix"], request.query.get("After", "")
        keys = sorted(k for k in self.item_by_key if k.startswith(prefix) and k > after)
        page = keys[: self._page_size]
        return web.json_response(
            {
                "Items": [self.item_by_key[key] for key in page],
                "MorePages": len(keys) > len(page),
                "AsOf": self.revision,
            }
        )

    async def _watch(self, request):
        prefix, after = request.query["Prefix"], int(request.query["After"])
        ends_at = asyncio.get_running_loop().time() + int(request.query["WaitMs"]) / 1e3
        while True:
            if after < self._oldest:
                return web.Response(status=410)
            events = [
                event
                for event in self._events
                if event["Revision"] > after and event["Key"].startswith(prefix)
            ]
            left = ends_at - asyncio.get_running_loop().time()
            if self.outage == "deaf":
                events = []
            if events or left <= 0:
                as_of = self.revision if events else after
                return web.json_response({"events": events, "AsOf": as_of})
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue

    async def _txn(self, request):
        body = await request.json()
        failed = [
            row["Key"]
            for row in body["Precondition"]
            if self.item_by_key.get(row["Key"], {}).get("Revision", 0)
            != row["Revision"]
        ]
        if failed:
            items = [self.item_by_key.get(key) for key in failed]
            return web.json_response({"Items": items}, status=412)
        for row in body["Writes"]:
            lease = row.get("Lease", 0)
            if lease and lease not in self.keys_by_lease:
                return web.Response(status=404)
            self.put(row["Key"], base64.b64decode(row["Value"]), lease=lease)
            self.keys_by_lease.get(lease, set()).add(row["Key"])
        for key in body["Deletes"]:
            self.delete(key)
        return web.json_response({"Revision": self.revision})

    async def _grant(self, request):
        body = await request.json()
        lease = len(self.keys_by_lease) + 1
        self.keys_by_lease[lease] = set()
        return web.json_response({"Lease": lease, "TtlMs": body["TtlMs"]})

    async def _keep(self, request):
        if int(request.match_info["lease"]) not in self.keys_by_lease:
            return web.Response(status=404)
        return web.json_response({"TtlMs": 10000})

    async def _end(self, request):
        for key in self.keys_by_lease.pop(int(request.match_info["lease"]), ()):
            self.delete(key)
        return web.json_response({})


def _encode(document):
    return json.dumps(document).encode()
