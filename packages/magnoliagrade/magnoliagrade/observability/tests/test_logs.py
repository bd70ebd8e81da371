import io
import json
import logging
import os

from magnoliagrade.observability import BoundedHandler


def test_lines_above_the_rate_are_counted_and_not_written():
    times = [0.0]
    stream = io.StringIO()
    handler = BoundedHandler(stream=stream, lines_per_s=10, now=lambda: times[0])
    logger = _logger(handler)
    for _ in range(200):
        logger.info("busy")
    assert len(stream.getvalue().splitlines()) == 40
    seen = []
    plain_format = handler.format
    handler.format = lambda record: seen.append(record) or plain_format(record)
    logger.warning("kept room")
    assert "kept room" in stream.getvalue()
    assert seen[0].lines_dropped_before == 160
    times[0] = 10.0
    logger.info("again")
    assert "again" in stream.getvalue()


def test_a_full_pipe_never_blocks():
    reading, writing = os.pipe()
    with os.fdopen(writing, "w") as stream:
        handler = BoundedHandler(stream=stream, lines_per_s=10**6)
        logger = _logger(handler)
        for _ in range(2000):
            logger.info("x" * 500)
        assert handler._dropped > 0
        os.set_blocking(reading, False)
        taken = os.read(reading, 1 << 20)
        assert len(taken) <= 1 << 16
    os.close(reading)


def test_a_line_that_a_pipe_cannot_take_at_once_is_cut():
    stream = io.StringIO()
    logger = _logger(BoundedHandler(stream=stream, lines_per_s=10))
    logger.info(json.dumps("y" * 10000))
    assert len(stream.getvalue()) <= 4096


def _logger(handler):
    logger = logging.Logger("test")
    logger.addHandler(handler)
    return logger
