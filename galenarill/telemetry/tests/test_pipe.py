"""Tests of the non-blocking log handler and of the event limiter."""

import json
import logging
import os
import select

from pythonjsonlogger.json import JsonFormatter

from galenarill.telemetry import EventRateLimiter, NonBlockingLogHandler
from galenarill.telemetry.pipe import (
    MAX_BUFFERED_BYTES,
    MAX_EVENT_LINES_PER_SECOND,
)


def _logger(handler):
    logger = logging.Logger("test")
    handler.setFormatter(JsonFormatter("%(message)s"))
    logger.addHandler(handler)
    return logger


def _drain(file):
    os.set_blocking(file, False)
    data = b""
    try:
        while chunk := os.read(file, 1 << 20):
            data += chunk
    except BlockingIOError:
        pass
    return data


def test_stalled_reader_drops_and_counts_lines():
    reader, writer = os.pipe()
    pipe = NonBlockingLogHandler(writer)
    logger = _logger(pipe)
    for number in range(40_000):
        logger.info("x" * 80, extra={"number": number})
    assert pipe.dropped > 0
    data = b""
    for _ in range(100):
        data += _drain(reader)
        pipe.flush()
    data += _drain(reader)
    lines = [json.loads(line) for line in data.splitlines()]
    numbers = [line["number"] for line in lines if "number" in line]
    assert numbers == list(range(len(numbers)))
    assert len(numbers) + pipe.dropped == 40_000
    assert len(data) < 2 * MAX_BUFFERED_BYTES
    os.close(reader)
    os.close(writer)


def test_closed_reader_raises_no_error():
    reader, writer = os.pipe()
    os.close(reader)
    pipe = NonBlockingLogHandler(writer)
    logger = _logger(pipe)
    logger.warning("nobody reads this")
    logger.warning("nor this")
    os.close(writer)


def test_lines_per_event_and_second_are_limited():
    now = [10.0]
    limiter = EventRateLimiter(lambda: now[0])

    def passes(event, level=logging.INFO):
        return limiter.filter(
            logging.LogRecord("n", level, "", 0, event, None, None)
        )

    assert (
        sum(passes("often") for _ in range(1000)) == MAX_EVENT_LINES_PER_SECOND
    )
    assert passes("seldom")
    assert passes("often", logging.WARNING)
    now[0] = 11.0
    assert passes("often")


def test_each_write_is_atomic_and_holds_whole_lines(monkeypatch):
    """Larger writes are not atomic, and processes share the pipe.

    The lines of different processes would be interleaved.
    """
    reader, writer = os.pipe()
    writes = []
    real_write = os.write

    def record_write(file, data):
        writes.append(bytes(data))
        return real_write(file, data)

    monkeypatch.setattr(os, "write", record_write)
    pipe = NonBlockingLogHandler(writer)
    logger = _logger(pipe)
    for number in range(150):
        logger.info("y" * (number * 7 % 500))
    pipe.flush()
    monkeypatch.undo()
    assert len(writes) > 1
    for data in writes:
        assert data.endswith(b"\n")
        assert len(data) <= select.PIPE_BUF
        for line in data.splitlines():
            json.loads(line)
    os.close(reader)
    os.close(writer)
