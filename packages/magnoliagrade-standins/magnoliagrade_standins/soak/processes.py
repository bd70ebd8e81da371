"""Entry processes of a soak, each with its own loopback address."""

import asyncio
import os
import signal
import socket
import sys

__all__ = ["EntryProcess"]

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


class EntryProcess:
    """One direct entry as a process that can be signalled and restarted.

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

    __slots__ = ("_log_path", "_path", "caller_address", "host", "process")

    def __init__(self, *, number, folder, store_address, revoke_ms):
        self.host = f"127.77.0.{number + 1}"
        self.process = None
        self._path = os.path.join(folder, f"entry-{number}.ini")
        self._log_path = os.path.join(folder, f"entry-{number}.log")
        addresses = {
            name: f"{self.host}:{_free_port(self.host)}"
            for name in ("caller", "ready", "link", "metrics")
        }
        self.caller_address = addresses["caller"]
        with open(self._path, "w", encoding="utf-8") as file:
            file.write(
                SETTINGS_TEMPLATE.format(
                    name=f"entry-{number}",
                    host=self.host,
                    store=store_address,
                    revoke_ms=revoke_ms,
                    **addresses,
                )
            )

    @property
    def has_ended(self):
        """Whether the process is not running."""
        return self.process is None or self.process.returncode is not None

    async def start(self):
        """Start the process unless it is running."""
        if not self.has_ended:
            return
        with open(self._log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "magnoliagrade_entry.direct",
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


def _free_port(host):
    with socket.create_server((host, 0)) as server:
        return server.getsockname()[1]
