"""Processes that a test starts, and stops by process id."""

import asyncio
import json
import os
import signal
import sys

__all__ = ["ProcessFailed", "SpawnedProcess"]

READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0


class ProcessFailed(Exception):
    """A process was not ready in time, ended too early, or did not stop in time."""


class SpawnedProcess:
    """One process and the addresses that it reports when it is ready.

    Parameters
    ----------
    name : str
        Name used in error messages.
    command : list of str
        Program and arguments.
    log_path : str
        File that its standard error is appended to.
    environ : dict of str to str, optional
        Environment variables in addition to those of this process.
    """

    __slots__ = (
        "_log",
        "addresses",
        "command",
        "environ",
        "log_path",
        "name",
        "process",
    )

    def __init__(self, *, name, command, log_path, environ=None):
        self.name = name
        self.command = command
        self.log_path = log_path
        self.environ = environ or {}
        self.addresses = {}
        self.process = None
        self._log = None

    async def start(self):
        """Start the process and wait for its ready line.

        Raises
        ------
        ProcessFailed
            If it ends first, or prints no ready line within 30 s.
        """
        self._log = open(self.log_path, "ab")
        self.process = await asyncio.create_subprocess_exec(
            *self.command,
            stdout=asyncio.subprocess.PIPE,
            stderr=self._log,
            env={**os.environ, **self.environ},
            # In its own session the process gets no SIGINT from the terminal: Ctrl-C
            # reaches only its parent, which then stops all processes in order.
            start_new_session=True,
        )
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                line = await self.process.stdout.readline()
        except TimeoutError as exc:
            await self.kill()
            raise ProcessFailed(f"{self.name} printed no ready line in time") from exc
        if not line:
            raise ProcessFailed(
                f"{self.name} ended before it was ready; see {self.log_path}"
            )
        self.addresses = json.loads(line)["addresses"]

    async def stop(self):
        """Send SIGTERM, wait for the end and return the exit code.

        Raises
        ------
        ProcessFailed
            If it does not end within 30 s; it is then killed.
        """
        return await self._end(signal.SIGTERM)

    async def kill(self):
        """Send SIGKILL, wait for the end and return the exit code."""
        return await self._end(signal.SIGKILL)

    def freeze(self):
        """Suspend the process with SIGSTOP until `thaw`."""
        self.process.send_signal(signal.SIGSTOP)

    def thaw(self):
        """Resume a suspended process with SIGCONT."""
        self.process.send_signal(signal.SIGCONT)

    async def _end(self, signal_number):
        if self.process.returncode is None:
            self.process.send_signal(signal_number)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                code = await self.process.wait()
        except TimeoutError as exc:
            self.process.kill()
            raise ProcessFailed(
                f"{self.name} did not stop in time and was killed"
            ) from exc
        finally:
            self._log.close()
        return code


def standin_command(name, /, **options):
    """Return the command that runs a stand-in.

    Parameters
    ----------
    name : str
        Subcommand that runs the stand-in.
    **options
        Flags, by name without the leading dashes.
    """
    flags = [f"--{key}={value}" for key, value in options.items()]
    return [sys.executable, "-m", "magnoliagrade_standins", name, *flags]


def binary_command(binary, *arguments):
    """Return the command that runs a binary installed beside this interpreter."""
    return [os.path.join(os.path.dirname(sys.executable), binary), *arguments]
