"""Monotonic clock of the daemons."""

import time
from collections import abc

# Returns monotonic seconds. Functions that decide take the time as an argument, not the clock.
Clock = abc.Callable[[], float]

# Linux's CLOCK_MONOTONIC does not advance while the machine is suspended, so after a
# suspension an expired write grant would look valid. CLOCK_BOOTTIME advances.
_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def monotonic() -> float:
    """Return monotonic seconds, including the time for which the machine was suspended."""
    return time.clock_gettime(_CLOCK_ID)
