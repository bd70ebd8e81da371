"""Start and stop of a process: listeners, signals, the ready line."""

import asyncio
import json
import signal
import sys

import uvloop
from aiohttp import web

from magnoliagrade.http import listen

__all__ = ["announce_ready", "bound_address", "run_until_signal", "start_site"]


async def start_site(app, address, **runner_options):
    """Start serving an application; return its runner and bound address.

    Parameters
    ----------
    app : aiohttp.web.Application
        Application to serve.
    address : str
        `host:port`; port 0 selects a free port.
    **runner_options
        Options of `aiohttp.web.AppRunner`.

    Returns
    -------
    runner : aiohttp.web.AppRunner
        The caller must clean it up when the process stops.
    bound : str
        `host:port` that the application is served on.
    """
    runner = web.AppRunner(app, access_log=None, **runner_options)
    return runner, await listen(runner, address)


def bound_address(server):
    """Return the `host:port` that an asyncio server listens on."""
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"


def announce_ready(**addresses):
    """Write one JSON line to standard output with the bound addresses."""
    line = json.dumps({"event": "process.ready", "addresses": addresses})
    print(line, file=sys.stdout, flush=True)


def run_until_signal(start, stop):
    """Run a process until SIGTERM or SIGINT and return its exit code.

    Parameters
    ----------
    start : coroutine function
        Starts the process's listeners and tasks.
    stop : coroutine function
        Shuts the process down gracefully.

    Returns
    -------
    code : int
        0 after a graceful shutdown.
    """

    async def main():
        loop = asyncio.get_running_loop()
        stopping = asyncio.Event()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stopping.set)
        await start()
        await stopping.wait()
        await stop()

    uvloop.run(main())
    return 0
