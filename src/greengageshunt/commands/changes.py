"""Changes of the configuration: read, change, write unless another was stored, wait."""

import dataclasses
from collections import abc
from typing import Any

from returns import pipeline, result

from greengageshunt import errors, model
from greengageshunt.commands import command, vms
from greengageshunt.configuration import difference, pointer, state

EDIT_ATTEMPTS = 5

Change = abc.Callable[[model.Configuration], result.Result[model.Configuration, str]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Current:
    """The newest stored configuration.

    Attributes:
        stored: Pointer row, or None before the first version.
        configuration: Configuration; empty with version 0 before the first.
    """

    stored: pointer.StoredPointer | None
    configuration: model.Configuration


async def read_current(platform: Any) -> Current:
    """Return the newest stored configuration.

    Raises:
        PlatformError: The platform did not answer.
        ValueError: What is stored is damaged.
    """
    stored = await pointer.read_pointer(platform)
    if stored is None:
        return Current(stored=None, configuration=state.EMPTY_CONFIGURATION)
    return Current(
        stored=stored, configuration=await pointer.load_configuration(platform, stored.value)
    )


async def changes_since(
    platform: Any, current: Current, version: int
) -> tuple[difference.Change, ...] | None:
    """Return what changed since an earlier version, or None if that is not kept."""
    if version == 0:
        return difference.compare(state.EMPTY_CONFIGURATION, current.configuration)
    earlier = current.stored.value.pointer_to(version) if current.stored else None
    if earlier is None:
        return None
    before = await pointer.load_configuration(platform, earlier)
    return difference.compare(before, current.configuration)


def show(changes: abc.Iterable[difference.Change]) -> list[str]:
    """Return one line for each change."""
    return [f"  {change}" for change in changes]


def plain(changes: abc.Iterable[difference.Change]) -> list[dict[str, Any]]:
    """Return changes for a JSON document."""
    return [dataclasses.asdict(change) for change in changes]


async def wait_for_version(
    context: command.Context, version: int, members: abc.Sequence[model.Member]
) -> command.Outcome:
    """Wait until a version is in force everywhere, and return the outcome."""
    what = f"version {version}"
    force = await vms.wait_in_force(context, members, lambda found: found.version >= version, what)
    outcome = vms.describe(force, what)
    return dataclasses.replace(outcome, document={"version": version, **outcome.document})


async def edit(context: command.Context, change: Change) -> command.Outcome:
    """Apply a small change to the newest configuration, whichever that is.

    If another planner stores a version in between, the change is applied to
    that one, so that nothing is lost.
    """
    platform = context.platform
    members = await platform.list_vms()
    for _ in range(EDIT_ATTEMPTS):
        current = await read_current(platform)
        changed = change(current.configuration)
        if not pipeline.is_successful(changed):
            return command.refused(changed.failure())
        configuration = changed.unwrap()
        if configuration == current.configuration:
            return await wait_for_version(context, configuration.version, members)
        configuration = dataclasses.replace(configuration, version=configuration.version + 1)
        written = await pointer.publish_configuration(platform, configuration, current.stored)
        if pipeline.is_successful(written):
            return await wait_for_version(context, configuration.version, members)
    raise errors.PlatformError(
        f"other planners stored versions during {EDIT_ATTEMPTS} attempts; nothing was changed",
        step="edit",
        peer="",
        effect_unknown=False,
    )
