"""Log lines stay bounded, and a reader that stops costs only lines."""

import json
import logging
import os

from pythonjsonlogger.json import JsonFormatter

from galenarill.telemetry import EventLimiter, LogPipe
from galenarill.telemetry.pipe import LINES_PER_SECOND, MAX_WAITING_BYTES


def _logger(handler):
    logger = logging.Logger("test")
    handler.setFormatter(JsonFormatter("%(message)s"))
    logger.addHandler(handler)
    return logger


def _read(file):
    os.set_blocking(file, False)
    data = b""
    try:
        while chunk := os.read(file, 1 << 20):
            data += chunk
    except BlockingIOError:
        pass
    return data


def test_a_reader_that_stops_costs_lines_and_a_count():
    reader, writer = os.pipe()
    pipe = LogPipe(writer)
    logger = _logger(pipe)
    for number in range(40_000):
        logger.info("x" * 80, extra={"number": number})
    assert pipe.dropped > 0
    data = b""
    for _ in range(100):
        data += _read(reader)
        pipe.flush()
    data += _read(reader)
    lines = [json.loads(line) for line in data.splitlines()]
    numbers = [line["number"] for line in lines if "number" in line]
    assert numbers == list(range(len(numbers)))
    assert len(numbers) + pipe.dropped == 40_000
    assert len(data) < 2 * MAX_WAITING_BYTES
    os.close(reader)
    os.close(writer)


def test_a_reader_that_has_gone_costs_nothing():
    reader, writer = os.pipe()
    os.close(reader)
    pipe = LogPipe(writer)
    logger = _logger(pipe)
    logger.warning("nobody reads this")
    logger.warning("nor this")
    os.close(writer)


def test_lines_of_one_event_are_bounded_and_counted():
    now = [10.0]
    limiter = EventLimiter(lambda: now[0])

    def passes(event, level=logging.INFO):
        return limiter.filter(
            logging.LogRecord("n", level, "", 0, event, None, None)
        )

    assert sum(passes("often") for _ in range(1000)) == LINES_PER_SECOND
    assert passes("seldom")
    assert passes("often", logging.WARNING)
    now[0] = 11.0
    assert passes("often")
