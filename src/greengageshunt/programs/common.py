"""Start of the daemons: command line, settings, logs and the event loop."""

import argparse
import asyncio
import pathlib
import sys
from collections import abc

from greengageshunt import application, config, errors, logs

EXIT_SETTINGS = 2

# Default name of the part that serves each role.
_SELECTED_PARTS = {
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
    for role, name in _SELECTED_PARTS.items():
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
    for role in _SELECTED_PARTS:
        name = app.settings[f"parts.{role}"]
        known = app.registry.names(role)
        if known and name not in known:
            raise errors.SettingsError(
                f"{app.settings.source}: parts.{role}: expected one of {', '.join(known)},"
                f" got {name!r}"
            )


def run_daemon(name: str, description: str, extensions: abc.Iterable[str]) -> None:
    """Run a daemon from its command line until it is stopped."""
    parser = argparse.ArgumentParser(prog=name, description=description)
    parser.add_argument("--settings", type=pathlib.Path, required=True, help="TOML settings file")
    arguments = parser.parse_args()

    async def run() -> None:
        app = create(name, extensions)
        app.configure(config.load(arguments.settings, app.declared_settings))
        check_parts(app)
        logs.configure(app.settings["log.level"])
        await app.run()

    try:
        asyncio.run(run())
    except errors.SettingsError as error:
        print(f"{name}: {error}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
