"""Status checks of targets, with one task for each checked target."""

import asyncio
import contextlib
import dataclasses
import logging
import math
from typing import Any

from greengageshunt import application, errors, model
from greengageshunt.membership import ownership

logger = logging.getLogger(__name__)

STATUS_CHECK_INTERVAL = 0.15  # seconds between checks of a target
URGENT_CHECK_INTERVAL = 0.05  # the same while the primary of the group does not answer
PRIMARY_SILENCE_LIMIT = 0.4  # seconds without an answer of the primary before checks are urgent
RECONNECT_DELAY = 0.1  # seconds between a failed check and the next connection


def targets_to_check(
    record: model.GroupRecord, live: tuple[model.Member, ...], vm: str
) -> tuple[model.Target, ...]:
    """Return the targets of a group that an entry VM checks.

    The owner of the primary checks all targets of the group, because its write grant depends on
    them. The owner of another target checks that target only.

    Args:
        record: Record of the group.
        live: Entry VMs that answer and are not leaving.
        vm: Name of the entry VM.
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

    Checks are more frequent while the primary does not answer, because writes of callers wait
    until a check shows the new primary.

    Args:
        primary_seen_at: Time of the primary's newest answer, in monotonic seconds.
        now: Monotonic seconds.
    """
    return (
        URGENT_CHECK_INTERVAL
        if now - primary_seen_at > PRIMARY_SILENCE_LIMIT
        else STATUS_CHECK_INTERVAL
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Check:
    """A checked target, and the task that checks it."""

    target: model.Target
    task: asyncio.Task[None]


class StatusMonitor:
    """Checks the targets for which this entry VM is responsible."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._driver = app.selected("driver")
        self._directory = app.part("groups", "directory")
        self._view = app.part("membership", "view")
        self._checks: dict[str, Check] = {}
        self._group_changed = asyncio.Event()
        app.events.connect("group-changed", lambda _: self._group_changed.set())

    async def run(self) -> None:
        """Run one task for each target to check until cancelled."""
        try:
            while True:
                self._reconcile()
                # A new primary needs its checks at once, because its write grant depends on them.
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(STATUS_CHECK_INTERVAL):
                        await self._group_changed.wait()
                self._group_changed.clear()
        finally:
            for check in self._checks.values():
                check.task.cancel()

    def _reconcile(self) -> None:
        """Cancel tasks of targets that need no check here, and start the missing ones."""
        live = self._view.live(self._app.clock())
        wanted: dict[str, model.Target] = {}
        for record in self._directory.records:
            for target in targets_to_check(record, live, self._view.me.vm):
                wanted[target.name] = target
        for name, check in list(self._checks.items()):
            if wanted.get(name) != check.target:
                self._checks.pop(name).task.cancel()
                self._directory.remove_own_status(name)
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
            self._directory.apply_own_status(status)
            self._app.events.emit("target-checked", status)
            await asyncio.sleep(self._interval(target))


def setup(app: application.Application) -> None:
    """Register the status monitor."""
    app.add_event("target-checked")
    app.add_part("service", "status-monitor", lambda app: StatusMonitor(app=app))
