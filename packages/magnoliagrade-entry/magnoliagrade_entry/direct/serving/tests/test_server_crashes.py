"""Servers that end while earlier failures at them are still being looked into.

All streams of a group break off when one of its ranks is lost, so that every server is
watched for some seconds. One of them may end under a request in that time.
"""

import asyncio
from types import SimpleNamespace
from unittest import mock

from magnoliagrade.clock import ManualClock
from magnoliagrade.errors import ErrorKind

from magnoliagrade_entry.direct.placement.fault_domains import FaultDomain
from magnoliagrade_entry.direct.serving import server_crashes
from magnoliagrade_entry.direct.serving.crash_guard import CrashGuard
from magnoliagrade_entry.direct.serving.request_traits import RequestTraits
from magnoliagrade_entry.direct.serving.server_crashes import CrashWatch

ENDPOINT = SimpleNamespace(id="i-1", address="127.0.0.1:1")
LOAD = SimpleNamespace(endpoint=ENDPOINT, fault_domain=FaultDomain(service="model"))


def test_crash_is_found_while_an_earlier_failure_at_the_server_is_looked_into():
    async def scenario():
        for pause_s in (0.3, 1.5, 3.7):
            node = _node()
            ended = asyncio.Event()

            async def refuses(_address, _source_address, ended=ended):
                return ended.is_set()

            with mock.patch.object(server_crashes, "_refuses_connections", refuses):
                _begin(node, "stalled")
                await _advance(node.clock, pause_s)
                ended.set()
                _begin(node, "deadly")
                await _advance(node.clock, 0.5)
                found = {c.traits.request for c in node.crash_guard.crashes()}
                assert "deadly" in found, pause_s
            await node.end()

    asyncio.run(scenario())


def test_attempts_that_break_off_together_share_the_checks_of_their_server():
    async def scenario():
        node = _node()
        checks = []

        async def refuses(address, _source_address):
            checks.append(address)
            return True

        with mock.patch.object(server_crashes, "_refuses_connections", refuses):
            for name in ("a", "b", "c"):
                _begin(node, name)
            await _advance(node.clock, 0.5)
        found = {crash.traits.request for crash in node.crash_guard.crashes()}
        assert found == {"a", "b", "c"}
        assert len(checks) == 1
        await node.end()

    asyncio.run(scenario())


def _begin(node, name):
    node.crash_watch.begin(
        LOAD,
        SimpleNamespace(id=name, service="model"),
        RequestTraits(request=name, variant=name, caller="org"),
        kind=ErrorKind.OUTCOME_UNKNOWN,
        began_at=node.clock.monotonic() - 0.2,
    )


def _node():
    clock = ManualClock(start=50.0)
    tasks = []

    def start(coroutine, *, name):
        tasks.append(asyncio.ensure_future(coroutine))

    async def end():
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    registry = SimpleNamespace(
        has_announced_end=lambda _endpoint: False,
        has_successor=lambda _endpoint: False,
        registered_at=lambda _endpoint: 0.0,
    )
    node = SimpleNamespace(
        clock=clock,
        crash_guard=CrashGuard(clock=clock),
        peers=SimpleNamespace(announce_crash=lambda _crash: None),
        settings=SimpleNamespace(source_address=""),
        site_state=SimpleNamespace(registry=registry),
        tasks=SimpleNamespace(start=start),
        end=end,
    )
    node.crash_watch = CrashWatch(node=node)
    return node


async def _advance(clock, seconds):
    await asyncio.sleep(0)
    for _ in range(round(seconds / 0.05)):
        await clock.advance(0.05)
