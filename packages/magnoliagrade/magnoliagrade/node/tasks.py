"""Background tasks of a node: those started with it and those that run."""

import asyncio
import logging

from prometheus_client import Counter

from magnoliagrade.observability.logs import log_event

__all__ = ["TaskTable", "Tasks"]

# First pause before a task that failed is started again. The site has to be followed
# again well within the platform's bound on applying changes (ConfigApplyMs, 2 s).
RESTART_MIN_S = 0.1
# Longest pause, which bounds the calls and log lines of a task that fails at once.
RESTART_MAX_S = 1.0
# A task that has run for this long starts again after the first pause.
RESTART_RESET_S = 10.0

RESTARTS = Counter(
    "magnoliagrade_task_restarts_total", "Lasting tasks that failed and were restarted"
)
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

    def start_lasting(self, run, *, name, clock):
        """Start a task that has to run until it is cancelled, also after a failure.

        Parameters
        ----------
        run : callable
            Returns a new coroutine; called again after the last one has failed. A
            coroutine that returns ends the task.
        name : str
            Name of the task in logs.
        clock : Clock
            Source of time.

        Returns
        -------
        task : asyncio.Task
            The running task.

        Notes
        -----
        Errors that are expected are handled within the task. This covers the others:
        without it the process goes on serving, but with state that nothing updates.
        """
        return self.start(_run_lasting(run, name=name, clock=clock), name=name)

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
        _log_failure(task.get_name(), task.exception())
        log_event(_log, "task.ended", task=task.get_name(), level=logging.ERROR)


async def _run_lasting(run, *, name, clock):
    pause_s = RESTART_MIN_S
    while True:
        began_at = clock.monotonic()
        try:
            await run()
            return
        except Exception as exc:
            _log_failure(name, exc)
        if clock.monotonic() - began_at >= RESTART_RESET_S:
            pause_s = RESTART_MIN_S
        RESTARTS.inc()
        log_event(
            _log, "task.restarted", task=name, pause_s=pause_s, level=logging.ERROR
        )
        await clock.sleep(pause_s)
        pause_s = min(RESTART_MAX_S, 2 * pause_s)


def _log_failure(name, exc):
    _log.error(
        "task.failed",
        extra={"task": name},
        exc_info=(type(exc), exc, exc.__traceback__),
    )
