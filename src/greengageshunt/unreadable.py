"""Decodes values that come from outside the program, such as rows of the platform's store.

Whatever a decoder raises, the value counts as unreadable. A list of expected exceptions would miss
some: a value nested too deeply raises ``RecursionError``, a number out of range ``OverflowError``.
"""

import logging
from collections import abc
from typing import TypeVar

from returns import result

from greengageshunt import application

logger = logging.getLogger(__name__)

_T = TypeVar("_T")

# Minimum seconds between two log lines about the same key. Another writer may repeat its value with
# each heartbeat.
LOG_INTERVAL = 30.0

# Number of keys whose last log line is remembered. Beyond it, values are counted but not logged
# until the interval of an earlier key has passed.
LOGGED_KEY_LIMIT = 200

# Characters of a key or reason that are logged; a reason may contain the whole value.
LOGGED_TEXT_LIMIT = 200


class UnreadableValues:
    """Emits ``value-unreadable`` with the table of each unreadable value, and logs some of them."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._logged_at: dict[tuple[str, str], float] = {}

    def decode(
        self, table: str, key: str, decode: abc.Callable[[], _T], now: float
    ) -> result.Result[_T, Exception]:
        """Decode a value, and return the error of an unreadable one.

        Args:
            table: Table of the store, or kind of the message, that holds the value.
            key: Key of the row, or step in which the value was received.
            decode: Returns the decoded value, or raises any exception.
            now: Monotonic seconds.
        """
        decoded = result.safe(decode)()
        if isinstance(decoded, result.Failure):
            self._note(table, key, decoded.failure(), now)
        return decoded

    def _note(self, table: str, key: str, error: Exception, now: float) -> None:
        self._app.events.emit("value-unreadable", table)
        expired = [name for name, at in self._logged_at.items() if now - at >= LOG_INTERVAL]
        for name in expired:
            del self._logged_at[name]
        if (table, key) in self._logged_at or len(self._logged_at) >= LOGGED_KEY_LIMIT:
            return
        self._logged_at[(table, key)] = now
        fields = {
            "table": table,
            "key": key[:LOGGED_TEXT_LIMIT],
            "error": type(error).__name__,
            "reason": str(error)[:LOGGED_TEXT_LIMIT],
        }
        logger.warning("value cannot be decoded", extra=fields)


def setup(app: application.Application) -> None:
    """Register the decoding of values from outside."""
    app.add_event("value-unreadable")
    app.add_part("decoding", "unreadable", lambda app: UnreadableValues(app=app))
