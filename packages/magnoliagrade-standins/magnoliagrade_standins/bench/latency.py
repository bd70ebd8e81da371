"""Latency through entry and agent compared with direct calls of the back end."""

import random
from dataclasses import dataclass

from magnoliagrade_standins.load.histograms import make_histogram, percentile_s

__all__ = ["AddedLatency", "measure_latency", "time_call", "time_stream"]

# Percentiles in the rows of the table.
PERCENTILES = (50, 99)
STREAM_TOKENS = 16
HEADERS = {"Authorization": "Bearer key-0"}


@dataclass(slots=True, kw_only=True)
class AddedLatency:
    """Latencies of one kind of call on the direct path and through the system.

    Parameters
    ----------
    name : str
        Name of the timed operation.
    direct, through : HdrHistogram
        Latencies of direct calls of the back end, and of calls through entry and
        agent.
    """

    name: str
    direct: object
    through: object

    def ratio(self, percentile):
        """Return the latency through the system divided by the direct latency.

        Parameters
        ----------
        percentile : float
            Percentile of both histograms, 0 to 100.
        """
        return percentile_s(self.through, percentile) / percentile_s(
            self.direct, percentile
        )

    def difference_s(self, percentile):
        """Return the latency that the system adds, in seconds.

        Parameters
        ----------
        percentile : float
            Percentile of both histograms, 0 to 100.
        """
        return percentile_s(self.through, percentile) - percentile_s(
            self.direct, percentile
        )

    def table_rows(self):
        """Return the rows of a Markdown table, one for each percentile shown."""
        return [
            f"| {self.name} | {p} % | {1000 * percentile_s(self.direct, p):.2f} "
            f"| {1000 * percentile_s(self.through, p):.2f} "
            f"| {1000 * self.difference_s(p):.2f} | {self.ratio(p):.2f} |"
            for p in PERCENTILES
        ]


async def measure_latency(time_url, *, name, direct_url, through_url, count, seed):
    """Time calls on both paths, interleaved in random order.

    Parameters
    ----------
    time_url : coroutine function
        Calls a URL and returns a list of times in seconds.
    name : str
        Name of the timed operation.
    direct_url, through_url : str
        URLs of the back end and of the entry.
    count : int
        Calls on each path; one is in flight at a time.
    seed : int
        Seed of the random order of the two paths.

    Returns
    -------
    added : AddedLatency
        Histograms of both paths.
    """
    rng = random.Random(seed)
    times_by_url = {direct_url: [], through_url: []}
    for _ in range(count):
        for url in rng.sample(sorted(times_by_url), 2):
            times_by_url[url] += await time_url(url)
    return AddedLatency(
        name=name,
        direct=make_histogram(times_by_url[direct_url]),
        through=make_histogram(times_by_url[through_url]),
    )


async def time_call(session, clock, url):
    """Return the duration of one call of a plain service, as a list of one time.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session to call with.
    clock : Clock
        Source of time.
    url : str
        URL to call.

    Raises
    ------
    aiohttp.ClientResponseError
        The status of the response is 400 or more.
    """
    started_at = clock.monotonic()
    async with session.get(url, headers=HEADERS) as response:
        await response.read()
        response.raise_for_status()
    return [clock.monotonic() - started_at]


async def time_stream(session, clock, url):
    """Return the time to the first token of a stream and the times between tokens.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session to call with.
    clock : Clock
        Source of time.
    url : str
        URL of the completions.

    Raises
    ------
    aiohttp.ClientResponseError
        The status of the response is 400 or more.
    """
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
