"""Latency through entry and agent against that of the back end alone."""

import random
from dataclasses import dataclass

from magnoliagrade_standins.load.histograms import make_histogram, percentile_s

__all__ = ["AddedLatency", "measure_latency", "time_call", "time_stream"]

SHOWN = (50, 99)
STREAM_TOKENS = 16
HEADERS = {"Authorization": "Bearer key-0"}


@dataclass(slots=True, kw_only=True)
class AddedLatency:
    """Latencies of one kind of call over both ways.

    Parameters
    ----------
    name : str
        What was timed.
    direct, through : HdrHistogram
        Times from the back end alone and through entry and agent.
    """

    name: str
    direct: object
    through: object

    def ratio(self, percentile):
        """Return the time through the system over the direct one."""
        return percentile_s(self.through, percentile) / percentile_s(
            self.direct, percentile
        )

    def difference_s(self, percentile):
        """Return the added time in seconds."""
        return percentile_s(self.through, percentile) - percentile_s(
            self.direct, percentile
        )

    def lines(self):
        """Return the rows of a Markdown table."""
        return [
            f"| {self.name} | {p} % | {1000 * percentile_s(self.direct, p):.2f} "
            f"| {1000 * percentile_s(self.through, p):.2f} "
            f"| {1000 * self.difference_s(p):.2f} | {self.ratio(p):.2f} |"
            for p in SHOWN
        ]


async def measure_latency(timed, *, name, direct_url, through_url, count, seed):
    """Time calls over both ways, interleaved in random order.

    Parameters
    ----------
    timed : coroutine function
        Takes a URL and returns a list of times in seconds.
    name : str
        What is timed.
    direct_url, through_url : str
        The two ways.
    count : int
        Calls over each way; one is in flight at a time.
    seed : int
        Seed of the order.

    Returns
    -------
    added : AddedLatency
        Histograms of both ways.
    """
    rng = random.Random(seed)
    times_by_url = {direct_url: [], through_url: []}
    for _ in range(count):
        for url in rng.sample(sorted(times_by_url), 2):
            times_by_url[url] += await timed(url)
    return AddedLatency(
        name=name,
        direct=make_histogram(times_by_url[direct_url]),
        through=make_histogram(times_by_url[through_url]),
    )


async def time_call(session, clock, url):
    """Return the time of one call of a plain service, as a list."""
    begun = clock.monotonic()
    async with session.get(url, headers=HEADERS) as response:
        await response.read()
        response.raise_for_status()
    return [clock.monotonic() - begun]


async def time_stream(session, clock, url):
    """Return the times to the first token and between tokens of a stream."""
    body = {
        "model": "swatch",
        "stream": True,
        "max_tokens": STREAM_TOKENS,
        "prompt": "linen",
    }
    times = []
    last = clock.monotonic()
    async with session.post(url, json=body, headers=HEADERS) as response:
        response.raise_for_status()
        async for line in response.content:
            if line.startswith(b"data: {"):
                now = clock.monotonic()
                times.append(now - last)
                last = now
    return times
