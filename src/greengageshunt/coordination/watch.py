"""Watches the store's sections."""

import asyncio
import contextlib
import functools
import logging
import math
import random
from collections import abc
from typing import Any

from greengageshunt import application, config, errors, logs
from greengageshunt.coordination import records, view
from greengageshunt.membership import ownership
from greengageshunt.stores import rows

logger = logging.getLogger(__name__)

# Seconds between a failed call to the store and the next one. The delay doubles with each failure
# from the minimum to the maximum.
MIN_RETRY_DELAY = 0.1
MAX_RETRY_DELAY = 1.0

# Factor on the maximum delay of an entry VM that is no hub: failed calls cost money, too.
NON_HUB_RETRY_FACTOR = 4.0

EXPIRY_INTERVAL = 0.5  # seconds between checks for targets that are missing from the store

# Seconds without a confirmation from hubs after which an entry VM that is no hub reads a section
# from the store. Hubs confirm the control table whenever one of their watch calls ends or a
# heartbeat is answered, and the target list at least whenever one of their longer watch calls
# ends. With less, each entry VM calls the store although hubs confirm the section. The time for
# the configuration, the check interval and one call are less than the 5 s within which a
# configuration must be in force on fleets that have hubs.
HUB_CONFIRMATION_TIMEOUTS = {
    records.Section.CONFIGURATION: 3.5,
    records.Section.CONTROL: 4.0,
    records.Section.TARGETS: 24.0,
}

# Seconds between checks of whether hubs still confirm a section.
CONFIRMATION_CHECK_INTERVAL = 0.5

# Most seconds for which the store may hold the calls of the hubs that watch the configuration for
# all others. Two calls end within the time for which the others wait for a confirmation.
SHARED_CONFIGURATION_WAIT = 1.5

# Number of hubs that watch the configuration with short calls, if there are entry VMs that rely on
# hubs. The second one covers the loss of the first.
CONFIGURATION_WATCHERS = 2

# Minimum seconds for which the store may hold a watch call of an entry VM that is no hub. The
# store's own limit is 30.
NON_HUB_WATCH_WAIT = 25.0

# Calls per second that all entry VMs together make for one section while its rows keep changing.
# Without a limit, each changed row would cause a call by each entry VM.
TOTAL_CALL_RATE = 50.0

# Maximum seconds for which the first watch call of a section waits for the registration.
REGISTRATION_WAIT = 1.0

# Seconds from the start of a process within which peers report the version that they have in force.
# They cover two heartbeats and the connections for them.
PEER_REPORT_WAIT = 1.5


class StoreWatch:
    """Keeps the copies of the store's sections current, with one task for each section."""

    restartable = True

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._store = app.selected("platform")
        self._view: view.StoreView = app.part("coordination", "view")
        self._configuration = app.part("configuration", "state")
        self._links = app.part("peers", "links")
        self._members = app.part("membership", "view")
        self._registry = app.part("coordination", "members")
        self._availability = dict.fromkeys(records.Section, False)
        self._waits: dict[records.Section, tuple[asyncio.Timeout, float]] = {}
        self._lost_at = dict.fromkeys(records.Section, -math.inf)
        # The store may hold calls of the era before until the end of their time.
        app.events.connect("era-rose", lambda era: self._end_waits(math.inf))
        self._control_read = asyncio.Event()
        self._registered = asyncio.Event()
        self._configuration_as_of = -math.inf
        self._newest_reported_configuration = 0
        self._configuration_era = rows.FIRST_ERA
        self._started_at = app.clock()
        self._era: int | None = None  # before the first response of the store
        self._answered_at = -math.inf
        self._write_failed_at = -math.inf
        self._unserved_peers: set[str] = set()
        self._links.add_heartbeat_value(
            "configuration-read", self._report_configuration, self._confirm_configuration
        )
        self._links.add_heartbeat_value(
            "store-served", lambda: self.is_served(self._members.me.vm), self._note_peer_served
        )

    @property
    def control_read(self) -> asyncio.Event:
        """Event that is set once the control table has been read."""
        return self._control_read

    def is_served(self, vm: str) -> bool:
        """Return whether the store answers an entry VM, as far as this one knows.

        A peer counts as served until it reports that it is not.

        Args:
            vm: Name of the entry VM.
        """
        if vm != self._members.me.vm:
            return vm not in self._unserved_peers
        available = self._availability[records.Section.CONTROL]
        return available and self._answered_at > self._write_failed_at

    def note_failed_write(self, now: float) -> None:
        """Record a failed write to the store.

        It shows a store that does not answer before the watch calls, which the store may hold.

        Args:
            now: Monotonic seconds.
        """
        self._write_failed_at = now

    async def run(self) -> None:
        """Watch all sections until cancelled."""
        waits = {
            records.Section.CONFIGURATION: self._app.settings["store.configuration_wait"],
            records.Section.TARGETS: self._app.settings["store.targets_wait"],
            records.Section.CONTROL: self._app.settings["store.control_wait"],
        }
        async with asyncio.TaskGroup() as group:
            for section, wait in waits.items():
                name = f"watch {section}"
                watch = functools.partial(self._watch, section, wait)
                group.create_task(self._app.keep_running(name, watch), name=name)
            name = "remove missing"
            group.create_task(self._app.keep_running(name, self._remove_missing), name=name)

    async def _remove_missing(self) -> None:
        while True:
            self._view.remove_missing(self._app.clock())
            await asyncio.sleep(EXPIRY_INTERVAL)

    async def _watch(self, section: records.Section, wait: float) -> None:
        delay = MIN_RETRY_DELAY
        known: tuple[int, int] | None = None  # era and version
        started = False
        failed = False
        while True:
            if self._is_confirmed_by_hubs(section):
                known = None
                await asyncio.sleep(CONFIRMATION_CHECK_INTERVAL)
                continue
            if known is not None and not started:
                await self._await_registration(section)
                started = True
                continue
            # A store that does not answer may accept a call and never respond to it, even after
            # its return. Only a call that it need not hold shows the return early.
            hold = 0.0 if failed else self._watch_wait(section, wait)
            try:
                changes = await self._until_store_returns(
                    section, self._read(section, known, hold), self._app.clock()
                )
                known = changes.position
            except errors.HistoryLostError as error:
                logs.log_decision(logger, "read-whole", section=section, reason=str(error))
                known = None
                continue
            except TimeoutError:
                logs.log_decision(logger, "repeat-watch", section=section)
                failed = True
                continue
            except errors.PlatformError as error:
                self._note_availability(section, False, str(error))
                failed = True
                with contextlib.suppress(TimeoutError):
                    pause = asyncio.sleep(delay * random.uniform(0.5, 1.0))
                    await self._until_store_returns(section, pause, -math.inf)
                delay = min(2 * delay, self._max_retry_delay)
                continue
            delay, failed = MIN_RETRY_DELAY, False
            self._answered_at = self._app.clock()
            self._note_availability(section, True, "")
            if section is records.Section.CONTROL:
                self._note_control_read()
            if changes.rows:
                await asyncio.sleep(self._call_spacing)

    async def _until_store_returns(
        self, section: records.Section, waiting: abc.Awaitable[Any], began_at: float
    ) -> Any:
        """Wait for a call or a pause of a section, and return its result.

        Args:
            section: The section.
            waiting: The call or pause.
            began_at: Monotonic seconds; the wait ends if a call of another section failed later
                than this, and the store answers that section again, or if the store was restored
                from an older copy.

        Raises:
            TimeoutError: The store returned.
            PlatformError: The call failed.
        """
        async with asyncio.timeout(None) as limit:
            self._waits[section] = (limit, began_at)
            try:
                return await waiting
            finally:
                del self._waits[section]

    async def _await_registration(self, section: records.Section) -> None:
        """Delay the first watch call of a section to avoid calls that cost money in vain.

        The control table is watched once the row of this entry VM is written, because an earlier
        call returns for each row of another one that starts. The target list is watched once the
        registration is confirmed: the entry VM then knows whether it is a hub, and one that is
        not need not watch the target list and the configuration at all.
        """
        control = section is records.Section.CONTROL
        awaited = self._registry.row_written if control else self._registered
        try:
            async with asyncio.timeout(REGISTRATION_WAIT):
                await awaited.wait()
        except TimeoutError:
            logger.warning("the registration is late", extra={"section": section})

    def _note_control_read(self) -> None:
        self._control_read.set()
        if self._registry.registered:
            self._registered.set()

    @property
    def _call_spacing(self) -> float:
        """Seconds between a call that returned changes and the next call.

        They limit the rate of calls. An entry VM whose registration is not confirmed yet cannot
        serve requests, so it does not wait.
        """
        if not self._registry.registered:
            return 0.0
        callers = self._members.hubs if self._members.is_hub else self._members.members
        return len(callers) / TOTAL_CALL_RATE

    @property
    def _max_retry_delay(self) -> float:
        return MAX_RETRY_DELAY if self._members.is_hub else MAX_RETRY_DELAY * NON_HUB_RETRY_FACTOR

    def _watch_wait(self, section: records.Section, configured: float) -> float:
        """Return the seconds for which the store may hold a watch call.

        Only hubs need an early answer when nothing changed; they confirm it to the others.

        Args:
            section: The section.
            configured: Seconds from the settings.
        """
        deferred = self._configuration.version and self._configuration_as_of == -math.inf
        if section is records.Section.CONFIGURATION and deferred:
            return min(configured, PEER_REPORT_WAIT)
        if not self._members.is_hub:
            return max(configured, NON_HUB_WATCH_WAIT)
        if section is not records.Section.CONFIGURATION or self._members.full_mesh:
            return configured
        live = self._members.live_hubs(self._app.clock())
        watchers = ownership.rank("configuration", live)[:CONFIGURATION_WATCHERS]
        shared = self._members.me in watchers
        return min(configured, SHARED_CONFIGURATION_WAIT) if shared else configured

    def _is_confirmed_by_hubs(self, section: records.Section) -> bool:
        """Return whether hubs confirmed a section recently, so that no call is needed."""
        if self._members.is_hub:
            return False
        if section is records.Section.CONTROL and not self._registered.is_set():
            # Hubs that start at the same time would send the row of this entry VM a second later
            # than the store.
            return False
        if section is records.Section.CONFIGURATION:
            if self._newest_reported_configuration > self._configuration.version:
                return False
            if self._configuration_era < self._view.newest_era:
                # A version that was written again may differ from the one that hubs confirm.
                return False
            as_of = self._configuration_as_of
        else:
            as_of = self._view.copy(section).as_of
        return self._app.clock() - as_of < HUB_CONFIRMATION_TIMEOUTS[section]

    async def _read(
        self, section: records.Section, known: tuple[int, int] | None, wait: float
    ) -> records.Changes:
        """Read all rows of a section, or wait for those that change after a known version.

        Raises:
            HistoryLostError: The store no longer has the changes after the known version, or it
                was restored from an older copy since.
            PlatformError: The store did not answer.
        """
        if known is not None:
            era, version = known
            changes = await self._store.changes(section, version, wait)
        else:
            changes = await self._store.read(section)
        self._note_era(section, known, changes)
        if known is not None and changes.era != era:
            # A restored store that has passed the known version again answers without an error.
            raise errors.HistoryLostError(
                f"the store's era changed from {era} to {changes.era}",
                step=f"watch {section}",
                peer="store",
            )
        if section is records.Section.CONFIGURATION:
            self._adopt_configuration(changes)
        else:
            self._view.apply(section, changes, "store")
        return changes

    def _note_era(
        self, section: records.Section, known: tuple[int, int] | None, changes: records.Changes
    ) -> None:
        """Log that the store was restored from an older copy, once for each time."""
        self._view.note_era(changes.era)
        if self._era is None:
            self._era = changes.era
        if changes.era <= self._era:
            return
        stored = changes.configuration
        logs.log_decision(
            logger,
            "store-restored",
            section=section,
            era=changes.era,
            previous=self._era,
            known=known[1] if known else None,
            version=changes.version,
            copied={copied: self._view.copy(copied).version for copied in view.COPIED_SECTIONS},
            configuration=self._configuration.version,
            stored_configuration=stored.version if stored else None,
        )
        self._era = changes.era

    def _adopt_configuration(self, changes: records.Changes) -> None:
        newest = changes.configuration
        if newest is not None:
            self._configuration.adopt(newest, "store", changes.era)
        self._configuration_era = changes.era
        if self._configuration.version and self._may_confirm_configuration(changes.era):
            self._record_configuration_read(changes.as_of)

    def _may_confirm_configuration(self, era: int) -> bool:
        """Return whether a read of the store shows that no newer configuration was accepted.

        A restored store may lack one that peers still have in force. A process that has just
        started therefore defers the confirmation until the first report of a peer, or until none
        is to be expected.

        Args:
            era: Era of the store that was read.
        """
        if era == rows.FIRST_ERA or self._configuration_as_of > -math.inf:
            return True
        if self._newest_reported_configuration > self._configuration.version:
            return False
        waited = self._app.clock() - self._started_at
        return self._newest_reported_configuration > 0 or waited >= PEER_REPORT_WAIT

    def _record_configuration_read(self, as_of: float) -> None:
        """Record a time at which the store is known to have held no newer configuration."""
        if as_of > self._configuration_as_of:
            self._configuration_as_of = as_of
            self._app.events.emit("configuration-read", as_of)

    def _report_configuration(self) -> list[float]:
        """Return the version in force, and the seconds since the store is known to have held it."""
        return [self._configuration.version, self._app.clock() - self._configuration_as_of]

    def _confirm_configuration(self, vm: str, value: list[float], sent_at: float) -> None:
        version, age = value
        self._newest_reported_configuration = max(version, self._newest_reported_configuration)
        if version and version == self._configuration.version:
            self._record_configuration_read(sent_at - age)

    def _note_peer_served(self, vm: str, served: bool, sent_at: float) -> None:
        if served:
            self._unserved_peers.discard(vm)
        else:
            self._unserved_peers.add(vm)

    def _note_availability(self, section: records.Section, available: bool, reason: str) -> None:
        if self._availability[section] == available:
            return
        self._availability[section] = available
        message = "store regained" if available else "store lost"
        logger.warning(message, extra={"section": section, "reason": reason})
        self._app.events.emit("dependency-changed", ("store", available))
        if not available:
            self._lost_at[section] = self._app.clock()
            return
        self._end_waits(self._lost_at[section])

    def _end_waits(self, before: float) -> None:
        """End the calls and pauses that began before a time, in monotonic seconds."""
        loop_now = asyncio.get_running_loop().time()
        for limit, began_at in self._waits.values():
            if began_at < before and not limit.expired():
                limit.reschedule(loop_now)


def setup(app: application.Application) -> None:
    """Register the store watch."""
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
