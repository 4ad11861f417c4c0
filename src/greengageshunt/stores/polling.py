"""Regular reads of the platform: configuration, group records and entry VMs."""

import asyncio
import logging
import math
from collections import abc

from greengageshunt import application, codec, errors, model
from greengageshunt.configuration import pointer

logger = logging.getLogger(__name__)

# Takes the monotonic seconds of its start; returns whether the answer is current.
Read = abc.Callable[[float], abc.Awaitable[bool]]

POLL_INTERVAL = 0.5  # seconds

# Reads of one kind that wait for their answers at the same time. A slow platform
# delays each answer but not the next read, so the age of what is known stays
# near the delay.
READS_IN_FLIGHT = 6

GROUP_PREFIX = "groups/"

CONFIGURATION_ROW = pointer.CONFIGURATION_ROW
configuration_object = pointer.configuration_object


class PlatformPoller:
    """Reads the platform at a fixed interval, each kind in a task of its own.

    One kind that is slow or fails does not delay the others.
    """

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._platform = app.selected("platform")
        self._view = app.part("membership", "view")
        self._directory = app.part("groups", "directory")
        self._configuration = app.part("configuration", "state")
        self._list_sent_at = -math.inf

    async def run(self) -> None:
        """Poll until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._poll("configuration", self._read_configuration))
            group.create_task(self._poll("groups", self._read_groups))
            group.create_task(self._poll("vms", self._read_vms))

    async def _poll(self, step: str, read: Read) -> None:
        running: set[asyncio.Task[None]] = set()
        async with asyncio.TaskGroup() as group:
            while True:
                if len(running) < READS_IN_FLIGHT:
                    task = group.create_task(self._read_once(step, read))
                    running.add(task)
                    task.add_done_callback(running.discard)
                await asyncio.sleep(POLL_INTERVAL)

    async def _read_once(self, step: str, read: Read) -> None:
        sent_at = self._app.clock()
        try:
            if await read(sent_at):
                self._app.events.emit(f"{step}-read", sent_at)
        except (errors.PlatformError, ValueError) as error:
            logger.warning("platform poll failed", extra={"step": step, "reason": str(error)})

    async def _read_configuration(self, sent_at: float) -> bool:
        """Adopt what the platform points to; return whether that is in force here now.

        A pointer below the version in force was read before that version was
        stored and confirms nothing.
        """
        found = await pointer.read(self._platform)
        if found is None:
            return False
        if found.value.version > self._configuration.version:
            configuration = await pointer.load(self._platform, found.value)
            self._configuration.adopt(configuration, "platform")
        return found.value.version == self._configuration.version

    async def _read_groups(self, sent_at: float) -> bool:
        for row in await self._platform.list_rows(GROUP_PREFIX):
            self._directory.apply_record(codec.from_plain(row.value, model.GroupRecord), "platform")
        return True

    async def _read_vms(self, sent_at: float) -> bool:
        listed = await self._platform.list_vms()
        if not listed or sent_at < self._list_sent_at:
            # An empty list would make the own entry VM a majority by itself.
            return False
        self._list_sent_at = sent_at
        if self._view.replace(listed):
            self._app.events.emit("members-changed", self._view.members)
        return True


def setup(app: application.Application) -> None:
    """Register the platform poller."""
    for step in ("configuration", "groups", "vms"):
        app.add_event(f"{step}-read")
    app.add_part("service", "platform-poller", lambda app: PlatformPoller(app=app))
