"""JSON logs and the log line of each decision.

Lines wait in a bounded buffer and are written when standard output takes them, so that a
slow reader never delays a request. Above the rate limit, lines of what went well are left
out first.
"""

from __future__ import annotations

import asyncio
import collections
import logging
import os
import select
import sys
import time
from typing import Any

from pythonjsonlogger import json as json_logger

# Lines a second of what went well, and of refusals and failures; each with a burst of as many
# lines as come in BURST seconds.
SERVED_RATE = 100.0
FAILED_RATE = 400.0
BURST = 3.0

BUFFER_LIMIT = 2**20  # bytes that wait for the reader of standard output

# Seconds for which lines are gathered before they are written.
FLUSH_INTERVAL = 0.1

# Bytes that a pipe takes without blocking once it is reported as writable.
PIPE_CHUNK = select.PIPE_BUF


# Names that the logging module keeps for itself; it raises an error for fields of these names.
_RESERVED = frozenset(logging.makeLogRecord({}).__dict__) | {"message", "asctime"}


class _LineBudget:
    """Lines that may still be written, refilled at a rate."""

    def __init__(self, *, rate: float) -> None:
        self._rate = rate
        self._left = rate * BURST
        self._updated_at = time.monotonic()

    def take(self, now: float) -> bool:
        elapsed = max(0.0, now - self._updated_at)
        self._left = min(self._rate * BURST, self._left + elapsed * self._rate)
        self._updated_at = now
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True


class BufferedHandler(logging.Handler):
    """Keeps formatted lines until a file descriptor takes them."""

    def __init__(self, *, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._size = 0
        self._served = _LineBudget(rate=SERVED_RATE)
        self._failed = _LineBudget(rate=FAILED_RATE)
        self._dropped = 0
        self._reported = 0
        self._pending = asyncio.Event()

    @property
    def pending(self) -> asyncio.Event:
        """Set while lines wait, or were left out and that was not written yet."""
        return self._pending

    @property
    def dropped(self) -> int:
        """Lines that were left out so far."""
        return self._dropped

    def emit(self, record: logging.LogRecord) -> None:
        """Format a record and keep its line, within the rate and the size."""
        budget = self._failed if record.levelno >= logging.WARNING else self._served
        self._pending.set()
        if not budget.take(time.monotonic()):
            self._dropped += 1
            return
        try:
            line = self.format(record).encode() + b"\n"
        except Exception:
            self.handleError(record)
            return
        self._append(line)

    def write_pending(self) -> None:
        """Write as many lines as the descriptor takes without blocking."""
        if self._dropped > self._reported:
            count, self._reported = self._dropped - self._reported, self._dropped
            text = f'{{"level": "WARNING", "message": "log lines left out", "count": {count}}}\n'
            self._append(text.encode())
        while self._lines:
            chunk = bytearray()
            while self._lines and len(chunk) + len(self._lines[0]) <= PIPE_CHUNK:
                chunk += self._lines.popleft()
            if not chunk:
                # Longer lines go in parts.
                line = self._lines.popleft()
                chunk += line[:PIPE_CHUNK]
                self._lines.appendleft(line[PIPE_CHUNK:])
            if not self._write(bytes(chunk)):
                self._lines.appendleft(bytes(chunk))
                return
            self._size -= len(chunk)
        self._pending.clear()

    def _append(self, line: bytes) -> None:
        if self._size + len(line) > BUFFER_LIMIT:
            self._dropped += 1
            return
        self._lines.append(line)
        self._size += len(line)

    def _write(self, chunk: bytes) -> bool:
        _, writable, _ = select.select([], [self._descriptor], [], 0)
        if not writable:
            return False
        try:
            os.write(self._descriptor, chunk)
        except BlockingIOError:
            return False
        except OSError:
            # Nobody reads any more; the lines are lost, the daemon goes on.
            self._dropped += 1
        return True


def create_formatter(**fields: str) -> logging.Formatter:
    """Return the formatter of JSON lines; ``fields`` stand in each of them."""
    return json_logger.JsonFormatter(
        "%(levelname)s %(name)s %(message)s",
        rename_fields={"levelname": "level", "name": "logger"},
        timestamp="time",
        static_fields=fields,
    )


def configure(level: str, **fields: str) -> BufferedHandler:
    """Write log records as JSON lines to standard output.

    The lines do not show the calling function, thread and process, so the
    logging module need not look for them.

    Args:
        level: Name of the lowest level to write, such as ``INFO``.
        **fields: Fields of every line.
    """
    logging._srcfile = None
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    handler = BufferedHandler(descriptor=sys.stdout.fileno())
    handler.setFormatter(create_formatter(**fields))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
    logging.getLogger("websockets").setLevel(logging.WARNING)
    return handler


def dropped_line_count() -> int:
    """Return how many lines this process has left out."""
    handlers = logging.getLogger().handlers
    return sum(item.dropped for item in handlers if isinstance(item, BufferedHandler))


async def write_regularly(handler: BufferedHandler) -> None:
    """Write waiting lines until cancelled."""
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
        **fields: Inputs and reason of the decision.
    """
    if logger.isEnabledFor(level):
        extra = {name + "_" if name in _RESERVED else name: value for name, value in fields.items()}
        logger.log(level, kind, extra={"decision": kind, **extra})
