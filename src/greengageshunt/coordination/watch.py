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

# Factor of these delays on an entry VM that is no hub; failed calls are priced, too.
SLOWER_BESIDE_HUBS = 4.0

COPY_TIMEOUT = 0.5  # seconds

EXPIRY_INTERVAL = 0.5  # seconds

# Seconds without a confirmation after which an entry VM that is no hub reads a section itself. Hubs
# confirm the control table each time their watch ends or a heartbeat is answered, and the
# target list at least each time their longer watch ends.
CONFIRMED_BY_HUBS = {
    records.Section.CONTROL: 4.0,
    records.Section.TARGETS: 24.0,
}

# Seconds between looks at whether hubs still confirm a section.
HUB_INTERVAL = 1.0

# Seconds for which the store may hold a call of an entry VM that is no hub; it allows 30.
WAIT_BESIDE_HUBS = 25.0

# Calls a second for one section that all entry VMs together make while its rows change one
# after the other. Without a bound each of many rows would wake each of many entry VMs.
CALL_RATE = 50.0

# Seconds for which the first watching call of a section waits for the registration at most.
START_WAIT = 1.0

_COPIED = (records.Section.CONTROL, records.Section.TARGETS)


class StoreWatch:
    """Keeps the copy of the store current: one task for each section."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._store = app.selected("platform")
        self._view: view.StoreView = app.part("coordination", "view")
        self._configuration = app.part("configuration", "state")
        self._links = app.part("peers", "links")
        self._members = app.part("membership", "view")
        self._registry = app.part("coordination", "members")
        self._available = dict.fromkeys(records.Section, False)
        self._copying: dict[records.Section, asyncio.Task[None]] = {}
        self._reported: dict[str, int] = {}
        self._control_read = asyncio.Event()
        self._registered = asyncio.Event()
        self._links.add_extra("store", self._report, self._note_report)
        app.part("peers", "server").add_handler(records.CopyRequest, self._answer_copy)

    @property
    def control_read(self) -> asyncio.Event:
        """Set once the control table was read."""
        return self._control_read

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
            self._view.remove_missing_targets(self._app.clock())
            await asyncio.sleep(EXPIRY_INTERVAL)

    async def _watch(self, section: records.Section, wait: float) -> None:
        delay = SHORTEST_DELAY
        known: int | None = None
        started = False
        while True:
            if self._served_by_hubs(section):
                known = None
                await asyncio.sleep(HUB_INTERVAL)
                continue
            if known is not None and not started:
                await self._await_start(section)
                started = True
            try:
                changes = await self._read(section, known, self._wait(wait))
                known = changes.version
            except errors.HistoryLostError as error:
                logs.log_decision(logger, "read-whole", section=section, reason=str(error))
                known = None
                continue
            except errors.PlatformError as error:
                self._note_availability(section, False, str(error))
                await asyncio.sleep(delay * random.uniform(0.5, 1.0))
                delay = min(2 * delay, self._longest_delay)
                continue
            delay = SHORTEST_DELAY
            self._note_availability(section, True, "")
            if section is records.Section.CONTROL:
                self._note_control_read()
            if changes.rows:
                await asyncio.sleep(self._spacing)

    async def _await_start(self, section: records.Section) -> None:
        """Let the first watching call of a section wait for what makes it worth its price.

        The call for the control table then shows the own row. Once it has, an entry VM
        knows whether it is a hub; if not, it need not watch the target list at all.
        """
        if section is records.Section.CONFIGURATION:
            return
        control = section is records.Section.CONTROL
        awaited = self._registry.written if control else self._registered
        try:
            async with asyncio.timeout(START_WAIT):
                await awaited.wait()
        except TimeoutError:
            logger.warning("the registration is late", extra={"section": section})

    def _note_control_read(self) -> None:
        self._control_read.set()
        if self._registry.registered:
            self._registered.set()

    @property
    def _spacing(self) -> float:
        """Return the seconds until the next call after one that brought changes.

        An entry VM whose registration is not confirmed yet cannot serve, and does not wait.
        """
        if not self._registry.registered:
            return 0.0
        callers = self._members.hubs if self._members.is_hub else self._members.members
        return len(callers) / CALL_RATE

    @property
    def _longest_delay(self) -> float:
        return LONGEST_DELAY if self._members.is_hub else LONGEST_DELAY * SLOWER_BESIDE_HUBS

    def _wait(self, declared: float) -> float:
        """Return the seconds for which the store may hold a call.

        Only hubs need to hear soon that nothing changed; they tell the others.
        """
        return declared if self._members.is_hub else max(declared, WAIT_BESIDE_HUBS)

    def _served_by_hubs(self, section: records.Section) -> bool:
        """Return whether hubs keep the copy of a section current, so that no call is needed."""
        limit = CONFIRMED_BY_HUBS.get(section)
        if limit is None or self._members.is_hub:
            return False
        if section is records.Section.CONTROL and not self._registered.is_set():
            # Hubs that start at the same time would show the own row only a second later.
            return False
        return self._app.clock() - self._view.copy(section).as_of < limit

    async def _read(
        self, section: records.Section, known: int | None, wait: float
    ) -> records.Changes:
        """Read a section whole, or what changed since a version."""
        if known is not None:
            changes = await self._store.changes(section, known, wait)
        else:
            changes = await self._store.read(section)
        if section is records.Section.CONFIGURATION:
            self._adopt(changes)
        else:
            self._view.apply(section, changes, "store")
        return changes

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
            elif version > copy.version and self._copies_from(vm, section):
                self._copying[section] = asyncio.create_task(self._copy(vm, section))

    def _copies_from(self, vm: str, section: records.Section) -> bool:
        """Return whether to take over a newer copy of a peer now.

        Bytes between failure domains are dear, so an entry VM that is no hub copies from
        the own one while a hub there answers.
        """
        if section in self._copying:
            return False
        if self._members.is_hub:
            return True
        domain = self._members.me.failure_domain
        local = {
            hub.vm
            for hub in self._members.live_hubs(self._app.clock())
            if hub.failure_domain == domain
        }
        return vm in local or not local

    async def _copy(self, vm: str, section: records.Section) -> None:
        """Take over a peer's newer rows, or all of them if rows were removed."""
        try:
            if not await self._copy_after(vm, section, self._view.copy(section).version):
                await self._copy_after(vm, section, 0)
        except errors.GreengageshuntError as error:
            logger.info("copy not received", extra={"peer": vm, "reason": str(error)})
        finally:
            self._copying.pop(section, None)

    async def _copy_after(self, vm: str, section: records.Section, after: int) -> bool:
        """Take over a peer's rows above a version; return False if they do not suffice.

        Raises:
            PeerError: The peer did not answer.
            RefusedError: The peer refused the request.
        """
        sent_at = self._app.clock()
        request = records.CopyRequest(section=section, after=after)
        answer = await self._links.request(vm, request, COPY_TIMEOUT)
        changes = records.Changes(
            whole=not after,
            rows=answer.control if section is records.Section.CONTROL else answer.targets,
            removed=(),
            version=answer.version,
            as_of=sent_at - answer.age,
        )
        if after and view.apply(self._view.copy(section), changes).digest != answer.digest:
            return False
        self._view.apply(section, changes, vm)
        return True

    async def _answer_copy(
        self, message: records.CopyRequest, received_at: float
    ) -> records.CopyAnswer:
        copy = self._view.copy(message.section)
        rows = tuple(row for row in copy.rows.values() if row.version > message.after)
        control = message.section is records.Section.CONTROL
        return records.CopyAnswer(
            section=message.section,
            version=copy.version,
            digest=copy.digest,
            age=self._app.clock() - copy.as_of,
            control=rows if control else (),
            targets=() if control else rows,
        )


def setup(app: application.Application) -> None:
    """Register the watch of the store."""
    waits = {
        "configuration": 6.0,
        "targets": 10.0,
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
