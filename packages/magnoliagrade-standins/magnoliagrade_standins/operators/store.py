"""Stand-in for the platform's store: items, leases and watches, with outages."""

import asyncio
import base64
import copy
import json
from dataclasses import dataclass

from aiohttp import web

__all__ = ["OperatorsStore", "StoreCopy"]


@dataclass(slots=True, kw_only=True)
class StoreCopy:
    """State of a store at one moment, from which it may return later.

    Parameters
    ----------
    item_by_key : dict of str to dict
        Items.
    keys_by_lease : dict of int to set of str
        Keys that were written under each lease.
    next_lease : int
        Id of the lease that is granted next.
    revision : int
        Revision of the last change.
    """

    item_by_key: dict
    keys_by_lease: dict
    next_lease: int
    revision: int


class OperatorsStore:
    """In-memory store that serves the platform's HTTP protocol.

    Parameters
    ----------
    page_size : int
        Largest number of items in one page of a range response.

    Notes
    -----
    `calls` lists the path of each request. `outage` sets a fault: with `busy` each call
    gets status 503, with `silent` no response, and with `deaf` watches receive no
    events: their responses are empty and stay at the revision that the call named. An
    empty `outage` ends the fault. `era` counts the returns from a copy; each response
    names it, also while an outage lasts. `on_call`, if set, is called with the path of
    each request before it is served.
    """

    def __init__(self, *, page_size=50):
        self._page_size = page_size
        self._changed = asyncio.Event()
        self._events = []
        self._compacted_revision = 0
        self._next_lease = 1
        self.calls = []
        self.era = 1
        self.item_by_key = {}
        self.keys_by_lease = {}
        self.on_call = None
        self.outage = ""
        self.revision = 1

    def routes(self):
        """Return the HTTP routes of the store's protocol."""
        return [
            web.get("/kv-key", self._with_outage(self._get_item)),
            web.get("/kv-range", self._with_outage(self._list_items)),
            web.get("/kv-watch", self._with_outage(self._watch_prefix)),
            web.post("/kv-txn", self._with_outage(self._commit_transaction)),
            web.post("/kv-lease", self._with_outage(self._grant_lease)),
            web.post("/kv-keep/{lease}", self._with_outage(self._renew_lease)),
            web.delete("/kv-lease-end/{lease}", self._with_outage(self._end_lease)),
        ]

    def put(self, key, document, *, lease=0):
        """Write a value under a key and notify watches.

        Parameters
        ----------
        key : str
            Key.
        document : object or bytes
            Value; bytes are written unchanged, anything else as JSON.
        lease : int
            Lease that the item names; 0 for none.
        """
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
        self._record_event(item)

    def put_item(self, item):
        """Write the value of an item again, as an endpoint does after a loss."""
        self.put(item["Key"], base64.b64decode(item["Value"]))

    def delete(self, key):
        """Delete a key and notify watches; a missing key is ignored."""
        if self.item_by_key.pop(key, None) is None:
            return
        self.revision += 1
        self._record_event({"Key": key, "Revision": self.revision, "Tombstone": True})

    def compact_history(self):
        """Drop the events so far; watches from an older revision get status 410."""
        self._events.clear()
        self._compacted_revision = self.revision

    def make_copy(self):
        """Return a `StoreCopy` of the current state."""
        return StoreCopy(
            item_by_key=dict(self.item_by_key),
            keys_by_lease=copy.deepcopy(self.keys_by_lease),
            next_lease=self._next_lease,
            revision=self.revision,
        )

    def return_from(self, state):
        """Replace the state by a copy, and begin a new era.

        All later changes are lost, leases too; their revisions and lease ids are issued
        again. Watches from a revision above that of the copy get status 410.

        Parameters
        ----------
        state : StoreCopy
            The copy.
        """
        self.era += 1
        self.item_by_key = dict(state.item_by_key)
        self.keys_by_lease = copy.deepcopy(state.keys_by_lease)
        self._next_lease = state.next_lease
        self.revision = state.revision
        self._events = [e for e in self._events if e["Revision"] <= state.revision]
        self._compacted_revision = min(self._compacted_revision, state.revision)
        self._wake_watches()

    def _record_event(self, event):
        self._events.append(event)
        self._wake_watches()

    def _wake_watches(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _with_outage(self, handle):
        async def handle_with_outage(request):
            self.calls.append(request.path)
            if self.on_call is not None:
                self.on_call(request.path)
            if self.outage == "silent":
                await asyncio.sleep(3600)
            if self.outage == "busy":
                response = web.Response(status=503)
            else:
                response = await handle(request)
            response.headers["Store-Era"] = str(self.era)
            return response

        return handle_with_outage

    async def _get_item(self, request):
        item = self.item_by_key.get(request.query["Key"])
        if item is None:
            return web.Response(status=404)
        return web.json_response({**item, "AsOf": self.revision})

    async def _list_items(self, request):
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

    async def _watch_prefix(self, request):
        prefix, after = request.query["Prefix"], int(request.query["After"])
        ends_at = asyncio.get_running_loop().time() + int(request.query["WaitMs"]) / 1e3
        while True:
            if not self._compacted_revision <= after <= self.revision:
                return web.Response(status=410)
            events = [
                event
                for event in self._events
                if event["Revision"] > after and event["Key"].startswith(prefix)
            ]
            remaining_s = ends_at - asyncio.get_running_loop().time()
            if self.outage == "deaf":
                events = []
            if events or remaining_s <= 0:
                as_of = self.revision if events else after
                return web.json_response({"events": events, "AsOf": as_of})
            try:
                await asyncio.wait_for(self._changed.wait(), remaining_s)
            except TimeoutError:
                continue

    async def _commit_transaction(self, request):
        body = await request.json()
        conflicting_keys = [
            row["Key"]
            for row in body["Precondition"]
            if self.item_by_key.get(row["Key"], {}).get("Revision", 0)
            != row["Revision"]
        ]
        if conflicting_keys:
            items = [self.item_by_key.get(key) for key in conflicting_keys]
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

    async def _grant_lease(self, request):
        body = await request.json()
        lease = self._next_lease
        self._next_lease += 1
        self.keys_by_lease[lease] = set()
        return web.json_response({"Lease": lease, "TtlMs": body["TtlMs"]})

    async def _renew_lease(self, request):
        if int(request.match_info["lease"]) not in self.keys_by_lease:
            return web.Response(status=404)
        return web.json_response({"TtlMs": 10000})

    async def _end_lease(self, request):
        lease = int(request.match_info["lease"])
        for key in self.keys_by_lease.pop(lease, ()):
            # The key may have been written again under another lease.
            if self.item_by_key.get(key, {}).get("Lease") == lease:
                self.delete(key)
        return web.json_response({})


def _encode(document):
    return json.dumps(document).encode()
