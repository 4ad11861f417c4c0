"""Watches the store, and exchanges copies with peers."""

import asyncio
import logging
import random
from collections import abc
from typing import Any

from greengageshunt import application, config, errors, logs
from greengageshunt.coordination import records, view

logger = logging.getLogger(__name__)

# Seconds before the next call after a failed one; doubles up to the longest.
SHORTEST_DELAY = 0.1
LONGEST_DELAY = 1.0

COPY_TIMEOUT = 0.5  # seconds

EXPIRY_INTERVAL = 0.25  # seconds

_COPIED = (records.Section.CONTROL, records.Section.TARGETS)


class StoreWatch:
    """Keeps the copy of the store current: one task for each section."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._store = app.selected("platform")
        self._view: view.StoreView = app.part("coordination", "view")
        self._configuration = app.part("configuration", "state")
        self._links = app.part("peers", "links")
        self._available = dict.fromkeys(records.Section, False)
        self._copying: dict[records.Section, asyncio.Task[None]] = {}
        self._reported: dict[str, int] = {}
        self._links.add_extra("store", self._report, self._note_report)
        app.part("peers", "server").add_handler(records.CopyRequest, self._answer_copy)

    @property
    def reported_versions(self) -> abc.Mapping[str, int]:
        """Version of the control table that each peer said to have, by its name."""
        return self._reported

    async def run(self) -> None:
        """Watch all sections until cancelled."""
        waits = {
            records.Section.CONFIGURATION: self._app.settings["store.configuration_wait"],
            records.Section.TARGETS: self._app.settings["store.targets_wait"],
            records.Section.CONTROL: self._app.settings["store.control_wait"],
        }
        try:
            async with asyncio.TaskGroup() as group:
                for section, wait in waits.items():
                    group.create_task(self._watch(section, wait), name=f"watch {section}")
                group.create_task(self._expire())
        finally:
            for task in self._copying.values():
                task.cancel()

    async def _expire(self) -> None:
        while True:
            self._view.expire(self._app.clock())
            await asyncio.sleep(EXPIRY_INTERVAL)

    async def _watch(self, section: records.Section, wait: float) -> None:
        delay = SHORTEST_DELAY
        known: int | None = None
        while True:
            try:
                known = await self._read(section, known, wait)
            except errors.HistoryLostError as error:
                logs.log_decision(logger, "read-whole", section=section, reason=str(error))
                known = None
                continue
            except errors.PlatformError as error:
                self._note_availability(section, False, str(error))
                await asyncio.sleep(delay * random.uniform(0.5, 1.0))
                delay = min(2 * delay, LONGEST_DELAY)
                continue
            delay = SHORTEST_DELAY
            self._note_availability(section, True, "")

    async def _read(self, section: records.Section, known: int | None, wait: float) -> int:
        """Read a section whole or what changed; return the version that is known now."""
        if known is not None:
            changes = await self._store.changes(section, known, wait)
        else:
            changes = await self._store.read(section)
        if section is records.Section.CONFIGURATION:
            self._adopt(changes)
        else:
            self._view.apply(section, changes, "store")
        return changes.version

    def _adopt(self, changes: records.Changes) -> None:
        found = changes.configuration
        if found is not None:
            self._configuration.adopt(found, "store")
        if self._configuration.version:
            self._app.events.emit("configuration-read", changes.as_of)

    def _note_availability(self, section: records.Section, available: bool, reason: str) -> None:
        if self._available[section] == available:
            return
        self._available[section] = available
        text = "store regained" if available else "store lost"
        logger.warning(text, extra={"section": section, "reason": reason})
        self._app.events.emit("dependency-changed", ("store", available))

    def _report(self) -> dict[str, Any]:
        now = self._app.clock()
        report = {}
        for section in _COPIED:
            copy = self._view.copy(section)
            if copy.version:
                report[section.value] = [copy.version, copy.digest, now - copy.as_of]
        return report

    def _note_report(self, vm: str, value: dict[str, Any], sent_at: float) -> None:
        for name, (version, digest, age) in value.items():
            section = records.Section(name)
            if section is records.Section.CONTROL:
                self._reported[vm] = max(version, self._reported.get(vm, 0))
            copy = self._view.copy(section)
            if digest == copy.digest and copy.version:
                self._view.confirm(section, digest, version, sent_at - age)
            elif version > copy.version and section not in self._copying:
                self._copying[section] = asyncio.create_task(self._copy(vm, section))

    async def _copy(self, vm: str, section: records.Section) -> None:
        """Take over a peer's newer copy."""
        sent_at = self._app.clock()
        try:
            request = records.CopyRequest(section=section)
            answer = await self._links.request(vm, request, COPY_TIMEOUT)
        except errors.GreengageshuntError as error:
            logger.info("copy not received", extra={"peer": vm, "reason": str(error)})
            return
        finally:
            self._copying.pop(section, None)
        changes = records.Changes(
            whole=True,
            rows=answer.control if section is records.Section.CONTROL else answer.targets,
            removed=(),
            version=answer.version,
            as_of=sent_at - answer.age,
        )
        self._view.apply(section, changes, vm)

    async def _answer_copy(
        self, message: records.CopyRequest, received_at: float
    ) -> records.CopyAnswer:
        copy = self._view.copy(message.section)
        rows = tuple(copy.rows.values())
        control = message.section is records.Section.CONTROL
        return records.CopyAnswer(
            section=message.section,
            version=copy.version,
            age=self._app.clock() - copy.as_of,
            control=rows if control else (),
            targets=() if control else rows,
        )


def setup(app: application.Application) -> None:
    """Register the watch of the store."""
    waits = {
        "configuration": 6.0,
        "targets": 20.0,
        "control": 2.0,
    }
    for name, default in waits.items():
        app.add_setting(
            config.Setting(
                key=f"store.{name}_wait",
                kind=float,
                default=default,
                doc=f"Seconds for which the store may hold a call that watches the {name}.",
                check=config.is_positive,
            )
        )
    app.add_event("configuration-read")
    app.add_event("dependency-changed")
    app.add_part("coordination", "watch", lambda app: StoreWatch(app=app))
    app.add_part("service", "store-watch", lambda app: app.part("coordination", "watch"))
