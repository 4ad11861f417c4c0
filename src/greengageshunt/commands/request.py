"""Subcommand ``request explain``: the trail of one request in the logs of entry VMs."""

import argparse
import dataclasses
import datetime
import json
import pathlib
from collections import abc
from typing import Any

from greengageshunt import application, errors
from greengageshunt.commands import command

# Seconds before a request's first line in which changes of what its entry VM believed are shown.
CONTEXT_PERIOD = 10.0

# Messages that tell of such changes.
_CONTEXT = frozenset(
    {
        "adopt-configuration",
        "adopt-holders",
        "adopt-lead",
        "adopt-members",
        "adopt-target",
        "change-primary",
        "connect-failed",
        "drop-target",
        "peer link lost",
        "primary-changed",
        "process was paused",
        "recall-leases",
        "settings reloaded",
        "starting",
        "stopping",
        "store lost",
        "store regained",
        "suspect-primary",
    }
)

# Fields that every line has, or that the text shows elsewhere.
_HIDDEN = frozenset({"level", "logger", "message", "decision", "program", "time", "vm"})


@dataclasses.dataclass(frozen=True, kw_only=True)
class Line:
    """One log line.

    Attributes:
        time: Seconds since the epoch.
        vm: Entry VM that wrote it.
        message: What was decided or seen.
        fields: All fields.
    """

    time: float
    vm: str
    message: str
    fields: abc.Mapping[str, Any]


def parse(text: str) -> tuple[Line, ...]:
    """Return the JSON lines of a log; text before the brace of a line is left out."""
    found = []
    for raw in text.splitlines():
        start = raw.find("{")
        try:
            fields = json.loads(raw[start:]) if start >= 0 else None
            time = datetime.datetime.fromisoformat(fields["time"]).timestamp()
        except (ValueError, KeyError, TypeError):
            # Not a line of a daemon, or one that was cut.
            continue
        found.append(
            Line(time=time, vm=fields.get("vm", ""), message=fields["message"], fields=fields)
        )
    return tuple(found)


def trail(lines: abc.Iterable[Line], request: str) -> tuple[Line, ...]:
    """Return the lines of a request and of its operation, in order of time."""
    known = tuple(lines)
    own = [line for line in known if line.fields.get("request") == request]
    operations = {line.fields["operation"] for line in own if "operation" in line.fields}
    wanted = {request} | operations
    return tuple(
        sorted(
            (
                line
                for line in known
                if line.fields.get("request") in wanted or line.fields.get("operation") in wanted
            ),
            key=lambda line: line.time,
        )
    )


def deciding(lines: abc.Sequence[Line]) -> Line | None:
    """Return the line that decided how a request ended, or None without lines."""
    failed = [line for line in lines if line.fields.get("outcome", "ok") != "ok"]
    return (failed or list(lines) or [None])[-1]


def context(lines: abc.Iterable[Line], decided: Line) -> tuple[Line, ...]:
    """Return what the entry VM of a deciding line came to believe shortly before it."""
    group, target = decided.fields.get("group"), decided.fields.get("target")

    def concerns(line: Line) -> bool:
        same_group = group is None or line.fields.get("group", group) == group
        changed_by_others = line.message in ("change-primary", "recall-leases", "primary-changed")
        same_target = target is None or line.fields.get("target", target) == target
        own = line.vm == decided.vm or (changed_by_others and "group" in line.fields)
        return own and same_group and (same_target or line.message == "adopt-target")

    return tuple(
        sorted(
            (
                line
                for line in lines
                if line.message in _CONTEXT
                and 0 <= decided.time - line.time <= CONTEXT_PERIOD
                and concerns(line)
            ),
            key=lambda line: line.time,
        )
    )


def _text(line: Line, mark: str = " ") -> str:
    at = datetime.datetime.fromtimestamp(line.time, datetime.UTC).strftime("%H:%M:%S.%f")[:-3]
    shown = (f"{name}={value}" for name, value in line.fields.items() if name not in _HIDDEN)
    return f"{mark} {at} {line.vm} {line.message} {' '.join(shown)}"


async def explain(call: command.Context) -> command.Outcome:
    """Gather the lines of a request from logs, and name the one that decided."""
    request = call.arguments.request
    known: list[Line] = []
    for path in call.arguments.files:
        try:
            known.extend(parse(path.read_text(encoding="utf-8", errors="replace")))
        except OSError as error:
            raise errors.SettingsError(f"{path}: cannot be read: {error.strerror}") from error
    found = trail(known, request)
    decided = deciding(found)
    if decided is None:
        return command.refused(f"no line of request {request!r} in {len(known)} log lines")
    before = context(known, decided)
    lines = [f"request {request}: {decided.fields.get('outcome', decided.message)}"]
    lines += ["", "what the entry VM came to believe before:"]
    lines += [_text(line) for line in before] or ["  no change"]
    lines += ["", "lines of the request; > decided:"]
    lines += [_text(line, ">" if line is decided else " ") for line in found]
    document = {
        "request": request,
        "decided": dict(decided.fields),
        "lines": [dict(line.fields) for line in found],
        "context": [dict(line.fields) for line in before],
    }
    return command.Outcome(exit=command.Exit.DONE, lines=tuple(lines), document=document)


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("request", help="id of the request, as its caller sent it")
    parser.add_argument(
        "files", type=pathlib.Path, nargs="+", metavar="FILE", help="logs of entry VMs"
    )


def setup(app: application.Application) -> None:
    """Register the subcommand."""
    command.add(
        app,
        command.Command(
            group="request",
            name="explain",
            help="Show the trail of one request in logs, and what decided; 1 without any.",
            examples=(
                "request explain 5c0e7a21d94b36f8 vm-1.log vm-2.log",
                "--json request explain 5c0e7a21d94b36f8 *.log",
            ),
            run=explain,
            add_arguments=_add_arguments,
            needs_platform=False,
        ),
    )
