"""Watch of the log offset up to which a second target has copied a primary's log."""

import asyncio
import logging
from typing import Any

from greengageshunt import application, errors, model

logger = logging.getLogger(__name__)

# Seconds that the primary lets one query wait for further replication.
REPLICATION_QUERY_WAIT = 0.25

RECONNECT_DELAY = 0.1  # seconds

# Seconds without an answer to such a query after which the connection is replaced.
REPLICATION_QUERY_TIMEOUT = 0.75

# Seconds without a waiting commit after which the idle connection is checked.
IDLE_CHECK_INTERVAL = 0.3

# Consecutive idle checks after which the connection is closed, so that a target which
# receives no more writes has it free for other uses. The number of reserved connections
# relies on this.
IDLE_CHECKS_BEFORE_CLOSE = 20


class ReplicationWatch:
    """Waits for the replication of all commits of a primary over one connection."""

    def __init__(self, *, app: application.Application, target: model.Target) -> None:
        self._app = app
        self._driver = app.selected("driver")
        self._target = target
        self._replicated_offset = 0
        self._waiting_commits = 0
        self._changed = asyncio.Condition()
        self._task = asyncio.create_task(self._watch(), name=f"replication {target.name}")

    async def wait(self, offset: int, timeout: float) -> bool:
        """Wait until a second target has copied the log up to an offset.

        Args:
            offset: Log offset of a commit.
            timeout: Seconds to wait at most.

        Returns:
            Whether a second target has copied it before the time-out.
        """
        async with self._changed:
            self._waiting_commits += 1
            self._changed.notify_all()
            try:
                async with asyncio.timeout(timeout):
                    await self._changed.wait_for(lambda: self._replicated_offset >= offset)
            except TimeoutError:
                return False
            finally:
                self._waiting_commits -= 1
            return True

    def close(self) -> None:
        """Stop the watch."""
        self._task.cancel()

    async def _watch(self) -> None:
        while True:
            await self._wait_for_commit(None)
            try:
                connection = await self._driver.connect(self._target)
                try:
                    await self._watch_connected(connection)
                finally:
                    await connection.close()
            except (errors.TargetError, TimeoutError) as error:
                fields = {"target": self._target.name, "reason": str(error)}
                logger.debug("replication watch failed; reconnecting", extra=fields)
            # The log may be shorter after a change of primary, so the old offset is not valid.
            self._replicated_offset = 0
            await asyncio.sleep(RECONNECT_DELAY)

    async def _watch_connected(self, connection: Any) -> None:
        """Update the replicated offset until the connection has been idle for long."""
        idle_checks = 0
        while idle_checks < IDLE_CHECKS_BEFORE_CLOSE:
            if not await self._wait_for_commit(IDLE_CHECK_INTERVAL):
                await connection.status(self._app.clock())
                idle_checks += 1
                continue
            idle_checks = 0
            async with asyncio.timeout(REPLICATION_QUERY_TIMEOUT):
                replicated_offset = await connection.wait_replicated(
                    self._replicated_offset + 1, REPLICATION_QUERY_WAIT
                )
            async with self._changed:
                self._replicated_offset = replicated_offset
                self._changed.notify_all()

    async def _wait_for_commit(self, timeout: float | None) -> bool:
        """Wait until a commit waits for its replication.

        Args:
            timeout: Seconds to wait at most, or None for no limit.

        Returns:
            Whether a commit waits.
        """
        async with self._changed:
            try:
                async with asyncio.timeout(timeout):
                    await self._changed.wait_for(lambda: self._waiting_commits)
            except TimeoutError:
                return False
            return True
