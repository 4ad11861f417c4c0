"""Subcommands ``settings check|reference``."""

import argparse
import importlib
import json
import pathlib

from greengageshunt import application, config
from greengageshunt.commands import command
from greengageshunt.programs import common

# Modules of the daemons, by the name that ``--program`` takes.
_PROGRAMS = {
    "proxy": "greengageshunt.programs.proxy",
    "entry": "greengageshunt.programs.entry",
    "failover": "greengageshunt.programs.failover",
    "ctl": "greengageshunt.programs.ctl",
}
_KIND_NAMES = {str: "string", int: "integer", float: "number", bool: "boolean", list: "strings"}


def _application(program: str) -> application.Application:
    module = importlib.import_module(_PROGRAMS[program])
    if program == "ctl":
        return module.create()
    return common.create(f"greengageshunt-{program}", module.EXTENSIONS)


def _program_name(program: str) -> str:
    return "greengageshuntctl" if program == "ctl" else f"greengageshunt-{program}"


async def check(context: command.Context) -> command.Outcome:
    """Check a settings file as the daemon does at its start."""
    path, program = context.arguments.file, context.arguments.program
    app = _application(program)
    load = getattr(importlib.import_module(_PROGRAMS[program]), "LOAD", config.load)
    app.configure(load(path, app.declared_settings))
    if program != "ctl":
        common.check_parts(app)
    line = f"{path.name} is valid for {_program_name(program)}"
    document = {"valid": True, "program": program}
    return command.Outcome(exit=command.Exit.DONE, lines=(line,), document=document)


def _row(setting: config.Setting) -> str:
    default = "required" if setting.required else f"`{json.dumps(setting.default)}`"
    return f"| `{setting.key}` | {_KIND_NAMES[setting.kind]} | {default} | {setting.doc} |"


def reference() -> list[str]:
    """Return the settings reference as lines of Markdown."""
    lines = [
        "# Settings",
        "",
        "Each program reads one TOML file, given with `--settings`. The part of a key before the",
        "last dot is the TOML table. `greengageshunt-entry` reads the platform's settings file",
        "instead (`GREENGAGESHUNT_BOOT`), whose fields `platform/settings.py` translates.",
        "A faulty file ends the program with exit code 2. Check a file with",
        "`greengageshuntctl settings check FILE --program proxy`.",
        "",
        "This page is generated; after a change of a declared setting, run",
        "`greengageshuntctl settings reference > docs/operators/settings.md`.",
    ]
    for program in _PROGRAMS:
        lines += ["", f"## {_program_name(program)}", ""]
        lines += ["| Key | Type | Default | Meaning |", "|---|---|---|---|"]
        declared = _application(program).declared_settings
        lines += [_row(declared[key]) for key in sorted(declared)]
    return lines


async def show_reference(context: command.Context) -> command.Outcome:
    """Print the settings reference."""
    lines = reference()
    return command.Outcome(
        exit=command.Exit.DONE, lines=tuple(lines), document={"markdown": "\n".join(lines)}
    )


def _add_check(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("file", type=pathlib.Path, help="TOML settings file")
    parser.add_argument(
        "--program", choices=tuple(_PROGRAMS), default="proxy", help="daemon (default: proxy)"
    )


def setup(app: application.Application) -> None:
    """Register the subcommands."""
    command.add(
        app,
        command.Command(
            group="settings",
            name="check",
            help="Check a daemon's settings file; 2 if it is faulty.",
            examples=(
                "settings check proxy.toml",
                "settings check failover.toml --program failover",
            ),
            run=check,
            add_arguments=_add_check,
            needs_platform=False,
        ),
    )
    command.add(
        app,
        command.Command(
            group="settings",
            name="reference",
            help="Print the reference of all settings as Markdown.",
            examples=("settings reference > docs/operators/settings.md",),
            run=show_reference,
            needs_platform=False,
        ),
    )
