"""Start-up of the daemons: command line, settings, logs and the event loop."""

import argparse
import asyncio
import logging
import os
import pathlib
import signal
import sys
from collections import abc

from greengageshunt import application, config, errors, logs

logger = logging.getLogger(__name__)

EXIT_INVALID_SETTINGS = 2

# Level of the log lines that come before the settings.
_FIRST_LOG_LEVEL = "INFO"

# Default name of the part that serves each role.
_DEFAULT_PARTS = {
    "admission": "leased_shares",
    "driver": "postgresql",
    "platform": "http",
    "routing": "position",
    "scheduling": "fair",
}


def add_common_settings(app: application.Application) -> None:
    """Declare the settings that all daemons have."""
    app.add_setting(config.Setting(key="vm.name", kind=str, doc="Unique name of the entry VM."))
    app.add_setting(
        config.Setting(
            key="vm.failure_domain", kind=str, doc="Failure domain that holds the entry VM."
        )
    )
    app.add_setting(
        config.Setting(key="log.level", kind=str, default="INFO", doc="Lowest level of log lines.")
    )
    for role, name in _DEFAULT_PARTS.items():
        app.add_setting(
            config.Setting(
                key=f"parts.{role}",
                kind=str,
                default=name,
                doc=f"Name of the plug-in that serves as {role}.",
            )
        )


def create(name: str, extensions: abc.Iterable[str]) -> application.Application:
    """Return an application with its extensions set up."""
    app = application.Application(name=name)
    add_common_settings(app)
    for extension in extensions:
        app.setup_extension(extension)
    app.setup_entry_points()
    return app


def check_parts(app: application.Application) -> None:
    """Check that each selected part is registered.

    Raises:
        SettingsError: A setting names an unknown part.
    """
    for role in _DEFAULT_PARTS:
        name = app.settings[f"parts.{role}"]
        known = app.registry.names(role)
        if known and name not in known:
            raise errors.SettingsError(
                f"{app.settings.source}: parts.{role}: expected one of {', '.join(known)},"
                f" got {name!r}"
            )


def run_daemon(
    name: str,
    description: str,
    extensions: abc.Iterable[str],
    *,
    load: config.Load = config.load,
    settings_variable: str = "",
) -> None:
    """Run a daemon from its command line until it is stopped.

    Args:
        name: Name of the program.
        description: What it does, for its help text.
        extensions: Modules of its plug-ins.
        load: Reads the settings file.
        settings_variable: Environment variable that names the settings file if the
            command line does not; empty for none.
    """
    parser = argparse.ArgumentParser(prog=name, description=description)
    default = os.environ.get(settings_variable) if settings_variable else None
    parser.add_argument(
        "--settings",
        type=pathlib.Path,
        required=default is None,
        default=default,
        help="settings file" + (f"; by default ${settings_variable}" if settings_variable else ""),
    )
    path = pathlib.Path(parser.parse_args().settings)
    logs.open_closed_streams()

    async def run() -> None:
        app = create(name, extensions)
        handler = logs.configure(_FIRST_LOG_LEVEL, program=name)
        log_writer = asyncio.create_task(logs.write_regularly(handler), name="logs")
        reload_requested = asyncio.Event()
        reloader = asyncio.create_task(
            app.keep_running(
                "reload", lambda: _reload_on_request(reload_requested, app, path, load)
            )
        )
        try:
            app.configure(
                await config.load_when_complete(load, path, app.declared_settings, clock=app.clock)
            )
            check_parts(app)
            handler.setFormatter(logs.create_formatter(program=name, vm=app.settings["vm.name"]))
            logging.getLogger().setLevel(app.settings["log.level"])
            app.on_reload(reload_requested.set)
            await app.run()
        finally:
            for task in (reloader, log_writer):
                task.cancel()
            await asyncio.gather(reloader, log_writer, return_exceptions=True)
            _ignore_late_signals(asyncio.get_running_loop())

    try:
        asyncio.run(run())
    except errors.SettingsError as error:
        print(f"{name}: {error}", file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)


def _ignore_late_signals(loop: asyncio.AbstractEventLoop) -> None:
    """Ignore SIGHUP and SIGTERM from now on, as their default action would end the process.

    When an event loop removes a handler, by itself at its close, it restores the default action.
    So the signals are blocked until they are ignored.
    """
    numbers = (signal.SIGHUP, signal.SIGTERM)
    blocked = signal.pthread_sigmask(signal.SIG_BLOCK, numbers)
    for number in numbers:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)
    signal.pthread_sigmask(signal.SIG_SETMASK, blocked)


async def _reload_on_request(
    requested: asyncio.Event, app: application.Application, path: pathlib.Path, load: config.Load
) -> None:
    """Reload the settings file after each request, until cancelled."""
    while True:
        await requested.wait()
        requested.clear()
        await _reload(app, path, load)


async def _reload(app: application.Application, path: pathlib.Path, load: config.Load) -> None:
    """Reload the settings file; only the log level changes without a restart."""
    try:
        settings = await config.load_when_complete(
            load, path, app.declared_settings, clock=app.clock
        )
    except errors.SettingsError as error:
        logger.error("settings not reloaded", extra={"reason": str(error)})
        return
    changed = sorted(key for key in app.declared_settings if settings[key] != app.settings[key])
    logging.getLogger().setLevel(settings["log.level"])
    logger.info("settings reloaded", extra={"path": str(path), "need_restart": changed})
