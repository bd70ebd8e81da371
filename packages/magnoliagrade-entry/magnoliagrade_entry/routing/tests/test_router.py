import asyncio
import random
from types import SimpleNamespace

from magnoliagrade.clock import ManualClock
from magnoliagrade.configuration import parse_configuration
from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.wire import EngineLoad, PeerSummary, PoolSummary
from magnoliagrade.world import Request

from magnoliagrade_entry.membership import Departures
from magnoliagrade_entry.routing import EndpointDirectory, PeerDirectory, Router

CONFIGURATION = """
[application m]
work = model
[pool p]
endpoint_selector = work=model
cold_limit = 600
full_limit = 6000
[route r]
pool = p
"""


class _Link:
    def __init__(self, name):
        self.peer_instance = name
        self.peer_incarnation = 1
        self.sent = []
        self.hello = SimpleNamespace(
            role="agent",
            data_centre="d",
            data_address="127.0.0.1:1",
            labels=[SimpleNamespace(name="work", value="model")],
            group="",
        )

    def send(self, message):
        self.sent.append(message)

    def requested_cost(self):
        return sum(m.wanted - m.returned for m in self.sent)


def _make_router(clock, names=("e1", "e2"), limit=600.0):
    configuration = SimpleNamespace(in_force=parse_configuration(CONFIGURATION))
    common = {
        "configuration": configuration,
        "data_centre": "d",
        "departures": Departures(),
    }
    endpoints = EndpointDirectory(clock=clock, **common)
    router = Router(
        configuration=configuration,
        endpoints=endpoints,
        peers=PeerDirectory(**common),
        rng=random.Random(1),
        clock=clock,
        data_centre="d",
    )
    links = [_Link(name) for name in names]
    for link in links:
        endpoints.on_link_up(link)
        endpoints.on_load(link.peer_instance, EngineLoad(limit=limit))
    return router, endpoints, links


def _add_peer(router, clock, free_credits):
    link = _Link("peer")
    link.hello.role = "entry"
    link.hello.data_centre = "remote"
    peers = router._peer_selector._peers
    peers.on_link_up(link)
    peer = peers.by_name["peer"]
    row = PoolSummary(pool="p", free_credits=free_credits, ready_endpoints=1)
    peer.summary = PeerSummary(data_centre="remote", pools=[row])
    peer.summary_at = clock.monotonic()


def _request(number, organisation="o", cost=200, deadline=100.0):
    return Request(
        id=f"r{number}",
        organisation=organisation,
        application="m",
        method="POST",
        path="/",
        labels={"application": "m"},
        prompt_tokens=cost // 2,
        output_tokens=cost - cost // 2,
        deadline=deadline,
    )


async def _start(router, *requests):
    tasks = [asyncio.create_task(router.place(r)) for r in requests]
    await asyncio.sleep(0)
    return tasks


def test_request_is_placed_only_after_credit_is_granted():
    async def main():
        router, endpoints, (link,) = _make_router(ManualClock(), names=("e1",))
        (task,) = await _start(router, _request(1))
        assert link.requested_cost() == 200 and not task.done()
        router.on_grant(endpoints.by_name["e1"], 200)
        assert (await task).name == "e1"

    asyncio.run(main())


def test_credit_goes_to_the_organisation_with_the_least_service():
    async def main():
        router, endpoints, _ = _make_router(ManualClock(), names=("e1",), limit=6000)
        requests = [_request(i, "large") for i in range(3)]
        tasks = await _start(router, *requests, _request(9, "small"))
        for _ in range(2):
            router.on_grant(endpoints.by_name["e1"], 200)
        await asyncio.sleep(0)
        assert [t.done() for t in tasks] == [True, False, False, True]
        assert endpoints.by_name["e1"].requested_cost == 400

    asyncio.run(main())


def test_credit_request_is_cancelled_when_the_caller_disconnects():
    async def main():
        router, endpoints, (link,) = _make_router(ManualClock(), names=("e1",))
        (task,) = await _start(router, _request(1))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert link.requested_cost() == 0
        router.on_grant(endpoints.by_name["e1"], 200)
        assert len(router.queue_by_pool["p"]) == 0

    asyncio.run(main())


def test_credit_request_moves_when_the_link_of_its_endpoint_is_lost():
    async def main():
        router, endpoints, links = _make_router(ManualClock())
        await _start(router, _request(1))
        first = next(k for k in links if k.requested_cost())
        other = next(k for k in links if k is not first)
        endpoints.on_link_down(first)
        router.tick()
        assert other.requested_cost() == 200

    asyncio.run(main())


def test_credit_of_a_leaving_endpoint_is_returned_unused():
    async def main():
        router, endpoints, links = _make_router(ManualClock(), names=("e1",))
        (task,) = await _start(router, _request(1))
        handle = endpoints.by_name["e1"]
        endpoints._departures = SimpleNamespace(is_leaving=lambda *_: True)
        router.on_grant(handle, 200)
        await asyncio.sleep(0)
        assert not task.done() and links[0].sent[-1].unused == 200
        task.cancel()

    asyncio.run(main())


def test_waiting_request_is_rejected_once_its_deadline_cannot_be_met():
    async def main():
        clock = ManualClock()
        router, _, _ = _make_router(clock, names=("e1",))
        (task,) = await _start(router, _request(1, deadline=1.0))
        await clock.advance(1.1)
        router.tick()
        (error,) = await asyncio.gather(task, return_exceptions=True)
        assert error.kind is ErrorKind.DEADLINE_NOT_RUN and error.retry_after >= 1
        assert clock.monotonic() < 1.2

    asyncio.run(main())


def test_request_with_a_cost_above_the_full_limit_is_rejected_at_once():
    async def main():
        router, _, _ = _make_router(ManualClock())
        try:
            await router.place(_request(1, cost=6001))
        except MagnoliagradeError as exc:
            return exc.kind
        return None

    assert asyncio.run(main()) is ErrorKind.TOO_LARGE


def test_outlier_is_ejected_but_at_most_a_third_of_the_endpoints():
    clock = ManualClock()
    router, endpoints, _ = _make_router(clock, names=("e1", "e2", "e3"))
    for name, token_s in (("e1", 0.2), ("e2", 0.01), ("e3", 0.01)):
        for _ in range(10):
            endpoints.by_name[name].health.note("whole", token_s)
    pool = router._configuration.in_force.pool_by_name["p"]
    names = [h.endpoint.name for h in router._candidates(pool, frozenset())]
    assert names == ["e2", "e3"]
    for _ in range(20):
        endpoints.by_name["e2"].health.note("ANSWER_BROKEN", 0.0)
    names = [h.endpoint.name for h in router._candidates(pool, frozenset())]
    assert names == ["e2", "e3"]


def test_ejected_endpoint_is_readmitted_after_a_successful_probe():
    async def main():
        clock = ManualClock()
        router, endpoints, _ = _make_router(clock, names=("e1", "e2", "e3"))
        health = endpoints.by_name["e1"].health
        health.eject(0.01)
        pool = router._configuration.in_force.pool_by_name["p"]
        assert len(router._candidates(pool, frozenset())) == 2
        await clock.advance(6)
        assert len(router._candidates(pool, frozenset())) == 3
        health.note("whole", 0.5)
        assert health.is_ejected()
        await clock.advance(11)
        health.note("whole", 0.01)
        assert not health.is_ejected() and not health.is_probing

    asyncio.run(main())


def test_credit_requested_within_a_share_is_not_used_above_a_share():
    async def main():
        router, endpoints, (link,) = _make_router(
            ManualClock(), names=("e1",), limit=9000
        )
        handle = endpoints.by_name["e1"]
        for i in range(12):
            (task,) = await _start(router, _request(f"first {i}", "large"))
            router.on_grant(handle, 200)
            await task
        for name in ("a", "b", "c"):
            (task,) = await _start(router, _request(f"first {name}", name))
            router.on_grant(handle, 200)
            await task
        large, small = await _start(
            router, _request("large", "large"), _request("small", "a")
        )
        kinds = [m.is_surplus for m in link.sent[-2:]]
        assert kinds == [True, False]
        router.on_grant(handle, 200, is_surplus=False)
        await asyncio.sleep(0)
        assert small.done() and not large.done()
        router.on_grant(handle, 200, is_surplus=True)
        await asyncio.sleep(0)
        assert large.done()

    asyncio.run(main())


def test_credit_request_moves_when_its_endpoint_reports_that_it_is_full():
    async def main():
        router, endpoints, links = _make_router(ManualClock())
        await _start(router, _request(1))
        first = next(k for k in links if k.requested_cost())
        other = next(k for k in links if k is not first)
        load = EngineLoad(limit=600, held=600)
        endpoints.on_load(first.peer_instance, load)
        router.on_load(endpoints.by_name[first.peer_instance])
        assert (first.requested_cost(), other.requested_cost()) == (0, 200)
        endpoints.on_load(other.peer_instance, load)
        router.on_load(endpoints.by_name[other.peer_instance])
        assert (first.requested_cost(), other.requested_cost()) == (0, 200)

    asyncio.run(main())


def test_waiting_request_is_forwarded_when_no_local_endpoint_is_left():
    async def main():
        clock = ManualClock()
        router, endpoints, links = _make_router(clock, names=("e1",), limit=600.0)
        endpoints.on_load("e1", EngineLoad(limit=600.0, held=600.0))
        task = asyncio.create_task(router.place(_request(1)))
        await asyncio.sleep(0)
        endpoints.on_link_down(links[0])
        _add_peer(router, clock, free_credits=1000.0)
        router.tick()
        placement = await asyncio.wait_for(task, 5)
        assert placement.peer.name == "peer"

    asyncio.run(main())


def test_request_that_waits_longer_than_estimated_is_forwarded():
    async def main():
        clock = ManualClock()
        router, endpoints, _links = _make_router(clock, names=("e1",), limit=600.0)
        endpoints.on_load("e1", EngineLoad(limit=600.0, held=600.0))
        task = asyncio.create_task(router.place(_request(1)))
        await asyncio.sleep(0)
        await clock.advance(0.5)
        endpoints.on_load("e1", EngineLoad(limit=600.0, held=600.0))
        _add_peer(router, clock, free_credits=1000.0)
        router.tick()
        placement = await asyncio.wait_for(task, 5)
        assert placement.peer.name == "peer"

    asyncio.run(main())
