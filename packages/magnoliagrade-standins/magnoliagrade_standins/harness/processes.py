"""Processes that a test starts and stops by id."""

import asyncio
import json
import os
import signal
import sys

__all__ = ["ProcessFailed", "SpawnedProcess"]

READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0


class ProcessFailed(Exception):
    """A process ended before it was ready, or did not stop."""


class SpawnedProcess:
    """One running process and the addresses it announced.

    Parameters
    ----------
    name : str
        Name for messages.
    command : list of str
        Program and arguments.
    log_path : str
        File that takes its standard error.
    environ : dict of str to str, optional
        Additions to the environment.
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
            If it ends or stays silent.
        """
        self._log = open(self.log_path, "ab")
        self.process = await asyncio.create_subprocess_exec(
            *self.command,
            stdout=asyncio.subprocess.PIPE,
            stderr=self._log,
            env={**os.environ, **self.environ},
            # Ctrl-C reaches only the starter, which stops the others in order.
            start_new_session=True,
        )
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                line = await self.process.stdout.readline()
        except TimeoutError as exc:
            await self.kill()
            raise ProcessFailed(f"{self.name} is not ready") from exc
        if not line:
            raise ProcessFailed(f"{self.name} ended at once; see {self.log_path}")
        self.addresses = json.loads(line)["addresses"]

    async def stop(self):
        """Send SIGTERM, wait, and return the exit code."""
        return await self._end(signal.SIGTERM)

    async def kill(self):
        """Send SIGKILL and wait."""
        return await self._end(signal.SIGKILL)

    def freeze(self):
        """Stop the process from running until `thaw`."""
        self.process.send_signal(signal.SIGSTOP)

    def thaw(self):
        """Let a frozen process run again."""
        self.process.send_signal(signal.SIGCONT)

    async def _end(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                code = await self.process.wait()
        except TimeoutError as exc:
            self.process.kill()
            raise ProcessFailed(f"{self.name} did not stop") from exc
        finally:
            self._log.close()
        return code


def standin_command(name, /, **options):
    """Return the command that runs a stand-in.

    Parameters
    ----------
    name : str
        Name of the stand-in.
    **options
        Its flags.
    """
    flags = [f"--{key}={value}" for key, value in options.items()]
    return [sys.executable, "-m", "magnoliagrade_standins", name, *flags]


def binary_command(binary, *arguments):
    """Return the command that runs one of the product's binaries."""
    return [os.path.join(os.path.dirname(sys.executable), binary), *arguments]
