"""Site of a soak: entry processes, and stand-ins behind the fault proxy."""

import tempfile

from aiohttp import web
from magnoliagrade.clock import SystemClock

from magnoliagrade_standins.operators import (
    EndpointBehaviour,
    OperatorsStore,
    StandInEndpoint,
    configuration_document,
    endpoint_document,
    route_document,
)
from magnoliagrade_standins.proxy import FaultProxy
from magnoliagrade_standins.soak.processes import AgentProcess, EntryProcess

__all__ = ["STREAM_EVENTS", "SoakSite"]

HOST = "127.0.0.1"
STREAM_EVENTS = 6
# Processing time of a plain request, and interval between the events of a stream.
ENDPOINT_DELAY_S = 0.03
ROUTES = [
    route_document("/look/", "plain"),
    route_document("/order/", "plain", kind="unsafe"),
    route_document("/stream/", "model", kind="streaming"),
]


class SoakSite:
    """Store, endpoints and entries of a soak; use as an asynchronous context manager.

    Parameters
    ----------
    plan : SoakPlan
        Numbers of entries and endpoints, and the bound on removed keys.
    """

    def __init__(self, *, plan):
        self.plan = plan
        self.clock = SystemClock()
        self.store = OperatorsStore()
        self.proxy = FaultProxy(clock=self.clock)
        self.rules_by_fault_id = {}
        self.endpoints = []
        self.entries = []
        self.agents = []
        self.version = 3
        self.keys = ["key-0"]
        self.removed_at_by_key = {}
        self._document_by_key = {}
        self._registrations = 0
        self._runners = []
        self._folder = tempfile.TemporaryDirectory()

    async def __aenter__(self):
        """Start the stand-ins and the entries."""
        app = web.Application()
        app.add_routes(self.store.routes())
        runner = web.AppRunner(app, shutdown_timeout=0.1)
        store_address = await self._serve(runner, "store")
        self.configure()
        for service, count in (("plain", self.plan.plain), ("model", self.plan.models)):
            for number in range(count):
                await self._add_endpoint(f"{service}-{number}", service)
        for number in range(self.plan.entries):
            entry = EntryProcess(
                number=number,
                folder=self._folder.name,
                store_address=store_address,
                revoke_ms=self.plan.revoke_ms,
            )
            self.entries.append(entry)
            await entry.start()
        if self.plan.agents:
            await self._start_agents(store_address)
        return self

    async def __aexit__(self, *_exc):
        """Stop the processes and servers that this site started."""
        for process in [*self.entries, *self.agents]:
            await process.end()
        self.proxy.close()
        for runner in self._runners:
            await runner.cleanup()
        self._folder.cleanup()

    def configure(self):
        """Write a new version of the configuration with the current keys."""
        self.version += 2
        document = configuration_document(self.version, ROUTES, keys=self.keys)
        self._write("op/config", document)

    def rotate_key(self):
        """Add a key and remove the oldest one."""
        self.keys.append(f"key-{self.version}")
        removed = self.keys.pop(0)
        self.configure()
        self.removed_at_by_key[removed] = self.clock.monotonic()

    def register(self, endpoint, **fields):
        """Write an endpoint's registration to the store."""
        service = endpoint.id.partition("-")[0]
        document = endpoint_document(service, endpoint.address, **fields)
        self._registrations += 1
        document["Sequence"] = self._registrations
        self._write(f"servers/{endpoint.id}", document)

    def deregister(self, endpoint_id):
        """Delete an endpoint's registration from the store."""
        self._document_by_key.pop(f"servers/{endpoint_id}", None)
        self.store.delete(f"servers/{endpoint_id}")

    def write_again(self):
        """Write all that operators and endpoints wrote, after the store has lost it."""
        for key in list(self.store.item_by_key):
            if key.startswith("servers/") and key not in self._document_by_key:
                self.store.delete(key)
        for key, document in self._document_by_key.items():
            self.store.put(key, document)

    def _write(self, key, document):
        self._document_by_key[key] = document
        self.store.put(key, document)

    def apply_rules(self):
        """Apply the proxy rules of all current faults."""
        self.proxy.set_rules(
            [rule for rules in self.rules_by_fault_id.values() for rule in rules]
        )

    async def _start_agents(self, store_address):
        models = [e for e in self.endpoints if e.id.startswith("model-")]
        for number, endpoint in enumerate(models):
            agent = AgentProcess(
                number=number,
                folder=self._folder.name,
                store_address=store_address,
                server_address=endpoint.address,
            )
            self.agents.append(agent)
            await agent.start()

    async def _add_endpoint(self, name, service):
        endpoint = SoakEndpoint(id=name, behaviour=EndpointBehaviour())
        endpoint.target = name
        endpoint.behaviour.delay_s = ENDPOINT_DELAY_S
        endpoint.behaviour.events = STREAM_EVENTS
        runner = web.ServerRunner(
            web.Server(endpoint.handle, handler_cancellation=True), shutdown_timeout=0.1
        )
        endpoint.address = await self._serve(runner, name)
        self.endpoints.append(endpoint)
        self.register(endpoint)

    async def _serve(self, runner, target):
        await runner.setup()
        await web.TCPSite(runner, HOST, 0).start()
        self._runners.append(runner)
        port = runner.addresses[0][1]
        self.proxy.set_address(target, f"{HOST}:{port}")
        return await self.proxy.open(target)


class SoakEndpoint(StandInEndpoint):
    """Stand-in endpoint whose id may change while its address stays the same."""

    address = ""
    target = ""
