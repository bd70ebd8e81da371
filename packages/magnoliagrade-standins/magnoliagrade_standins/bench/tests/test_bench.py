import asyncio
import os

import aiohttp
from aiohttp import web
from magnoliagrade.clock import SystemClock

from magnoliagrade_standins.bench import measure_latency, measure_throughput


def test_calls_on_both_paths_are_interleaved_and_compared():
    order = []

    async def time_url(url):
        order.append(url)
        return [{"direct": 0.001, "through": 0.003}[url]]

    added = asyncio.run(
        measure_latency(
            time_url,
            name="x",
            direct_url="direct",
            through_url="through",
            count=50,
            seed=1,
        )
    )
    pairs = [tuple(order[i : i + 2]) for i in range(0, 100, 2)]
    assert set(pairs) == {("direct", "through"), ("through", "direct")}
    assert round(added.ratio(99), 2) == 3.0
    assert round(added.difference_s(50), 4) == 0.002
    assert added.table_rows()[0] == "| x | 50 % | 1.00 | 3.00 | 2.00 | 3.00 |"


def test_throughput_counts_responses_by_status_and_processor_time():
    async def main():
        async def respond(request):
            return web.Response(status=503 if request.path == "/busy" else 200)

        app = web.Application()
        app.router.add_get("/{tail:.*}", respond)
        runner = web.AppRunner(app)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        host, port = runner.addresses[0]
        urls = [f"http://{host}:{port}/{path}" for path in ("free", "busy")]
        async with aiohttp.ClientSession() as session:
            throughput = await measure_throughput(
                session,
                SystemClock(),
                urls,
                name="own",
                process_ids=[os.getpid()],
                callers=2,
                duration_s=0.3,
            )
        await runner.cleanup()
        return throughput

    throughput = asyncio.run(main())
    assert throughput.succeeded and throughput.rejected
    assert abs(throughput.succeeded - throughput.rejected) <= 2
    assert 0 < throughput.processor_s < 3
