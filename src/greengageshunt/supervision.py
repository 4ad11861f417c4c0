"""Runs a task again after a fault, so that a fault of one task does not end the others."""

import asyncio
import logging
from collections import abc

from greengageshunt import clock as clock_module

logger = logging.getLogger(__name__)

# Seconds before a failed task runs again. The delay doubles with each failure, up to the maximum,
# which bounds the log lines of a task that always fails.
MIN_RESTART_DELAY = 0.5
MAX_RESTART_DELAY = 8.0

# Seconds without a failure after which the delay is the minimum again.
RECOVERED_AFTER = 60.0


async def keep_running(
    name: str,
    run: abc.Callable[[], abc.Awaitable[None]],
    *,
    clock: clock_module.Clock,
    report: abc.Callable[[str], None],
) -> None:
    """Run a task until it returns or is cancelled; run it again whenever it fails.

    Args:
        name: Name of the task, for the log and the report.
        run: Starts the task; called again after each failure.
        clock: Clock of the program.
        report: Called with the name at each failure.
    """
    delay = MIN_RESTART_DELAY
    while True:
        started_at = clock()
        try:
            await run()
            return
        except Exception:
            if clock() - started_at > RECOVERED_AFTER:
                delay = MIN_RESTART_DELAY
            logger.exception("task failed", extra={"task": name, "restart_in": delay})
            report(name)
        await asyncio.sleep(delay)
        delay = min(2 * delay, MAX_RESTART_DELAY)
