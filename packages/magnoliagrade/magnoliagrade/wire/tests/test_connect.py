import asyncio
import random

from magnoliagrade.clock import SystemClock
from magnoliagrade.identity import InstanceIdentity
from magnoliagrade.wire import Heartbeat, Hello, Link, maintain_link, serve_links
from magnoliagrade.wire.connect import BACKOFF_FIRST_S, BACKOFF_MAX_S, next_backoff


def _attempt_times(seed, until_s):
    rng = random.Random(seed)
    now, backoff_s, times = 0.0, BACKOFF_FIRST_S, []
    while now < until_s:
        times.append(now)
        backoff_s = next_backoff(backoff_s, rng)
        now += backoff_s
    return times


def test_processes_that_lost_the_same_peer_reconnect_at_different_times():
    window_s = 0.1
    counts = {}
    processes = 390
    for seed in range(processes):
        for at in _attempt_times(seed, 120.0):
            if at > 30.0:
                window = int(at / window_s)
                counts[window] = counts.get(window, 0) + 1
    mean = sum(counts.values()) / len(counts)
    assert max(counts.values()) <= 3 * mean
    assert mean * 10 <= processes


def test_backoff_stays_within_its_bounds():
    rng = random.Random(1)
    backoff_s = BACKOFF_FIRST_S
    for _ in range(1000):
        backoff_s = next_backoff(backoff_s, rng)
        assert BACKOFF_FIRST_S <= backoff_s <= BACKOFF_MAX_S


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


def test_link_to_an_instance_other_than_the_expected_one_is_rejected():
    async def main():
        async def receive_one(link):
            await link.receive()

        server = await serve_links(
            host="127.0.0.1",
            port=0,
            make_link=_make_link("b"),
            hello=Hello,
            handle=receive_one,
        )
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        results = asyncio.Queue()

        async def send_one(link):
            link.send(Heartbeat())

        def dial(expected):
            return asyncio.create_task(
                maintain_link(
                    address=address,
                    make_link=_make_link("a"),
                    hello=Hello,
                    handle=send_one,
                    clock=SystemClock(),
                    rng=random.Random(1),
                    expected=expected,
                    on_result=results.put_nowait,
                )
            )

        for expected, is_accepted in (("c", False), ("b", True)):
            task = dial(expected)
            assert await results.get() is is_accepted
            task.cancel()
        server.close()

    asyncio.run(main())
