"""HTTP face of the weight store, and a client with the store's own calls."""

import asyncio

import aiohttp
from aiohttp import web

from magnoliagrade_standins.weights.store import WeightLoad

__all__ = ["WeightClient", "make_weights_app"]

POLL_S = 0.01


def make_weights_app(store, clock):
    """Return the application that serves a weight store.

    Parameters
    ----------
    store : WeightStore
        The store.
    clock : Clock
        Source of time.
    """

    async def load(request):
        kind = request.query["kind"]
        if kind not in store.bytes_loaded_by_kind:
            return web.json_response({"unknown": kind}, status=400)
        begun = store.submit(kind, int(request.query["bytes"]))
        while not begun.is_done:
            await clock.sleep(POLL_S)
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
    """Loads over HTTP; has the calls of `WeightStore`.

    Parameters
    ----------
    url : str
        Base URL of the store.
    session : aiohttp.ClientSession
        Session whose connections are used.
    """

    __slots__ = ("_session", "_tasks", "_url", "bytes_loaded_by_kind")

    def __init__(self, *, url, session):
        self._url = url.rstrip("/")
        self._session = session
        self._tasks = set()
        self.bytes_loaded_by_kind = {"model": 0.0, "expert": 0.0}

    def submit(self, kind, size_bytes):
        """Begin a load and return it."""
        load = WeightLoad(kind=kind, bytes_left=float(size_bytes))
        if size_bytes:
            task = asyncio.create_task(self._load(load))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return load

    def progress(self):
        """Do nothing: loads end by themselves."""

    async def _load(self, load):
        params = {"kind": load.kind, "bytes": str(int(load.bytes_left))}
        url = f"{self._url}/v1/loads"
        try:
            async with self._session.post(url, params=params) as response:
                response.raise_for_status()
        except aiohttp.ClientError:
            # The rank asks again with its next order to stage.
            load.has_failed = True
            return
        self.bytes_loaded_by_kind[load.kind] += load.bytes_left
        load.bytes_left = 0.0
