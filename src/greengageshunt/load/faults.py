"""Applies faults to a fleet during a run, as a schedule file lists them.

A schedule is a TOML file with a list of tables ``[[fault]]``:

* ``at``: seconds from the start of the run.
* ``action``: one of the names in ``ACTIONS``.
* ``process``: name of a process of the fleet, or ``primary of <group>``, which
  is the primary at the time of the fault.
* ``values``: table of faults that the actions ``platform`` and ``target`` set.
"""

import asyncio
import dataclasses
import logging
import pathlib
import signal
import tomllib
from collections import abc
from typing import Any

from greengageshunt import errors
from greengageshunt.standins import fleet as fleet_module

logger = logging.getLogger(__name__)

_PRIMARY_OF = "primary of "


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """One entry of a schedule, with the fields that the module's description lists."""

    at: float
    action: str
    process: str = ""
    values: abc.Mapping[str, Any] = dataclasses.field(default_factory=dict)


Action = abc.Callable[[fleet_module.Fleet, str, abc.Mapping[str, Any]], abc.Awaitable[None]]


async def _kill(fleet: fleet_module.Fleet, process: str, values: abc.Mapping[str, Any]) -> None:
    # fleet.kill() waits for the end of the process, which would block the event loop
    # and so delay arrivals.
    await asyncio.to_thread(fleet.kill, process)


async def _start(fleet: fleet_module.Fleet, process: str, values: abc.Mapping[str, Any]) -> None:
    fleet.start_again(process)


async def _stop(fleet: fleet_module.Fleet, process: str, values: abc.Mapping[str, Any]) -> None:
    fleet.signal(process, signal.SIGSTOP)


async def _continue(fleet: fleet_module.Fleet, process: str, values: abc.Mapping[str, Any]) -> None:
    fleet.signal(process, signal.SIGCONT)


async def _terminate(
    fleet: fleet_module.Fleet, process: str, values: abc.Mapping[str, Any]
) -> None:
    fleet.signal(process, signal.SIGTERM)


async def _platform(fleet: fleet_module.Fleet, process: str, values: abc.Mapping[str, Any]) -> None:
    await fleet.set_platform_faults(**values)


async def _target(fleet: fleet_module.Fleet, process: str, values: abc.Mapping[str, Any]) -> None:
    await fleet.set_target_faults(process, **values)


ACTIONS: dict[str, Action] = {
    "kill": _kill,
    "start": _start,
    "stop": _stop,
    "continue": _continue,
    "terminate": _terminate,
    "platform": _platform,
    "target": _target,
}


def parse(text: str, source: str) -> tuple[Fault, ...]:
    """Return the faults of a schedule, in order of time.

    Raises:
        SettingsError: The text is not valid TOML, or an entry has an unknown field or action.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise errors.SettingsError(f"{source}: expected TOML: {error}") from error
    faults = []
    for number, entry in enumerate(document.get("fault", []), start=1):
        try:
            fault = Fault(**entry)
        except TypeError as error:
            raise errors.SettingsError(f"{source}: fault {number}: {error}") from error
        if fault.action not in ACTIONS:
            known = ", ".join(sorted(ACTIONS))
            raise errors.SettingsError(
                f"{source}: fault {number}: action: expected one of {known}, got {fault.action!r}"
            )
        faults.append(fault)
    return tuple(sorted(faults, key=lambda fault: fault.at))


def load(path: pathlib.Path) -> tuple[Fault, ...]:
    """Read a schedule file.

    Raises:
        SettingsError: The file cannot be read or is not a valid schedule.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise errors.SettingsError(f"{path}: cannot be read: {error.strerror}") from error
    return parse(text, str(path))


async def _resolve(fleet: fleet_module.Fleet, process: str) -> str:
    """Return the name of the process to which a fault applies now.

    For ``primary of <group>``, this is the writable target with the highest term.

    Raises:
        SettingsError: No running target of the group is writable.
    """
    if not process.startswith(_PRIMARY_OF):
        return process
    name = process.removeprefix(_PRIMARY_OF)
    group = next(group for group in fleet.layout.groups if group.group == name)
    states = {
        target.name: await fleet.target_state(target.name)
        for target in group.targets
        if target.name in fleet.processes
    }
    writable = [name for name, state in states.items() if state["writable"]]
    if not writable:
        raise errors.SettingsError(f"group {name} has no primary: no running target is writable")
    return max(writable, key=lambda target: states[target]["term"])


async def run(
    faults: abc.Iterable[Fault], fleet: fleet_module.Fleet, started_at: float
) -> tuple[Fault, ...]:
    """Apply each fault when it is due; return them with the names of their processes.

    Args:
        faults: Faults in order of time.
        fleet: Fleet to whose processes the faults are applied.
        started_at: Start of the run on the clock of the event loop, in seconds.
    """
    loop = asyncio.get_running_loop()
    applied = []
    for fault in faults:
        await asyncio.sleep(max(0.0, started_at + fault.at - loop.time()))
        process = await _resolve(fleet, fault.process)
        await ACTIONS[fault.action](fleet, process, fault.values)
        logger.info("fault applied", extra={"action": fault.action, "process": process})
        applied.append(dataclasses.replace(fault, process=process))
    return tuple(applied)
