import asyncio

from magnoliagrade.clock import ManualClock


def test_sleepers_wake_in_order_of_their_due_times():
    async def main():
        clock = ManualClock()
        woken = []

        async def sleeper(seconds):
            await clock.sleep(seconds)
            woken.append((seconds, clock.monotonic()))

        tasks = [asyncio.create_task(sleeper(s)) for s in (3, 1, 2)]
        await asyncio.sleep(0)
        await clock.advance(2.5)
        assert woken == [(1, 1.0), (2, 2.0)]
        await clock.advance(1)
        assert [w[0] for w in woken] == [1, 2, 3]
        await asyncio.gather(*tasks)

    asyncio.run(main())
