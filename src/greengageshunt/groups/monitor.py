"""Status checks of targets: one task for each checked target."""

import asyncio
import logging
from typing import Any

from greengageshunt import application, errors, model
from greengageshunt.membership import ownership

logger = logging.getLogger(__name__)

CHECK_INTERVAL = 0.15  # seconds
RECONNECT_DELAY = 0.1  # seconds


def targets_to_check(
    record: model.GroupRecord, live: tuple[model.Member, ...], vm: str
) -> tuple[model.Target, ...]:
    """Return the targets of a group that an entry VM checks.

    The owner of the primary checks all targets, for its write grant; the owner
    of another target checks that target.
    """
    primary = record.target(record.primary)
    owner = ownership.owner(primary, live) if primary else None
    if owner is not None and owner.vm == vm:
        return record.targets
    owned = []
    for target in record.targets:
        owner = ownership.owner(target, live)
        if owner is not None and owner.vm == vm:
            owned.append(target)
    return tuple(owned)


class StatusMonitor:
    """Checks the targets that this entry VM is responsible for."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._driver = app.selected("driver")
        self._directory = app.part("groups", "directory")
        self._view = app.part("membership", "view")
        self._tasks: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Keep one task for each target to check."""
        try:
            while True:
                self._reconcile()
                await asyncio.sleep(CHECK_INTERVAL)
        finally:
            for task in self._tasks.values():
                task.cancel()

    def _reconcile(self) -> None:
        live = self._view.live(self._app.clock())
        wanted: dict[str, model.Target] = {}
        for record in self._directory.records:
            for target in targets_to_check(record, live, self._view.me.vm):
                wanted[target.name] = target
        for name in set(self._tasks) - set(wanted):
            self._tasks.pop(name).cancel()
            self._directory.forget_own_status(name)
        for name in set(wanted) - set(self._tasks):
            self._tasks[name] = asyncio.create_task(self._check(wanted[name]), name=f"check {name}")

    async def _check(self, target: model.Target) -> None:
        while True:
            try:
                connection = await self._driver.connect(target)
                try:
                    await self._check_connected(connection)
                finally:
                    await connection.close()
            except errors.TargetError as error:
                fields = {"target": target.name, "step": error.step, "reason": str(error)}
                logger.debug("status check failed", extra=fields)
            await asyncio.sleep(RECONNECT_DELAY)

    async def _check_connected(self, connection: Any) -> None:
        while True:
            status = await connection.status(self._app.clock())
            self._directory.learn_own_status(status)
            self._app.events.emit("target-checked", status)
            await asyncio.sleep(CHECK_INTERVAL)


def setup(app: application.Application) -> None:
    """Register the status monitor."""
    app.add_event("target-checked")
    app.add_part("service", "status-monitor", lambda app: StatusMonitor(app=app))
