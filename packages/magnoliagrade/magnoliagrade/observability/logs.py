"""Structured logs as JSON lines."""

import logging
import select
import sys
import time

from pythonjsonlogger.json import JsonFormatter

__all__ = ["BoundedHandler", "configure_logging", "log_event"]

# A pipe that is ready for writing takes this much without blocking (POSIX).
LINE_LIMIT_BYTES = 4096
# Lines that may come at once, as a span of the allowed rate.
BURST_S = 5.0


def configure_logging(
    *, instance, data_centre, level="INFO", stream=None, lines_per_s=None
):
    """Write every log record as one JSON line.

    Parameters
    ----------
    instance : str
        Name of the instance, added to each line.
    data_centre : str
        Its data centre, added to each line.
    level : str
        Lowest level that is written.
    stream : file, optional
        Where to write; standard error by default.
    lines_per_s : float, optional
        Lines that are written at most, on average; no limit by default.
    """
    stream = stream or sys.stderr
    if lines_per_s is None:
        handler = logging.StreamHandler(stream)
    else:
        handler = BoundedHandler(stream=stream, lines_per_s=lines_per_s)
    handler.setFormatter(
        JsonFormatter(
            "%(levelname)s %(name)s %(message)s",
            rename_fields={"levelname": "level", "message": "event"},
            timestamp=True,
            static_fields={"instance": instance, "data_centre": data_centre},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    logging.getLogger("aiohttp.access").setLevel("WARNING")


class BoundedHandler(logging.StreamHandler):
    """Handler that never blocks and writes a bounded number of lines.

    Parameters
    ----------
    stream : file
        Where to write.
    lines_per_s : float
        Lines that are written at most, on average.
    now : callable
        Returns monotonic seconds.

    Notes
    -----
    What is left out is counted, and a line tells the count once there is room. Lines
    of warnings and errors may use the whole allowance, others leave a part of it.
    """

    # Part of the burst that is kept for warnings and errors.
    RESERVE = 0.2

    def __init__(self, *, stream, lines_per_s, now=time.monotonic):
        super().__init__(stream)
        self._rate = lines_per_s
        self._now = now
        self._at = now()
        self._level = lines_per_s * BURST_S
        self._dropped = 0
        self._poll = _writability_of(stream)

    def emit(self, record):
        """Write a record, or count it if there is no room."""
        if not self._may_write(record):
            self._dropped += 1
            return
        if self._dropped:
            dropped, self._dropped = self._dropped, 0
            record.lines_dropped_before = dropped
        super().emit(record)

    def format(self, record):
        """Return the line of a record, cut to what a pipe takes at once."""
        line = super().format(record)
        if len(line) >= LINE_LIMIT_BYTES:
            return line[: LINE_LIMIT_BYTES - 2]
        return line

    def _may_write(self, record):
        now = self._now()
        full = self._rate * BURST_S
        self._level = min(full, self._level + (now - self._at) * self._rate)
        self._at = now
        reserve = 0 if record.levelno >= logging.WARNING else full * self.RESERVE
        if self._level < reserve + 1:
            return False
        if self._poll is not None and not self._poll.poll(0):
            return False
        self._level -= 1
        return True


def _writability_of(stream):
    try:
        descriptor = stream.fileno()
    except (AttributeError, OSError):
        return None
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    return poll


def log_event(logger, event, /, *, level=logging.INFO, **fields):
    """Write one event with typed fields.

    Parameters
    ----------
    logger : logging.Logger
        Logger of the module.
    event : str
        Stable name of the event, dotted.
    level : int
        Level of the record.
    **fields
        Values that may be written; never bodies and never keys.
    """
    logger.log(level, event, extra=fields)
