"""HTTP interface of the weight store, and a client with the same methods."""

import asyncio

import aiohttp
from aiohttp import web

from magnoliagrade_standins.weights.store import WeightLoad

__all__ = ["WeightClient", "make_weights_app"]

# Interval at which the server checks whether a load is complete.
POLL_INTERVAL_S = 0.01


def make_weights_app(store, clock):
    """Return the HTTP application that serves a weight store.

    Parameters
    ----------
    store : WeightStore
        Weight store that carries out the loads.
    clock : Clock
        Source of time.
    """

    async def load(request):
        kind = request.query["kind"]
        if kind not in store.bytes_loaded_by_kind:
            return web.json_response({"unknown": kind}, status=400)
        weight_load = store.submit(kind, int(request.query["bytes"]))
        while not weight_load.is_done:
            await clock.sleep(POLL_INTERVAL_S)
            store.progress()
        return web.json_response({"kind": kind})

    async def record(_request):
        store.progress()
        return web.json_response(store.bytes_loaded_by_kind)

    app = web.Application()
    app.router.add_post("/v1/loads", load)
    app.router.add_get("/record", record)
    return app


class WeightClient:
    """Client that loads over HTTP, with the methods of `WeightStore`.

    Parameters
    ----------
    url : str
        Base URL of the store.
    session : aiohttp.ClientSession
        Client session for the requests; the caller closes it.
    """

    __slots__ = ("_session", "_tasks", "_url", "bytes_loaded_by_kind")

    def __init__(self, *, url, session):
        self._url = url.rstrip("/")
        self._session = session
        self._tasks = set()
        self.bytes_loaded_by_kind = {"model": 0.0, "expert": 0.0}

    def submit(self, kind, size_bytes):
        """Start a load and return it.

        Parameters
        ----------
        kind : str
            `model` or `expert`.
        size_bytes : int
            Bytes to load; 0 sends no request.
        """
        load = WeightLoad(kind=kind, bytes_left=float(size_bytes))
        if size_bytes:
            task = asyncio.create_task(self._load(load))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return load

    def progress(self):
        """Do nothing; each load completes in a background task."""

    async def _load(self, load):
        params = {"kind": load.kind, "bytes": str(int(load.bytes_left))}
        url = f"{self._url}/v1/loads"
        try:
            async with self._session.post(url, params=params) as response:
                response.raise_for_status()
        except aiohttp.ClientError:
            # The rank submits the load again on its next order to stage.
            load.has_failed = True
            return
        self.bytes_loaded_by_kind[load.kind] += load.bytes_left
        load.bytes_left = 0.0
