"""Command that serves a group of ranks as one process."""

import aiohttp
from magnoliagrade.clock import SystemClock
from magnoliagrade.node import announce_ready, run_until_signal, start_site

from magnoliagrade_standins.ranks.server import GroupProcess, GroupProfile
from magnoliagrade_standins.weights import WeightClient

__all__ = ["ranks_command"]


def ranks_command(address, weights_url="", **profile):
    """Serve a group of ranks, each on its own port, until SIGTERM.

    Parameters
    ----------
    address : str
        Address to listen on, as `host:0`; each rank gets a free port.
    weights_url : str
        URL of a weight store shared with other processes; empty for a local one.
    **profile
        Fields of `GroupProfile`.
    """
    runners = []
    tasks = []
    sessions = []

    async def start():
        weights = None
        if weights_url:
            sessions.append(aiohttp.ClientSession())
            weights = WeightClient(url=weights_url, session=sessions[0])
        process = GroupProcess(
            profile=GroupProfile(**profile), clock=SystemClock(), weights=weights
        )
        addresses = {}
        for index in range(process.profile.ranks):
            app = process.make_app(index)
            runner, bound = await start_site(app, address, shutdown_timeout=0.1)
            runners.append(runner)
            addresses[f"rank{index}"] = bound
        tasks.extend(process.start())
        announce_ready(**addresses)

    async def stop():
        for task in tasks:
            task.cancel()
        for runner in runners:
            await runner.cleanup()
        for session in sessions:
            await session.close()

    run_until_signal(start, stop)
