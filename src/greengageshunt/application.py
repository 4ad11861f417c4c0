"""The application kernel: extensions, roles, settings, events and the life cycle."""

from __future__ import annotations

import asyncio
import importlib
import logging
import math
import signal
from collections import abc
from importlib import metadata
from typing import Any

from greengageshunt import clock as clock_module
from greengageshunt import config, errors, events, registry, supervision

logger = logging.getLogger(__name__)

ENTRY_POINT_GROUP = "greengageshunt.plugins"

# Time limit in seconds for one stop step of one service. Open transactions may take 20 s
# of it: a lower limit would cut them off, a higher one delays the exit if a service hangs.
STOP_STEP_TIMEOUT = 25.0


class Application:
    """Holds the parts that the plug-ins of one program register, and runs its services.

    A service is the only kind of part that has a task of its own. Its factory takes the
    application and returns an object with ``async run()``, which the application
    cancels at the end of a shutdown. If ``run`` fails, the program ends, unless the object
    has a true ``restartable``: its ``run`` is then called again.

    Before it cancels the services, the application awaits two optional methods: first
    ``async announce_stop()`` of all services, which notifies other processes of the shutdown
    while all services still work, then ``async stop()`` of all services, which finishes the
    requests in progress.
    """

    def __init__(self, *, name: str, clock: clock_module.Clock = clock_module.monotonic) -> None:
        self._name = name
        self._clock = clock
        self._registry = registry.Registry()
        self._events = events.EventBus()
        # Emitted with the name of a task that failed and runs again.
        self._events.add("task-failed")
        self._declared: dict[str, config.Setting] = {}
        self._settings: config.Settings | None = None
        self._extensions: list[str] = []
        self._instances: dict[tuple[str, str], Any] = {}
        self._stopping = asyncio.Event()
        self._stop_requested_at = math.inf
        self._reload_callback: abc.Callable[[], None] | None = None

    @property
    def name(self) -> str:
        """Name of the program."""
        return self._name

    @property
    def clock(self) -> clock_module.Clock:
        """Clock of the program."""
        return self._clock

    @property
    def registry(self) -> registry.Registry:
        """Parts by role and name."""
        return self._registry

    @property
    def events(self) -> events.EventBus:
        """Events by name."""
        return self._events

    @property
    def declared_settings(self) -> abc.Mapping[str, config.Setting]:
        """Declared settings by key."""
        return self._declared

    @property
    def settings(self) -> config.Settings:
        """Checked settings.

        Raises:
            SettingsError: ``configure`` has not been called.
        """
        if self._settings is None:
            raise errors.SettingsError("settings are not loaded")
        return self._settings

    @property
    def extensions(self) -> tuple[str, ...]:
        """Module names of the loaded extensions, in order."""
        return tuple(self._extensions)

    @property
    def stopping(self) -> bool:
        """Whether a stop was requested."""
        return self._stopping.is_set()

    def setup_extension(self, module_name: str) -> None:
        """Import an extension and call its ``setup(app)``, once.

        Raises:
            RegistryError: The module has no ``setup`` function.
        """
        if module_name in self._extensions:
            return
        module = importlib.import_module(module_name)
        setup = getattr(module, "setup", None)
        if setup is None:
            raise errors.RegistryError(f"extension {module_name!r} has no setup() function")
        self._extensions.append(module_name)
        setup(self)

    def setup_entry_points(self) -> None:
        """Set up the extensions that other packages declare as entry points."""
        for entry_point in metadata.entry_points(group=ENTRY_POINT_GROUP):
            self.setup_extension(entry_point.value)

    def add_setting(self, setting: config.Setting) -> None:
        """Declare a setting.

        Raises:
            RegistryError: The key is already declared.
        """
        if setting.key in self._declared:
            raise errors.RegistryError(f"setting {setting.key!r} is already declared")
        self._declared[setting.key] = setting

    def add_part(self, role: str, name: str, factory: registry.Factory) -> None:
        """Register a part of a role."""
        self._registry.add(role, name, factory)

    def add_event(self, name: str) -> None:
        """Declare an event."""
        self._events.add(name)

    def configure(self, settings: config.Settings) -> None:
        """Set the checked settings."""
        self._settings = settings

    def part(self, role: str, name: str) -> Any:
        """Return the single instance of a part, which the first call creates."""
        key = (role, name)
        if key not in self._instances:
            self._instances[key] = self._registry.get(role, name)(self)
        return self._instances[key]

    def selected(self, role: str) -> Any:
        """Return the part of a role that the setting ``parts.<role>`` names."""
        return self.part(role, self.settings[f"parts.{role}"])

    async def wait_stopped(self) -> None:
        """Wait until a stop is requested."""
        await self._stopping.wait()

    @property
    def stop_requested_at(self) -> float:
        """Time of the first stop request, in seconds of ``clock``; infinite before it."""
        return self._stop_requested_at

    def request_stop(self) -> None:
        """Start a graceful shutdown; further calls have no effect."""
        self._stop_requested_at = min(self._stop_requested_at, self._clock())
        self._stopping.set()

    def on_reload(self, callback: abc.Callable[[], None]) -> None:
        """Set the callback that SIGHUP runs to reload the settings file."""
        self._reload_callback = callback

    async def keep_running(self, name: str, run: abc.Callable[[], abc.Awaitable[None]]) -> None:
        """Run a task until it returns or is cancelled; run it again whenever it fails."""
        await supervision.keep_running(
            name, run, clock=self._clock, report=lambda name: self._events.emit("task-failed", name)
        )

    async def _run_service(self, name: str, service: Any) -> None:
        if getattr(service, "restartable", False):
            await self.keep_running(name, service.run)
        else:
            await service.run()

    async def run(self) -> None:
        """Run all registered services until a stop is requested.

        A restartable service that fails runs again, while sessions and the other services go on.
        """
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.request_stop)
        if self._reload_callback is not None:
            loop.add_signal_handler(signal.SIGHUP, self._reload_callback)
        names = self._registry.names("service")
        services = [(name, self.part("service", name)) for name in names]
        logger.info("starting", extra={"program": self._name, "services": list(names)})
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(self._run_service(name, service), name=name)
                for name, service in services
            ]
            await self._stopping.wait()
            logger.info("stopping", extra={"program": self._name})
            # A service may use services registered before it, so it stops before them.
            for step in ("announce_stop", "stop"):
                for name, service in reversed(services):
                    await self._stop_step(step, name, service)
            for task in tasks:
                task.cancel()
        logger.info("stopped", extra={"program": self._name})

    async def _stop_step(self, step: str, name: str, service: Any) -> None:
        """Run one stop step of a service; log a failure, so that other services still stop."""
        if not hasattr(service, step):
            return
        try:
            async with asyncio.timeout(STOP_STEP_TIMEOUT):
                await getattr(service, step)()
        except Exception:
            logger.exception("stop step failed", extra={"service": name, "step": step})
