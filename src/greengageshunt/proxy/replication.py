"""Watch of how far a second target has copied the log of a primary."""

import asyncio
import logging
from typing import Any

from greengageshunt import application, errors, model

logger = logging.getLogger(__name__)

WATCH_TIMEOUT = 0.25  # seconds of one wait at the target
RECONNECT_DELAY = 0.1  # seconds

# Seconds without an answer to a wait after which the connection counts as silent.
SILENCE_DEADLINE = 0.75

# Seconds without a waiting commit after which the idle connection is checked.
IDLE_CHECK_INTERVAL = 0.3

# Checks without a commit after which the connection is closed, so that targets which
# are no longer written keep it for others. The budget of connections counts on this.
IDLE_CHECKS = 20


class ReplicationWatch:
    """Waits at the primary, on one connection, on behalf of all its commits."""

    def __init__(self, *, app: application.Application, target: model.Target) -> None:
        self._app = app
        self._driver = app.selected("driver")
        self._target = target
        self._offset = 0
        self._waiting = 0
        self._changed = asyncio.Condition()
        self._task = asyncio.create_task(self._watch(), name=f"replication {target.name}")

    async def wait(self, offset: int, timeout: float) -> bool:
        """Wait until a second target has an offset.

        Args:
            offset: Offset of a commit.
            timeout: Seconds to wait at most.

        Returns:
            Whether a second target has it.
        """
        async with self._changed:
            self._waiting += 1
            self._changed.notify_all()
            try:
                async with asyncio.timeout(timeout):
                    await self._changed.wait_for(lambda: self._offset >= offset)
            except TimeoutError:
                return False
            finally:
                self._waiting -= 1
            return True

    def close(self) -> None:
        """End the watch."""
        self._task.cancel()

    async def _watch(self) -> None:
        while True:
            await self._commit_waits(None)
            try:
                connection = await self._driver.connect(self._target)
                try:
                    await self._watch_connected(connection)
                finally:
                    await connection.close()
            except (errors.TargetError, TimeoutError) as error:
                fields = {"target": self._target.name, "reason": str(error)}
                logger.debug("replication watch failed", extra=fields)
            # Another primary may have a shorter log, so nothing learned before counts.
            self._offset = 0
            await asyncio.sleep(RECONNECT_DELAY)

    async def _watch_connected(self, connection: Any) -> None:
        """Report how far replicas are until no commit has waited for long."""
        idle_checks = 0
        while idle_checks < IDLE_CHECKS:
            if not await self._commit_waits(IDLE_CHECK_INTERVAL):
                await connection.status(self._app.clock())
                idle_checks += 1
                continue
            idle_checks = 0
            async with asyncio.timeout(SILENCE_DEADLINE):
                reached = await connection.wait_replicated(self._offset + 1, WATCH_TIMEOUT)
            async with self._changed:
                self._offset = reached
                self._changed.notify_all()

    async def _commit_waits(self, timeout: float | None) -> bool:
        """Wait until a commit waits, for a timeout in seconds if there is one."""
        async with self._changed:
            try:
                async with asyncio.timeout(timeout):
                    await self._changed.wait_for(lambda: self._waiting)
            except TimeoutError:
                return False
            return True
