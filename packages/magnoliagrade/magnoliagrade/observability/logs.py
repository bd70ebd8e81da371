"""Structured logs as JSON lines."""

import logging
import select
import sys
import time

from pythonjsonlogger.json import JsonFormatter

__all__ = ["RateLimitedHandler", "configure_logging", "log_event"]

# A pipe that polls as writable accepts this many bytes without blocking (POSIX).
MAX_LINE_BYTES = 4096
# Capacity of the token bucket of lines, in seconds of the allowed rate.
BURST_S = 5.0


def configure_logging(
    *, instance, data_centre, level="INFO", stream=None, lines_per_s=None
):
    """Configure the root logger to write every record as one JSON line.

    Parameters
    ----------
    instance : str
        Name of the instance, added to each line.
    data_centre : str
        Data centre of the instance, added to each line.
    level : str
        Lowest level of the records that are written.
    stream : file, optional
        Stream to write to; standard error by default.
    lines_per_s : float, optional
        Highest average rate of written lines; no limit by default.
    """
    stream = stream or sys.stderr
    if lines_per_s is None:
        handler = logging.StreamHandler(stream)
    else:
        handler = RateLimitedHandler(stream=stream, lines_per_s=lines_per_s)
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


class RateLimitedHandler(logging.StreamHandler):
    """Stream handler that never blocks and limits the rate of lines.

    Parameters
    ----------
    stream : file
        Stream to write to.
    lines_per_s : float
        Highest average rate of written lines.
    now : callable
        Returns monotonic seconds.

    Notes
    -----
    The rate is limited by a token bucket. Dropped records are counted, and the next
    written line has the count in `lines_dropped_before`. Warnings and errors may use
    all tokens; records of lower levels leave `RESERVED_BURST_FRACTION` of the bucket.
    """

    # Fraction of the burst that only warnings and errors may use.
    RESERVED_BURST_FRACTION = 0.2

    def __init__(self, *, stream, lines_per_s, now=time.monotonic):
        super().__init__(stream)
        self._rate = lines_per_s
        self._now = now
        self._updated_at = now()
        self._tokens = lines_per_s * BURST_S
        self._dropped = 0
        self._poll = _write_poll_of(stream)

    def emit(self, record):
        """Write a record, or count it as dropped if it can't be written now."""
        if not self._take_token(record):
            self._dropped += 1
            return
        if self._dropped:
            dropped, self._dropped = self._dropped, 0
            record.lines_dropped_before = dropped
        super().emit(record)

    def format(self, record):
        """Return the line of a record, truncated to what a pipe accepts at once.

        A truncated line isn't valid JSON.
        """
        line = super().format(record)
        if len(line) >= MAX_LINE_BYTES:
            return line[: MAX_LINE_BYTES - 2]
        return line

    def _take_token(self, record):
        now = self._now()
        capacity = self._rate * BURST_S
        self._tokens = min(
            capacity, self._tokens + (now - self._updated_at) * self._rate
        )
        self._updated_at = now
        reserve = (
            0
            if record.levelno >= logging.WARNING
            else capacity * self.RESERVED_BURST_FRACTION
        )
        if self._tokens < reserve + 1:
            return False
        if self._poll is not None and not self._poll.poll(0):
            return False
        self._tokens -= 1
        return True


def _write_poll_of(stream):
    try:
        descriptor = stream.fileno()
    except (AttributeError, OSError):
        return None
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    return poll


def log_event(logger, event, /, *, level=logging.INFO, **fields):
    """Log one event with its fields.

    Parameters
    ----------
    logger : logging.Logger
        Logger of the calling module.
    event : str
        Stable dotted name of the event.
    level : int
        Level of the record.
    **fields
        Fields of the event; never request or response bodies, never API keys.
    """
    logger.log(level, event, extra=fields)
