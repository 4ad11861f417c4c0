"""Status checks of targets: one task for each checked target."""

import asyncio
import contextlib
import dataclasses
import logging
import math
from typing import Any

from greengageshunt import application, errors, model
from greengageshunt.membership import ownership

logger = logging.getLogger(__name__)

CHECK_INTERVAL = 0.15  # seconds
URGENT_INTERVAL = 0.05  # seconds between checks while a group has no answering primary
SILENT_AFTER = 0.4  # seconds without an answer after which checks are urgent
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


def check_interval(primary_seen_at: float, now: float) -> float:
    """Return the seconds until the next check of a group's target.

    While the primary is silent, callers' writes are held until a check shows the
    new primary.

    Args:
        primary_seen_at: Monotonic seconds of the newest answer of the primary.
        now: Monotonic seconds.
    """
    return URGENT_INTERVAL if now - primary_seen_at > SILENT_AFTER else CHECK_INTERVAL


@dataclasses.dataclass(frozen=True, kw_only=True)
class Check:
    """A target that is checked, and the task that does so."""

    target: model.Target
    task: asyncio.Task[None]


class StatusMonitor:
    """Checks the targets that this entry VM is responsible for."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._driver = app.selected("driver")
        self._directory = app.part("groups", "directory")
        self._view = app.part("membership", "view")
        self._checks: dict[str, Check] = {}
        self._changed = asyncio.Event()
        app.events.connect("group-changed", lambda _: self._changed.set())

    async def run(self) -> None:
        """Keep one task for each target to check."""
        try:
            while True:
                self._reconcile()
                # A new primary needs its checks at once, for the write grant.
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(CHECK_INTERVAL):
                        await self._changed.wait()
                self._changed.clear()
        finally:
            for check in self._checks.values():
                check.task.cancel()

    def _reconcile(self) -> None:
        live = self._view.live(self._app.clock())
        wanted: dict[str, model.Target] = {}
        for record in self._directory.records:
            for target in targets_to_check(record, live, self._view.me.vm):
                wanted[target.name] = target
        for name, check in list(self._checks.items()):
            if wanted.get(name) != check.target:
                self._checks.pop(name).task.cancel()
                self._directory.forget_own_status(name)
        for name in set(wanted) - set(self._checks):
            task = asyncio.create_task(self._check(wanted[name]), name=f"check {name}")
            self._checks[name] = Check(target=wanted[name], task=task)

    def _interval(self, target: model.Target) -> float:
        record = self._directory.group_of(target.name)
        primary = self._directory.status(record.primary) if record else None
        seen_at = primary.observed_at if primary else -math.inf
        return check_interval(seen_at, self._app.clock())

    async def _check(self, target: model.Target) -> None:
        while True:
            try:
                connection = await self._driver.connect(target)
                try:
                    await self._check_connected(target, connection)
                finally:
                    await connection.close()
            except errors.TargetError as error:
                fields = {"target": target.name, "step": error.step, "reason": str(error)}
                logger.debug("status check failed", extra=fields)
            await asyncio.sleep(RECONNECT_DELAY)

    async def _check_connected(self, target: model.Target, connection: Any) -> None:
        while True:
            status = await connection.status(self._app.clock())
            self._directory.learn_own_status(status)
            self._app.events.emit("target-checked", status)
            await asyncio.sleep(self._interval(target))


def setup(app: application.Application) -> None:
    """Register the status monitor."""
    app.add_event("target-checked")
    app.add_part("service", "status-monitor", lambda app: StatusMonitor(app=app))
