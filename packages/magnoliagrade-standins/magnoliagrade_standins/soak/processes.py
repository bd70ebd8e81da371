"""Entry and agent processes of a soak, each with its own loopback address."""

import asyncio
import contextlib
import os
import signal
import socket
import sys

__all__ = ["AgentProcess", "EntryProcess"]

AGENT_SETTINGS_TEMPLATE = """
[instance]
name = {name}
data_centre = dc-1

[listen]
link_address = {link}
metrics_address = {metrics}
source_address = {host}

[platform]
store_address = {store}
server_address = {server}
"""
SETTINGS_TEMPLATE = """
[instance]
name = {name}
data_centre = dc-1

[listen]
caller_address = {caller}
ready_address = {ready}
link_address = {link}
metrics_address = {metrics}
source_address = {host}

[platform]
store_address = {store}

[bounds]
revoke_ms = {revoke_ms}
grace_s = 4
retry_extra = 90
"""


class _Process:
    """Process of the system that can be signalled and restarted.

    Parameters
    ----------
    module : str
        Module that is run with the path of a settings file.
    name : str
        Name of the process.
    host : str
        Its loopback address.
    folder : str
        Folder for its settings file and log file.
    template : str
        Template of its settings file.
    listeners : sequence of str
        Names of its listeners; each gets a free port.
    **fields
        Further fields of the template.
    """

    __slots__ = (
        "_log_path",
        "_module",
        "_path",
        "_starting",
        "addresses",
        "host",
        "process",
    )

    def __init__(self, *, module, name, host, folder, template, listeners, **fields):
        self.host = host
        self.process = None
        self._starting = asyncio.Lock()
        self._module = module
        self._path = os.path.join(folder, f"{name}.ini")
        self._log_path = os.path.join(folder, f"{name}.log")
        ports = _free_ports(host, len(listeners))
        self.addresses = {
            listener: f"{host}:{port}"
            for listener, port in zip(listeners, ports, strict=True)
        }
        with open(self._path, "w", encoding="utf-8") as file:
            file.write(
                template.format(name=name, host=host, **self.addresses, **fields)
            )

    @property
    def has_ended(self):
        """Whether the process is not running."""
        return self.process is None or self.process.returncode is not None

    async def start(self):
        """Start the process unless it is running."""
        # Two faults may start the same process at the same time.
        async with self._starting:
            if not self.has_ended:
                return
            with open(self._log_path, "ab") as log:
                self.process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    self._module,
                    self._path,
                    stdout=log,
                    stderr=log,
                    start_new_session=True,
                )

    def send(self, signal_number):
        """Send a signal if the process is running."""
        if not self.has_ended:
            self.process.send_signal(signal_number)

    async def end(self, signal_number=signal.SIGKILL):
        """Send a signal and wait until the process has ended."""
        if self.process is not None:
            self.send(signal_number)
            await self.process.wait()


class EntryProcess(_Process):
    """One direct entry.

    Parameters
    ----------
    number : int
        Number of the entry, from 0; its loopback address is 127.77.0.(number + 1).
    folder : str
        Folder for its settings file and log file.
    store_address : str
        `host:port` of the store, as this entry reaches it.
    revoke_ms : float
        Time after which a removed key must be rejected, in milliseconds.
    """

    __slots__ = ()

    def __init__(self, *, number, folder, store_address, revoke_ms):
        super().__init__(
            module="magnoliagrade_entry.direct",
            name=f"entry-{number}",
            host=f"127.77.0.{number + 1}",
            folder=folder,
            template=SETTINGS_TEMPLATE,
            listeners=("caller", "ready", "link", "metrics"),
            store=store_address,
            revoke_ms=revoke_ms,
        )

    @property
    def caller_address(self):
        """`host:port` that callers connect to."""
        return self.addresses["caller"]


class AgentProcess(_Process):
    """One direct agent.

    Parameters
    ----------
    number : int
        Number of the agent, from 0; its loopback address is 127.77.1.(number + 1).
    folder : str
        Folder for its settings file and log file.
    store_address, server_address : str
        `host:port` of the store and of the model server beside the agent.
    """

    __slots__ = ()

    def __init__(self, *, number, folder, store_address, server_address):
        super().__init__(
            module="magnoliagrade_agent.direct",
            name=f"agent-{number}",
            host=f"127.77.1.{number + 1}",
            folder=folder,
            template=AGENT_SETTINGS_TEMPLATE,
            listeners=("link", "metrics"),
            store=store_address,
            server=server_address,
        )


def _free_ports(host, count):
    """Return different free ports: a port that was just closed may be drawn again."""
    with contextlib.ExitStack() as stack:
        servers = [
            stack.enter_context(socket.create_server((host, 0))) for _ in range(count)
        ]
        return [server.getsockname()[1] for server in servers]
