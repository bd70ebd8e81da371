"""A complete site on loopback: store, endpoints and entries in one event loop."""

import asyncio
import contextlib
import functools

import aiohttp
from aiohttp import web
from magnoliagrade_entry.direct import DirectEntry, DirectSettings
from yarl import URL

from magnoliagrade_standins.operators.documents import endpoint_document
from magnoliagrade_standins.operators.endpoint import EndpointBehaviour, StandInEndpoint
from magnoliagrade_standins.operators.store import OperatorsStore
from magnoliagrade_standins.resets import reset_connection

__all__ = ["OperatorsSite"]

READY_TIMEOUT_S = 10.0
# Time from the crash of an endpoint to its next start.
CRASH_S = 0.6
HOST = "127.0.0.1"


class OperatorsSite:
    """Stand-ins and entries of a site; use as an asynchronous context manager."""

    def __init__(self):
        self.store = OperatorsStore()
        self.endpoint_by_id = {}
        self.entries = []
        self._restarts = []
        self._runners = []
        self.store_address = ""
        self._session = None

    async def __aenter__(self):
        """Start the store."""
        app = web.Application()
        app.add_routes(self.store.routes())
        self.store_address = await self._serve(app)
        self._session = aiohttp.ClientSession()
        return self

    async def __aexit__(self, *_exc):
        """Stop the entries, the endpoints and the store."""
        await self._session.close()
        for restart in self._restarts:
            restart.cancel()
        for entry in self.entries:
            with contextlib.suppress(Exception):
                await entry.close_now()
        for runner in self._runners:
            await runner.cleanup()

    async def add_endpoint(self, endpoint_id, service, *, cold_ms=0, slots=6, **fields):
        """Start an endpoint and register it in the store.

        Parameters
        ----------
        endpoint_id : str
            Id of the endpoint's incarnation.
        service : str
            Service that it belongs to.
        cold_ms : int
            Time for which it is cold, as it reports in its registration.
        slots : int
            Requests that it processes concurrently, as it registers.
        **fields
            Fields of its `EndpointBehaviour`.

        Returns
        -------
        endpoint : StandInEndpoint
            The running endpoint.
        """
        endpoint = StandInEndpoint(
            id=endpoint_id, behaviour=EndpointBehaviour(**fields)
        )
        runner = web.ServerRunner(
            web.Server(endpoint.handle, handler_cancellation=True),
            shutdown_timeout=0.1,
        )
        await runner.setup()
        await web.TCPSite(runner, HOST, 0).start()
        self._runners.append(runner)
        port = runner.addresses[0][1]
        endpoint.crash = functools.partial(self._crash, endpoint, service, runner, port)
        self.endpoint_by_id[endpoint_id] = endpoint
        self.register(
            endpoint_id, service, f"{HOST}:{port}", cold_ms=cold_ms, slots=slots
        )
        return endpoint

    def register(self, endpoint_id, service, address, **fields):
        """Write an endpoint's registration to the store.

        Parameters
        ----------
        endpoint_id : str
            Id of the endpoint's incarnation.
        service : str
            Service that it belongs to.
        address : str
            `host:port` that it listens on.
        **fields
            Further arguments of `endpoint_document`.
        """
        document = endpoint_document(service, address, **fields)
        self.store.put(f"servers/{endpoint_id}", document)

    def configure(self, document):
        """Write the operators' configuration to the store."""
        self.store.put("op/config", document)

    async def add_entry(self, *, awaits_ready=True, **fields):
        """Start an entry and return it.

        Parameters
        ----------
        awaits_ready : bool
            Whether to wait until the entry is ready and knows every endpoint.
        **fields
            Fields of its `DirectSettings` that replace the defaults.

        Raises
        ------
        TimeoutError
            If it is not ready within 10 s.
        """
        defaults = {
            "name": f"entry-{len(self.entries)}",
            "data_centre": "dc-1",
            "caller_address": f"{HOST}:0",
            "ready_address": f"{HOST}:0",
            "link_address": f"{HOST}:0",
            "metrics_address": f"{HOST}:0",
            "store_address": self.store_address,
        }
        settings = DirectSettings(**defaults | fields)
        entry = DirectEntry(settings=settings)
        await entry.start()
        self.entries.append(entry)
        if not awaits_ready:
            return entry
        async with asyncio.timeout(READY_TIMEOUT_S):
            while entry.reasons_not_ready() or len(entry.endpoint_table.by_id) < len(
                self.endpoint_by_id
            ):
                await asyncio.sleep(0.01)
        return entry

    async def call(self, entry, method, path, *, key="key-1", deadline_ms=3000, **more):
        """Send a request to an entry and return its status, headers and body.

        Raises
        ------
        aiohttp.ClientError
            If the response is not complete.
        """
        headers = {
            "Host": "a.example",
            "Authorization": f"Bearer {key}",
            "X-Magnoliagrade-Deadline-Ms": str(deadline_ms),
            **more.pop("headers", {}),
        }
        url = URL(f"http://{entry.caller_address}{path}", encoded=True)
        async with self._session.request(
            method, url, headers=headers, **more
        ) as response:
            return response.status, response.headers, await response.text()

    async def _crash(self, endpoint, service, runner, port, *, is_silent=False):
        """End an endpoint, and start its next incarnation after `CRASH_S`.

        Its connections are reset and new ones refused, unless it is silent.
        """
        if endpoint.is_down:
            return
        endpoint.is_down = True
        if not is_silent:
            for site in list(runner.sites):
                await site.stop()
            for connection in list(runner.server.connections):
                reset_connection(connection.transport)
        restart = self._restart(endpoint, service, runner, port, is_silent=is_silent)
        self._restarts.append(asyncio.create_task(restart))

    async def _restart(self, endpoint, service, runner, port, *, is_silent):
        await asyncio.sleep(CRASH_S)
        name, _, number = endpoint.id.partition("~")
        endpoint.id = f"{name}~{int(number or 1) + 1}"
        endpoint.is_down = False
        if not is_silent:
            await web.TCPSite(runner, HOST, port, reuse_address=True).start()
        self.register(endpoint.id, service, f"{HOST}:{port}")

    async def _serve(self, app):
        runner = web.AppRunner(app, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, HOST, 0).start()
        self._runners.append(runner)
        return f"{HOST}:{runner.addresses[0][1]}"
