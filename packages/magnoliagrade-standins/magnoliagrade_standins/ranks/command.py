"""The command that runs a group of ranks as a process."""

from magnoliagrade.clock import SystemClock
from magnoliagrade.node import announce_ready, run_until_signal, start_site

from magnoliagrade_standins.ranks.server import GroupProfile, RankProcess

__all__ = ["ranks_command"]


def ranks_command(address, **profile):
    """Serve a group of ranks, each on a port of its own, until SIGTERM.

    Parameters
    ----------
    address : str
        `host:0` to listen on.
    **profile
        Fields of `GroupProfile`.
    """
    runners = []
    tasks = []

    async def start():
        process = RankProcess(profile=GroupProfile(**profile), clock=SystemClock())
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

    run_until_signal(start, stop)
