"""Log lines: limited in rate and size, and written without blocking."""

import fcntl
import json
import logging
import os
import time

from greengageshunt import logs


def _logger(handler: logs.BufferedHandler) -> logging.Logger:
    handler.setFormatter(logs.create_formatter(program="test"))
    logger = logging.Logger("test", logging.INFO)
    logger.addHandler(handler)
    return logger


def test_stalled_reader_does_not_block_logging():
    """Guards against log writes that block requests while the reader of a pipe stalls."""
    reader, writer = os.pipe()
    try:
        fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 4096)
        handler = logs.BufferedHandler(descriptor=writer)
        logger = _logger(handler)
        started = time.monotonic()
        for number in range(1000):
            logs.log_decision(logger, "route", level=logging.WARNING, number=number)
            handler.write_pending()
        assert time.monotonic() - started < 2.0
    finally:
        os.close(reader)
        os.close(writer)


def test_failure_lines_are_written_when_success_lines_are_dropped(tmp_path):
    """Guards against a flood of served requests that uses up the rate limit of failures."""
    path = tmp_path / "log"
    with path.open("wb") as file:
        handler = logs.BufferedHandler(descriptor=file.fileno())
        logger = _logger(handler)
        for number in range(2000):
            logs.log_decision(logger, "route", outcome="ok", number=number)
            if number % 10 == 0:
                logs.log_decision(logger, "route", level=logging.WARNING, outcome="BUSY")
        handler.write_pending()
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    assert sum(line.get("outcome") == "BUSY" for line in lines) == 200
    assert sum(line.get("outcome") == "ok" for line in lines) < 1000
    dropped_counts = [line["count"] for line in lines if line["message"] == "log lines left out"]
    assert sum(dropped_counts) == handler.dropped > 0


def test_field_with_the_name_of_a_record_attribute_is_written(tmp_path):
    """Guards against a KeyError in the task that logs a field such as ``process``.

    The logging module rejects extra fields that have the name of a log record's attribute.
    """
    with (tmp_path / "log").open("wb") as file:
        handler = logs.BufferedHandler(descriptor=file.fileno())
        logs.log_decision(_logger(handler), "place", process="p", name="n", message="m")
        handler.write_pending()
    line = json.loads((tmp_path / "log").read_text())
    assert (line["process_"], line["name_"], line["message"]) == ("p", "n", "place")
