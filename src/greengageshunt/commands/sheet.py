"""Subcommands ``sheet check|diff|load|status|export``."""

import argparse
import dataclasses
import pathlib
import secrets
from collections import abc

from returns import pipeline, result

from greengageshunt import application, errors, model
from greengageshunt.commands import changes, command, vms
from greengageshunt.configuration import difference, pointer, sheet

_TOKEN_SECRET_BYTES = 32  # random bytes of a new secret for session tokens


def _read(path: pathlib.Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise errors.SettingsError(f"{path}: cannot be read: {error.strerror}") from error


def _refuse_invalid_sheet(
    path: pathlib.Path, problems: abc.Sequence[sheet.Problem]
) -> command.Outcome:
    count = f"{len(problems)} error" + ("s" if len(problems) > 1 else "")
    lines = [f"{path}: {problem}" for problem in problems]
    return command.refused(
        f"{path.name} has {count}",
        *lines,
        problems=[dataclasses.asdict(problem) for problem in problems],
    )


def _add_file_argument(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("file", type=pathlib.Path, help="sheet")


def _add_load_arguments(parser: argparse.ArgumentParser) -> None:
    _add_file_argument(parser)
    parser.add_argument(
        "--base",
        type=int,
        metavar="VERSION",
        help="version on which the sheet is based, as `sheet diff` shows it;"
        " not needed for the first version",
    )
    command.add_wait_argument(parser)


async def check(context: command.Context) -> command.Outcome:
    """Check a sheet without the platform."""
    path = context.arguments.file
    parsed = sheet.parse(_read(path))
    if not pipeline.is_successful(parsed):
        return _refuse_invalid_sheet(path, parsed.failure())
    content = parsed.unwrap()
    counts = {
        "accounts": len(content.accounts),
        "keys": len(content.keys),
        "routes": len(content.routes),
    }
    text = ", ".join(f"{number} {name}" for name, number in counts.items())
    return command.Outcome(
        exit=command.Exit.DONE, lines=(f"{path.name} is valid: {text}",), document=counts
    )


def _merge(
    data: bytes, current: model.Configuration
) -> result.Result[model.Configuration, tuple[sheet.Problem, ...]]:
    return sheet.parse(data).bind(lambda content: sheet.merge(content, current))


async def diff(context: command.Context) -> command.Outcome:
    """Show what loading a sheet would change."""
    path = context.arguments.file
    data = _read(path)
    current = await changes.read_current(context.platform)
    merged = _merge(data, current.configuration)
    if not pipeline.is_successful(merged):
        return _refuse_invalid_sheet(path, merged.failure())
    differences = difference.compare(current.configuration, merged.unwrap())
    version = current.configuration.version
    version_line = f"current version: {version}"
    lines = (
        [version_line, *changes.format_lines(differences)]
        if differences
        else [version_line, "  no difference"]
    )
    document = {"current": version, "changes": changes.to_documents(differences)}
    return command.Outcome(exit=command.Exit.DONE, lines=tuple(lines), document=document)


async def _refuse_other_base(
    context: command.Context,
    current: changes.CurrentConfiguration,
    merged: model.Configuration,
    base: int | None,
) -> command.Outcome:
    """Return the refusal of a sheet that is not based on the current version.

    It shows the changes of other planners that loading the sheet would overwrite.
    """
    version = current.configuration.version
    lines = []
    changes_since_base = None
    if base is None:
        message = (
            f"version {version} is current, and --base with the version of the sheet is missing"
        )
    else:
        message = f"the sheet is based on version {base}, but version {version} is current"
        changes_since_base = await changes.changes_since(context.platform, current, base)
        lines.append(f"changed since version {base}:")
        lines += (
            ["  unknown, because that version is no longer stored"]
            if changes_since_base is None
            else changes.format_lines(changes_since_base)
        )
    changes_by_sheet = difference.compare(current.configuration, merged)
    lines += [f"loading would change version {version}:", *changes.format_lines(changes_by_sheet)]
    lines.append(f"update the sheet, or repeat with --base {version}")
    return command.refused(
        message,
        *lines,
        current=version,
        changed_since_base=(
            None if changes_since_base is None else changes.to_documents(changes_since_base)
        ),
        changes=changes.to_documents(changes_by_sheet),
    )


def _with_token_secret(merged: model.Configuration) -> model.Configuration:
    if merged.token_secret:
        return merged
    return dataclasses.replace(merged, token_secret=secrets.token_hex(_TOKEN_SECRET_BYTES))


async def load(context: command.Context) -> command.Outcome:
    """Store a sheet as the next version and wait until it is in force."""
    path, base = context.arguments.file, context.arguments.base
    data = _read(path)
    members = await context.platform.list_vms()
    current = await changes.read_current(context.platform)
    merged = _merge(data, current.configuration)
    if not pipeline.is_successful(merged):
        return _refuse_invalid_sheet(path, merged.failure())
    version = current.configuration.version
    if base != version and (version or base):
        return await _refuse_other_base(context, current, merged.unwrap(), base)
    if not difference.compare(current.configuration, merged.unwrap()):
        context.progress(f"no difference to version {version}")
        return await changes.wait_for_version(context, version, members)
    configuration = _with_token_secret(merged.unwrap())
    written = await pointer.publish_configuration(context.platform, configuration, current.stored)
    if not pipeline.is_successful(written):
        newer = await changes.read_current(context.platform)
        merged = _merge(data, newer.configuration)
        if not pipeline.is_successful(merged):
            return _refuse_invalid_sheet(path, merged.failure())
        return await _refuse_other_base(context, newer, merged.unwrap(), version)
    context.progress(f"version {configuration.version} is stored")
    return await changes.wait_for_version(context, configuration.version, members)


async def show_status(context: command.Context) -> command.Outcome:
    """Show where the newest version is in force."""
    members = await context.platform.list_vms()
    stored = await pointer.read_pointer(context.platform)
    if stored is None:
        return command.refused("no version is stored; load a sheet")
    return await changes.wait_for_version(context, stored.value.version, members)


async def export(context: command.Context) -> command.Outcome:
    """Print the newest version as a sheet."""
    current = await changes.read_current(context.platform)
    text = sheet.render(current.configuration)
    return command.Outcome(
        exit=command.Exit.DONE,
        lines=tuple(text.removesuffix("\n").split("\n")),
        document={"version": current.configuration.version, "sheet": text},
    )


def _set_status_defaults(parser: argparse.ArgumentParser) -> None:
    parser.set_defaults(wait=2 * vms.POLL_INTERVAL)


def setup(app: application.Application) -> None:
    """Register the subcommands."""
    command.add(
        app,
        command.Command(
            group="sheet",
            name="check",
            help="Check a sheet without the platform; name each error's row and column.",
            examples=("sheet check morning.csv",),
            run=check,
            add_arguments=_add_file_argument,
            needs_platform=False,
        ),
    )
    command.add(
        app,
        command.Command(
            group="sheet",
            name="diff",
            help="Show the current version and what loading a sheet would change.",
            examples=("sheet diff morning.csv", "--json sheet diff morning.csv"),
            run=diff,
            add_arguments=_add_file_argument,
        ),
    )
    command.add(
        app,
        command.Command(
            group="sheet",
            name="load",
            help="Make a sheet the next version, and wait until it is in force everywhere.",
            examples=("sheet load first.csv", "sheet load morning.csv --base 7"),
            run=load,
            add_arguments=_add_load_arguments,
        ),
    )
    command.add(
        app,
        command.Command(
            group="sheet",
            name="status",
            help="Show on which entry VMs the newest version is in force.",
            examples=("sheet status",),
            run=show_status,
            add_arguments=_set_status_defaults,
        ),
    )
    command.add(
        app,
        command.Command(
            group="sheet",
            name="export",
            help="Print the newest version as a sheet.",
            examples=("sheet export > current.csv",),
            run=export,
        ),
    )
