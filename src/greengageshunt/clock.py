"""The clock from which daemons read the present time."""

import time
from collections import abc

# Returns monotonic seconds. Deciding functions take the value, not the clock.
Clock = abc.Callable[[], float]

monotonic: Clock = time.monotonic
