"""Structured logs as JSON lines."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

__all__ = ["configure_logging", "log_event"]


def configure_logging(*, instance, data_centre, level="INFO", stream=None):
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
    """
    handler = logging.StreamHandler(stream or sys.stderr)
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
