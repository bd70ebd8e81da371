"""Background tasks of a node: those started with it and those that run."""

import asyncio
import logging

from magnoliagrade.observability.logs import log_event

__all__ = ["TaskTable", "Tasks"]

_log = logging.getLogger(__name__)


class TaskTable:
    """Coroutine functions, by name, that a node runs from its start to its stop."""

    __slots__ = ("by_name",)

    def __init__(self):
        self.by_name = {}

    def register(self, name):
        """Return a decorator that registers a coroutine function `f(node)`.

        Raises
        ------
        ValueError
            If a task of that name is registered already.
        """

        def add_task(function):
            if name in self.by_name:
                raise ValueError(f"background task {name!r} is registered already")
            self.by_name[name] = function
            return function

        return add_task


class Tasks:
    """Running tasks: holds a reference to each and logs those that fail."""

    __slots__ = ("_running",)

    def __init__(self):
        self._running = set()

    def start(self, coroutine, *, name):
        """Start a coroutine as a task.

        Parameters
        ----------
        coroutine : coroutine
            Coroutine that the task runs.
        name : str
            Name of the task in logs.

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
        """Cancel all tasks and wait until they have ended."""
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
