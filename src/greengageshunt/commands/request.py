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

# Seconds before the deciding line of a request. State changes within them are shown as context.
CONTEXT_PERIOD = 10.0

# Messages of log lines that record a state change of an entry VM.
_CONTEXT_MESSAGES = frozenset(
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

# Fields that the text output omits: every line has them, or the output shows them elsewhere.
_HIDDEN_FIELDS = frozenset({"level", "logger", "message", "decision", "program", "time", "vm"})


@dataclasses.dataclass(frozen=True, kw_only=True)
class Line:
    """One log line.

    Attributes:
        time: Seconds since the epoch.
        vm: Entry VM that wrote the line, or an empty string.
        message: Message of the line, such as the kind of a decision.
        fields: All fields of the line.
    """

    time: float
    vm: str
    message: str
    fields: abc.Mapping[str, Any]


def parse(text: str) -> tuple[Line, ...]:
    """Return the JSON lines of a log, without any text before the brace of a line."""
    lines = []
    for raw in text.splitlines():
        start = raw.find("{")
        try:
            fields = json.loads(raw[start:]) if start >= 0 else None
            time = datetime.datetime.fromisoformat(fields["time"]).timestamp()
        except (ValueError, KeyError, TypeError):
            # The line is truncated or was not written by a daemon.
            continue
        lines.append(
            Line(time=time, vm=fields.get("vm", ""), message=fields["message"], fields=fields)
        )
    return tuple(lines)


def trail(lines: abc.Iterable[Line], request: str) -> tuple[Line, ...]:
    """Return the lines of a request and of its operations, in order of time."""
    all_lines = tuple(lines)
    request_lines = [line for line in all_lines if line.fields.get("request") == request]
    operations = {line.fields["operation"] for line in request_lines if "operation" in line.fields}
    ids = {request} | operations
    return tuple(
        sorted(
            (
                line
                for line in all_lines
                if line.fields.get("request") in ids or line.fields.get("operation") in ids
            ),
            key=lambda line: line.time,
        )
    )


def deciding_line(lines: abc.Sequence[Line]) -> Line | None:
    """Return the last line with a failed outcome, else the last line, or None without lines."""
    failed = [line for line in lines if line.fields.get("outcome", "ok") != "ok"]
    return (failed or list(lines) or [None])[-1]


def context(lines: abc.Iterable[Line], decided: Line) -> tuple[Line, ...]:
    """Return the lines of state changes that may have caused a deciding line, by time.

    These are changes on its entry VM, and changes of the group's primary on any entry VM,
    within CONTEXT_PERIOD before it.
    """
    group, target = decided.fields.get("group"), decided.fields.get("target")

    def concerns(line: Line) -> bool:
        same_group = group is None or line.fields.get("group", group) == group
        is_primary_change = line.message in ("change-primary", "recall-leases", "primary-changed")
        same_target = target is None or line.fields.get("target", target) == target
        relevant_vm = line.vm == decided.vm or (is_primary_change and "group" in line.fields)
        return relevant_vm and same_group and (same_target or line.message == "adopt-target")

    return tuple(
        sorted(
            (
                line
                for line in lines
                if line.message in _CONTEXT_MESSAGES
                and 0 <= decided.time - line.time <= CONTEXT_PERIOD
                and concerns(line)
            ),
            key=lambda line: line.time,
        )
    )


def _text(line: Line, mark: str = " ") -> str:
    at = datetime.datetime.fromtimestamp(line.time, datetime.UTC).strftime("%H:%M:%S.%f")[:-3]
    shown = (f"{name}={value}" for name, value in line.fields.items() if name not in _HIDDEN_FIELDS)
    return f"{mark} {at} {line.vm} {line.message} {' '.join(shown)}"


async def explain(call: command.Context) -> command.Outcome:
    """Collect the lines of a request from logs, and mark the one that decided its outcome."""
    request = call.arguments.request
    all_lines: list[Line] = []
    for path in call.arguments.files:
        try:
            all_lines.extend(parse(path.read_text(encoding="utf-8", errors="replace")))
        except OSError as error:
            raise errors.SettingsError(f"{path}: cannot be read: {error.strerror}") from error
    request_lines = trail(all_lines, request)
    decided = deciding_line(request_lines)
    if decided is None:
        return command.refused(f"no line of request {request!r} in {len(all_lines)} log lines")
    state_changes = context(all_lines, decided)
    lines = [f"request {request}: {decided.fields.get('outcome', decided.message)}"]
    lines += ["", "state changes before the deciding line:"]
    lines += [_text(line) for line in state_changes] or ["  no change"]
    lines += ["", "lines of the request; > marks the deciding line:"]
    lines += [_text(line, ">" if line is decided else " ") for line in request_lines]
    document = {
        "request": request,
        "decided": dict(decided.fields),
        "lines": [dict(line.fields) for line in request_lines],
        "context": [dict(line.fields) for line in state_changes],
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
