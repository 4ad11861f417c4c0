"""Regular reads of the platform: configuration, group records and entry VMs."""

import asyncio
import logging
from collections import abc

from greengageshunt import application, codec, errors, model

logger = logging.getLogger(__name__)

POLL_INTERVAL = 0.5  # seconds

CONFIGURATION_ROW = "configuration/current"
GROUP_PREFIX = "groups/"


def configuration_object(version: int) -> str:
    """Return the name of the object that holds a configuration version."""
    return f"configuration/{version}"


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

    async def run(self) -> None:
        """Poll until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._poll("configuration", self._read_configuration))
            group.create_task(self._poll("groups", self._read_groups))
            group.create_task(self._poll("vms", self._read_vms))

    async def _poll(self, step: str, read: abc.Callable[[], abc.Awaitable[None]]) -> None:
        while True:
            started_at = self._app.clock()
            try:
                await read()
                self._app.events.emit(f"{step}-read", started_at)
            except (errors.PlatformError, ValueError) as error:
                logger.warning("platform poll failed", extra={"step": step, "reason": str(error)})
            await asyncio.sleep(POLL_INTERVAL)

    async def _read_configuration(self) -> None:
        row = await self._platform.get_row(CONFIGURATION_ROW)
        if row is None or row.value["version"] <= self._configuration.version:
            return
        data = await self._platform.get_object(configuration_object(row.value["version"]))
        if data is None:
            raise ValueError(f"configuration {row.value['version']} has no object")
        self._configuration.adopt(codec.from_json(data, model.Configuration), "platform")

    async def _read_groups(self) -> None:
        for row in await self._platform.list_rows(GROUP_PREFIX):
            self._directory.learn_record(codec.from_plain(row.value, model.GroupRecord), "platform")

    async def _read_vms(self) -> None:
        if self._view.replace(await self._platform.list_vms()):
            self._app.events.emit("members-changed", self._view.members)


def setup(app: application.Application) -> None:
    """Register the platform poller."""
    for step in ("configuration", "groups", "vms"):
        app.add_event(f"{step}-read")
    app.add_part("service", "platform-poller", lambda app: PlatformPoller(app=app))
