import io
import json
import logging
import os

from magnoliagrade.observability import RateLimitedHandler


def test_lines_above_the_rate_are_dropped_and_counted():
    times = [0.0]
    stream = io.StringIO()
    handler = RateLimitedHandler(stream=stream, lines_per_s=10, now=lambda: times[0])
    logger = _logger(handler)
    for _ in range(200):
        logger.info("busy")
    assert len(stream.getvalue().splitlines()) == 40
    records = []
    plain_format = handler.format
    handler.format = lambda record: records.append(record) or plain_format(record)
    logger.warning("uses the reserve")
    assert "uses the reserve" in stream.getvalue()
    assert records[0].lines_dropped_before == 160
    times[0] = 10.0
    logger.info("again")
    assert "again" in stream.getvalue()


def test_full_pipe_drops_lines_and_never_blocks():
    read_end, write_end = os.pipe()
    with os.fdopen(write_end, "w") as stream:
        handler = RateLimitedHandler(stream=stream, lines_per_s=10**6)
        logger = _logger(handler)
        for _ in range(2000):
            logger.info("x" * 500)
        assert handler._dropped > 0
        os.set_blocking(read_end, False)
        data = os.read(read_end, 1 << 20)
        assert len(data) <= 1 << 16
    os.close(read_end)


def test_line_longer_than_a_pipe_accepts_at_once_is_truncated():
    stream = io.StringIO()
    logger = _logger(RateLimitedHandler(stream=stream, lines_per_s=10))
    logger.info(json.dumps("y" * 10000))
    assert len(stream.getvalue()) <= 4096


def _logger(handler):
    logger = logging.Logger("test")
    logger.addHandler(handler)
    return logger
