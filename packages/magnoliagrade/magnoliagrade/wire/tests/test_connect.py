import asyncio
import random

from magnoliagrade.clock import SystemClock
from magnoliagrade.identity import InstanceIdentity
from magnoliagrade.wire import Heartbeat, Hello, Link, maintain_link, serve_links
from magnoliagrade.wire.connect import BACKOFF_FIRST_S, BACKOFF_MAX_S, next_pause


def _attempt_times(seed, until_s):
    rng = random.Random(seed)
    now, pause, times = 0.0, BACKOFF_FIRST_S, []
    while now < until_s:
        times.append(now)
        pause = next_pause(pause, rng)
        now += pause
    return times


def test_processes_that_lost_the_same_peer_do_not_come_back_in_step():
    width_s = 0.1
    counts = {}
    processes = 390
    for seed in range(processes):
        for at in _attempt_times(seed, 120.0):
            if at > 30.0:
                window = int(at / width_s)
                counts[window] = counts.get(window, 0) + 1
    mean = sum(counts.values()) / len(counts)
    assert max(counts.values()) <= 3 * mean
    assert mean * 10 <= processes


def test_pause_stays_within_bounds():
    rng = random.Random(1)
    pause = BACKOFF_FIRST_S
    for _ in range(1000):
        pause = next_pause(pause, rng)
        assert BACKOFF_FIRST_S <= pause <= BACKOFF_MAX_S


def _make_link(name):
    identity = InstanceIdentity(instance=name, incarnation=1, data_centre="d")

    def make_link(*, reader, writer, is_dialled=False):
        return Link(
            reader=reader,
            writer=writer,
            identity=identity,
            revision=lambda: 0,
            is_dialled=is_dialled,
        )

    return make_link


def test_instance_that_was_not_expected_is_refused():
    async def main():
        async def hold(link):
            await link.receive()

        server = await serve_links(
            host="127.0.0.1",
            port=0,
            make_link=_make_link("b"),
            hello=Hello,
            handle=hold,
        )
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        results = asyncio.Queue()

        async def end_at_once(link):
            link.send(Heartbeat())

        def dial(expected):
            return asyncio.create_task(
                maintain_link(
                    address=address,
                    make_link=_make_link("a"),
                    hello=Hello,
                    handle=end_at_once,
                    clock=SystemClock(),
                    rng=random.Random(1),
                    expected=expected,
                    on_result=results.put_nowait,
                )
            )

        for expected, linked in (("c", False), ("b", True)):
            task = dial(expected)
            assert await results.get() is linked
            task.cancel()
        server.close()

    asyncio.run(main())
