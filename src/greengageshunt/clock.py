"""The clock from which daemons read the present time."""

import time
from collections import abc

# Returns monotonic seconds. Deciding functions take the value, not the clock.
Clock = abc.Callable[[], float]

# On Linux, CLOCK_MONOTONIC stands still while the machine is suspended, so a write
# grant would seem to last through it; CLOCK_BOOTTIME goes on.
_SOURCE = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def monotonic() -> float:
    """Return seconds that never go back and count suspension."""
    return time.clock_gettime(_SOURCE)
