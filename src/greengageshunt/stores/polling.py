"""Periodic reads of the platform: configuration, group records and entry VMs."""

import asyncio
import logging
import math
from collections import abc

from greengageshunt import application, codec, errors, model
from greengageshunt.configuration import pointer

logger = logging.getLogger(__name__)

# Takes the monotonic seconds at which the read starts; returns whether the response counts
# as a confirmation that the local state is current.
Read = abc.Callable[[float], abc.Awaitable[bool]]

PLATFORM_POLL_INTERVAL = 0.5  # seconds between the starts of two reads of one kind

# Reads of one kind that may wait for their responses at the same time. A slow platform then
# delays each response but not the next read, so the age of the local state stays near the
# platform's response time. With a limit of 1, it would reach about twice that time.
CONCURRENT_READ_LIMIT = 6

GROUP_ROW_PREFIX = "groups/"

CONFIGURATION_ROW = pointer.CONFIGURATION_ROW
default_object_name = pointer.default_object_name


class PlatformPoller:
    """Reads the platform at a fixed interval, with one task for each kind of data.

    A kind whose reads are slow or fail does not delay the others.
    """

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._platform = app.selected("platform")
        self._view = app.part("membership", "view")
        self._directory = app.part("groups", "directory")
        self._configuration = app.part("configuration", "state")
        self._vm_list_sent_at = -math.inf

    async def run(self) -> None:
        """Poll until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._poll("configuration", self._read_configuration))
            group.create_task(self._poll("groups", self._read_groups))
            group.create_task(self._poll("vms", self._read_vms))

    async def _poll(self, kind: str, read: Read) -> None:
        running: set[asyncio.Task[None]] = set()
        async with asyncio.TaskGroup() as group:
            while True:
                if len(running) < CONCURRENT_READ_LIMIT:
                    task = group.create_task(self._read_once(kind, read))
                    running.add(task)
                    task.add_done_callback(running.discard)
                await asyncio.sleep(PLATFORM_POLL_INTERVAL)

    async def _read_once(self, kind: str, read: Read) -> None:
        sent_at = self._app.clock()
        try:
            if await read(sent_at):
                self._app.events.emit(f"{kind}-read", sent_at)
        except (errors.PlatformError, ValueError) as error:
            logger.warning("platform poll failed", extra={"step": kind, "reason": str(error)})

    async def _read_configuration(self, sent_at: float) -> bool:
        """Adopt the configuration of the platform's pointer; return whether it is in force here.

        A pointer to a version below the one in force was read before the newer version
        was stored. It does not confirm that the configuration in force is current.
        """
        stored_pointer = await pointer.read_pointer(self._platform)
        if stored_pointer is None:
            return False
        if stored_pointer.value.version > self._configuration.version:
            configuration = await pointer.load_configuration(self._platform, stored_pointer.value)
            self._configuration.adopt(configuration, "platform")
        return stored_pointer.value.version == self._configuration.version

    async def _read_groups(self, sent_at: float) -> bool:
        for row in await self._platform.list_rows(GROUP_ROW_PREFIX):
            self._directory.apply_record(codec.from_plain(row.value, model.GroupRecord), "platform")
        return True

    async def _read_vms(self, sent_at: float) -> bool:
        listed_vms = await self._platform.list_vms()
        if not listed_vms or sent_at < self._vm_list_sent_at:
            # With an empty list, this entry VM would count as a majority by itself. A list
            # that was requested before the one in use may be older than it.
            return False
        self._vm_list_sent_at = sent_at
        if self._view.replace(listed_vms):
            self._app.events.emit("members-changed", self._view.members)
        return True


def setup(app: application.Application) -> None:
    """Register the platform poller."""
    for kind in ("configuration", "groups", "vms"):
        app.add_event(f"{kind}-read")
    app.add_part("service", "platform-poller", lambda app: PlatformPoller(app=app))
