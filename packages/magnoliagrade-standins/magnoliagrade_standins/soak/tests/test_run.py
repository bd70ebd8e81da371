"""The load goes on after the last fault, and a process is started once at a time."""

import asyncio
import tempfile
from types import SimpleNamespace
from unittest import mock

from magnoliagrade.clock import ManualClock

from magnoliagrade_standins.soak.plan import FAULT_FREE_END_S
from magnoliagrade_standins.soak.processes import EntryProcess, _free_ports
from magnoliagrade_standins.soak.run import _run_callers


def test_load_goes_on_for_the_fault_free_time_after_a_fault_that_ends_late():
    async def scenario():
        clock = ManualClock()
        caller = _Caller(clock=clock)
        # The load is planned to end at 12 s, this fault ends at 10.5 s.
        fault = asyncio.ensure_future(clock.sleep(10.5))
        load = asyncio.ensure_future(
            _run_callers([caller], [fault], clock=clock, min_ends_at=12.0)
        )
        await asyncio.sleep(0)
        for _ in range(200):
            await clock.advance(0.1)
        assert round(await load, 6) == 10.5 + FAULT_FREE_END_S
        assert round(caller.ended_at, 6) >= 10.5 + FAULT_FREE_END_S

    asyncio.run(scenario())


def test_two_starts_at_the_same_time_start_one_process():
    async def start_process(*_arguments, **_options):
        await asyncio.sleep(0)
        started.append(SimpleNamespace(returncode=None))
        return started[-1]

    async def scenario(folder):
        entry = EntryProcess(
            number=0, folder=folder, store_address="127.0.0.1:1", revoke_ms=3000.0
        )
        await asyncio.gather(entry.start(), entry.start())

    started = []
    with (
        tempfile.TemporaryDirectory() as folder,
        mock.patch("asyncio.create_subprocess_exec", start_process),
    ):
        asyncio.run(scenario(folder))
    assert len(started) == 1


def test_listeners_of_a_process_never_share_a_port():
    drawn = iter([7001, 7001, 7002, 7003, 7004])
    open_ports = set()

    class Server:
        def __init__(self, _address):
            # A port is drawn again only if it is not in use.
            self._port = next(port for port in drawn if port not in open_ports)
            open_ports.add(self._port)

        def __enter__(self):
            return self

        def __exit__(self, *_exc):
            open_ports.discard(self._port)

        def getsockname(self):
            return "127.77.0.1", self._port

    with mock.patch("socket.create_server", Server):
        ports = _free_ports("127.77.0.1", 4)
    assert len(set(ports)) == 4


class _Caller:
    """Caller that sends nothing and records when it ended."""

    def __init__(self, *, clock):
        self._clock = clock
        self.ended_at = None

    async def run(self, *, is_over):
        while not is_over():
            await self._clock.sleep(0.1)
        self.ended_at = self._clock.monotonic()
