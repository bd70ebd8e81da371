import asyncio
import math
import random
from types import SimpleNamespace

from magnoliagrade.clock import ManualClock
from magnoliagrade.wire import EndpointLimit, Permit, PermitRequest
from magnoliagrade.world.site import SiteEndpoint

from magnoliagrade_entry.direct.placement.endpoint_table import EndpointTable
from magnoliagrade_entry.direct.placement.limit_exchange import LimitExchange
from magnoliagrade_entry.direct.placement.permits import issuer_of

NAMES = ("entry-0", "entry-1", "entry-2")


def test_new_limit_is_told_to_peers_once():
    async def scenario():
        node = _node()
        exchange = LimitExchange(node=node)
        exchange.record_response("i-0", 2.0, sent_at=50.0)
        exchange.record_response("i-0", 2.0, sent_at=50.5)
        assert node.sent == [EndpointLimit(endpoint="i-0", per_second=2.0)]
        assert exchange.all_limits() == node.sent
        exchange.receive("entry-1", EndpointLimit(endpoint="i-0", per_second=math.inf))
        assert len(node.sent) == 1
        assert exchange.all_limits() == []

    asyncio.run(scenario())


def test_issuer_uses_its_own_newer_limit_and_answers_in_order():
    async def scenario():
        node = _node()
        exchange = LimitExchange(node=node)
        exchange.receive("entry-1", EndpointLimit(endpoint="i-0", per_second=1.0))
        # One permit in 1.1 s by the limit of 1, in 0.01 s by that of the requests.
        for name in ("entry-2", "entry-1"):
            exchange.receive(name, PermitRequest(endpoint="i-0", per_second=100.0))
        await asyncio.sleep(0)
        assert not node.permits
        node.clock._time += 0.7
        exchange.receive("entry-2", PermitRequest(endpoint="i-0", per_second=100.0))
        exchange.receive("entry-1", PermitRequest(endpoint="i-0", per_second=100.0))
        await asyncio.sleep(0)
        assert not node.permits
        node.clock._time += 0.5
        exchange.issue_due_permits()
        assert node.permits == [("entry-2", "i-0")]

    asyncio.run(scenario())


def test_permit_is_asked_for_only_if_a_request_would_use_it():
    async def scenario():
        node = _node()
        exchange = LimitExchange(node=node)
        ask = {"excluded": (), "waiting": 0, "now": 50.0}
        exchange.request_permit("model", rival=None, **ask)
        assert not node.requests
        issued_elsewhere = next(
            f"i-{n}" for n in range(9) if issuer_of(f"i-{n}", NAMES) != NAMES[0]
        )
        exchange.receive(
            "entry-1", EndpointLimit(endpoint=issued_elsewhere, per_second=1.0)
        )
        table = node.endpoint_table
        limited = table.by_id[issued_elsewhere]
        other = next(load for load in table.by_id.values() if load is not limited)
        limited.local_in_flight = 2
        exchange.request_permit("model", rival=other, **ask)
        assert not node.requests
        limited.local_in_flight = 0
        other.local_in_flight = 2
        for _ in range(3):
            exchange.request_permit("model", rival=other, **ask)
        assert node.requests == [(issuer_of(issued_elsewhere, NAMES), issued_elsewhere)]
        exchange.receive("entry-1", Permit(endpoint=issued_elsewhere))
        assert not limited.needs_permit(50.0)

    asyncio.run(scenario())


def _node():
    """Return a stand-in of an entry with two links, and what it sends."""
    node = SimpleNamespace(clock=ManualClock(start=50.0), sent=[], permits=[])
    node.requests = []

    def link_to(name):
        def send(message):
            kind = node.permits if isinstance(message, Permit) else node.requests
            kind.append((name, message.endpoint))

        return SimpleNamespace(send=send)

    node.settings = SimpleNamespace(name=NAMES[0])
    node.peers = SimpleNamespace(
        broadcast=node.sent.append,
        link_by_name={name: link_to(name) for name in NAMES[1:]},
    )
    node.count_entries = lambda: len(NAMES)
    node.wake_wait_queues = lambda: None
    node.endpoint_table = EndpointTable(data_centre="dc-0", rng=random.Random(1))
    node.endpoint_table.update(
        SiteEndpoint(
            id=f"i-{number}",
            service="model",
            address=f"10.0.0.{number}:80",
            data_centre="dc-0",
            slots=6,
        )
        for number in range(9)
    )
    return node
