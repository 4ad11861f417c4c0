"""JSON logs and the log line of each decision.

Log lines go to a bounded buffer, from which they are written without blocking, so that a
slow reader of standard output never delays a request. Lines below WARNING and lines from
WARNING up have separate rate limits, so that a flood of served requests does not suppress
the lines of failed ones. Lines above a limit are dropped and counted.
"""

from __future__ import annotations

import asyncio
import collections
import logging
import os
import select
import time
from typing import Any

from pythonjsonlogger import json as json_logger

# Limits in lines a second: below WARNING (served requests), and from WARNING up (refusals and
# failures). A burst may have as many lines as the rate allows in BURST_SECONDS.
INFO_RATE = 100.0
WARNING_RATE = 400.0
BURST_SECONDS = 3.0

# Bytes that are buffered while the reader of standard output is slow; more lines are dropped.
BUFFER_LIMIT = 2**20

# Seconds between writes to standard output; the lines of an interval are written together.
FLUSH_INTERVAL = 0.1

# Largest write in bytes that does not block on a pipe that select() reports as writable.
PIPE_CHUNK = select.PIPE_BUF

# Descriptors of standard input, output and error.
_STANDARD_STREAMS = (0, 1, 2)
_STANDARD_OUTPUT = 1

# Attributes of a log record; the logging module raises KeyError for extra fields of these names.
_RECORD_ATTRIBUTES = frozenset(logging.makeLogRecord({}).__dict__) | {"message", "asctime"}


class _TokenBucket:
    """Rate limit of log lines; each line takes one token."""

    def __init__(self, *, rate: float) -> None:
        self._rate = rate
        self._tokens = rate * BURST_SECONDS
        self._refilled_at = time.monotonic()

    def try_acquire(self, now: float) -> bool:
        elapsed = max(0.0, now - self._refilled_at)
        self._tokens = min(self._rate * BURST_SECONDS, self._tokens + elapsed * self._rate)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class BufferedHandler(logging.Handler):
    """Buffers formatted lines and writes them to a file descriptor without blocking."""

    def __init__(self, *, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._info_bucket = _TokenBucket(rate=INFO_RATE)
        self._warning_bucket = _TokenBucket(rate=WARNING_RATE)
        self._dropped = 0
        self._reported_dropped = 0
        self._pending = asyncio.Event()

    @property
    def pending(self) -> asyncio.Event:
        """Event that is set while buffered lines or a count of dropped lines must be written."""
        return self._pending

    @property
    def dropped(self) -> int:
        """Number of lines dropped so far."""
        return self._dropped

    def emit(self, record: logging.LogRecord) -> None:
        """Format and buffer a record, or drop it above the rate or the buffer limit."""
        bucket = self._warning_bucket if record.levelno >= logging.WARNING else self._info_bucket
        self._pending.set()
        if not bucket.try_acquire(time.monotonic()):
            self._dropped += 1
            return
        try:
            line = self.format(record).encode() + b"\n"
        except Exception:
            self.handleError(record)
            return
        self._append(line)

    def write_pending(self) -> None:
        """Write buffered lines until the descriptor would block."""
        if self._dropped > self._reported_dropped:
            count, self._reported_dropped = self._dropped - self._reported_dropped, self._dropped
            text = f'{{"level": "WARNING", "message": "log lines left out", "count": {count}}}\n'
            self._append(text.encode())
        while self._lines:
            chunk = bytearray()
            while self._lines and len(chunk) + len(self._lines[0]) <= PIPE_CHUNK:
                chunk += self._lines.popleft()
            if not chunk:
                # A line longer than one chunk is written in parts.
                line = self._lines.popleft()
                chunk += line[:PIPE_CHUNK]
                self._lines.appendleft(line[PIPE_CHUNK:])
            if not self._write(bytes(chunk)):
                self._lines.appendleft(bytes(chunk))
                return
            self._buffered_bytes -= len(chunk)
        self._pending.clear()

    def _append(self, line: bytes) -> None:
        if self._buffered_bytes + len(line) > BUFFER_LIMIT:
            self._dropped += 1
            return
        self._lines.append(line)
        self._buffered_bytes += len(line)

    def _write(self, chunk: bytes) -> bool:
        _, writable, _ = select.select([], [self._descriptor], [], 0)
        if not writable:
            return False
        try:
            os.write(self._descriptor, chunk)
        except BlockingIOError:
            return False
        except OSError:
            # The reader closed the pipe. The chunk is lost and the daemon continues.
            self._dropped += 1
        return True


def create_formatter(**fields: str) -> logging.Formatter:
    """Return a formatter that writes JSON lines and adds ``fields`` to each of them."""
    return json_logger.JsonFormatter(
        "%(levelname)s %(name)s %(message)s",
        rename_fields={"levelname": "level", "name": "logger"},
        timestamp="time",
        static_fields=fields,
    )


def open_closed_streams() -> None:
    """Open the null device in place of each standard stream that is closed.

    The first sockets would otherwise get the descriptors of these streams, and log lines would be
    sent to a caller or a target.
    """
    for descriptor in _STANDARD_STREAMS:
        try:
            os.fstat(descriptor)
        except OSError:
            # The system returns the lowest free descriptor, which is this one.
            os.open(os.devnull, os.O_RDWR)


def configure(level: str, **fields: str) -> BufferedHandler:
    """Write log records as JSON lines to standard output.

    A process that was started without standard output writes its lines nowhere. Stops the logging
    module from collecting the calling function, thread and process, because no line shows them.

    Args:
        level: Name of the lowest level to write, such as ``INFO``.
        **fields: Fields of every line.
    """
    logging._srcfile = None
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    handler = BufferedHandler(descriptor=_STANDARD_OUTPUT)
    handler.setFormatter(create_formatter(**fields))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
    logging.getLogger("websockets").setLevel(logging.WARNING)
    return handler


def dropped_line_count() -> int:
    """Return the number of log lines that this process has dropped."""
    handlers = logging.getLogger().handlers
    return sum(handler.dropped for handler in handlers if isinstance(handler, BufferedHandler))


async def write_regularly(handler: BufferedHandler) -> None:
    """Write buffered lines until cancelled, and once more at the end."""
    try:
        while True:
            await handler.pending.wait()
            handler.write_pending()
            await asyncio.sleep(FLUSH_INTERVAL)
    finally:
        handler.write_pending()


def log_decision(
    logger: logging.Logger, kind: str, *, level: int = logging.INFO, **fields: Any
) -> None:
    """Write the log line of one decision.

    Args:
        logger: Logger of the deciding module.
        kind: Decision, such as ``route``, ``admit``, ``place`` or ``promote``.
        level: Level of the line.
        **fields: Inputs and reason of the decision. A field that has the name of an attribute of
            log records is written with an underscore after its name.
    """
    if logger.isEnabledFor(level):
        extra = {
            name + "_" if name in _RECORD_ATTRIBUTES else name: value
            for name, value in fields.items()
        }
        logger.log(level, kind, extra={"decision": kind, **extra})
