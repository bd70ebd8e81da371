"""Background tasks of a node: a table to start and a book of running ones."""

import asyncio
import logging

from magnoliagrade.observability.logs import log_event

__all__ = ["TaskTable", "Tasks"]

_log = logging.getLogger(__name__)


class TaskTable:
    """Coroutine functions that a node runs from start to stop."""

    __slots__ = ("by_name",)

    def __init__(self):
        self.by_name = {}

    def register(self, name):
        """Return a decorator that files a coroutine function `f(node)`.

        Raises
        ------
        ValueError
            If the name is taken.
        """

        def file_task(function):
            if name in self.by_name:
                raise ValueError(f"background task {name!r} is registered already")
            self.by_name[name] = function
            return function

        return file_task


class Tasks:
    """Running tasks, kept referenced and logged when they fail."""

    __slots__ = ("_running",)

    def __init__(self):
        self._running = set()

    def start(self, coroutine, *, name):
        """Run a coroutine as a task.

        Parameters
        ----------
        coroutine : coroutine
            What to run.
        name : str
            Name for logs.

        Returns
        -------
        task : asyncio.Task
            The running task.
        """
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self._running.add(task)
        task.add_done_callback(self._on_done)
        return task

    async def stop(self):
        """Cancel every task and wait for all to end."""
        tasks = list(self._running)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_done(self, task):
        self._running.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        exc = task.exception()
        _log.error(
            "task.failed",
            extra={"task": task.get_name()},
            exc_info=(type(exc), exc, exc.__traceback__),
        )
        log_event(_log, "task.ended", task=task.get_name(), level=logging.ERROR)
