"""Entry point of ``greengageshuntctl``: the operators' command line."""

import argparse
import asyncio
import json
import os
import pathlib
import sys
from collections import abc

from greengageshunt import application, config, errors
from greengageshunt.commands import command

NAME = "greengageshuntctl"

# Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "GREENGAGESHUNTCTL_SETTINGS"

EXTENSIONS = (
    "greengageshunt.stores.http",
    "greengageshunt.commands.settings",
    "greengageshunt.commands.sheet",
    "greengageshunt.commands.key",
    "greengageshunt.commands.fleet",
    "greengageshunt.commands.group",
    "greengageshunt.commands.request",
)

_EXIT_CODES = """exit codes:
  0  done
  1  refused or failed; nothing was changed, unless the message says that it is unknown
  2  wrong usage or settings
  3  stored, but not in force everywhere yet"""


def create() -> application.Application:
    """Return the application with all subcommands."""
    app = application.Application(name=NAME)
    app.add_setting(
        config.Setting(
            key="vm.name",
            kind=str,
            default=NAME,
            doc="Name under which the platform sees the program.",
        )
    )
    app.add_setting(
        config.Setting(
            key="parts.platform",
            kind=str,
            default="http",
            doc="Name of the plug-in that serves as platform.",
        )
    )
    for extension in EXTENSIONS:
        app.setup_extension(extension)
    app.setup_entry_points()
    return app


def _epilog(commands: abc.Iterable[command.Command]) -> str:
    lines = ["examples:"]
    lines += [f"  {NAME} {example}" for subcommand in commands for example in subcommand.examples]
    return "\n".join([*lines, "", _EXIT_CODES])


def build_parser(app: application.Application) -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    help_formatter = argparse.RawDescriptionHelpFormatter
    commands = [app.part("command", name) for name in app.registry.names("command")]
    parser = argparse.ArgumentParser(
        prog=NAME,
        description="Checks and changes what is in force on the entry VMs.",
        epilog=_epilog(commands),
        formatter_class=help_formatter,
    )
    parser.add_argument("--json", action="store_true", help="print a JSON document")
    source = parser.add_mutually_exclusive_group()
    source.add_argument(
        "--settings", type=pathlib.Path, help=f"TOML file (default: ${SETTINGS_VARIABLE})"
    )
    source.add_argument("--platform", metavar="ADDRESS", help="host:port of the platform")
    groups = parser.add_subparsers(dest="group", required=True, metavar="COMMAND")
    subparsers = {}
    for name in dict.fromkeys(subcommand.group for subcommand in commands):
        group_commands = [subcommand for subcommand in commands if subcommand.group == name]
        text = ", ".join(f"{name} {subcommand.name}" for subcommand in group_commands)
        group = groups.add_parser(
            name, help=text, epilog=_epilog(group_commands), formatter_class=help_formatter
        )
        subparsers[name] = group.add_subparsers(dest="name", required=True, metavar="ACTION")
    for subcommand in commands:
        action = subparsers[subcommand.group].add_parser(
            subcommand.name,
            help=subcommand.help,
            description=subcommand.help,
            epilog=_epilog([subcommand]),
            formatter_class=help_formatter,
        )
        subcommand.add_arguments(action)
        action.set_defaults(command=subcommand)
    return parser


def _configure(app: application.Application, arguments: argparse.Namespace) -> None:
    if arguments.settings is not None:
        app.configure(config.load(arguments.settings, app.declared_settings))
    elif arguments.platform is not None:
        text = f"[platform]\naddress = {json.dumps(arguments.platform)}\n"
        app.configure(config.parse(text, app.declared_settings, "--platform"))
    elif os.environ.get(SETTINGS_VARIABLE):
        path = pathlib.Path(os.environ[SETTINGS_VARIABLE])
        app.configure(config.load(path, app.declared_settings))
    else:
        raise errors.SettingsError(
            f"expected --platform ADDRESS, --settings FILE, or the variable {SETTINGS_VARIABLE}"
        )


def _print_progress(line: str) -> None:
    print(line, file=sys.stderr, flush=True)


async def execute(
    app: application.Application,
    arguments: argparse.Namespace,
    progress: abc.Callable[[str], None] = _print_progress,
) -> command.Outcome:
    """Run the subcommand of a parsed command line.

    Raises:
        SettingsError: The settings or a file named on the command line are invalid.
    """
    subcommand: command.Command = arguments.command
    context = command.Context(app=app, arguments=arguments, progress=progress)
    if not subcommand.needs_platform:
        return await subcommand.run(context)
    _configure(app, arguments)
    try:
        return await subcommand.run(context)
    except errors.PlatformError as error:
        text = f"{error} ({error.step})"
        if error.effect_unknown:
            text += "; whether the change is stored is unknown, see `sheet status`"
        return command.refused(text)
    except ValueError as error:
        return command.refused(f"the data that the platform stores is invalid: {error}")
    finally:
        await context.platform.close()


def main() -> None:
    """Run the subcommand that the command line names."""
    app = create()
    arguments = build_parser(app).parse_args()
    try:
        outcome = asyncio.run(execute(app, arguments))
    except errors.SettingsError as error:
        outcome = command.Outcome(
            exit=command.Exit.USAGE, lines=(str(error),), document={"error": str(error)}
        )
    if arguments.json:
        print(json.dumps(outcome.document, indent=2, sort_keys=True))
    else:
        successful = outcome.exit in (command.Exit.DONE, command.Exit.NOT_EVERYWHERE)
        stream = sys.stdout if successful else sys.stderr
        print("\n".join(outcome.lines), file=stream)
    sys.exit(outcome.exit)


if __name__ == "__main__":
    main()
