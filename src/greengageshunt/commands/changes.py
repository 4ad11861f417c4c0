"""Changes of the stored configuration, with optimistic concurrency control."""

import dataclasses
from collections import abc
from typing import Any

from returns import pipeline, result

from greengageshunt import errors, model
from greengageshunt.commands import command, vms
from greengageshunt.configuration import difference, pointer, state

# Attempts to store a change while other planners store versions in between.
MAX_EDIT_ATTEMPTS = 5

Change = abc.Callable[[model.Configuration], result.Result[model.Configuration, str]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class CurrentConfiguration:
    """The newest stored configuration.

    Attributes:
        stored: Pointer row, or None before the first version.
        configuration: Configuration; empty, with version 0, before the first version.
    """

    stored: pointer.StoredPointer | None
    configuration: model.Configuration


async def read_current(platform: Any) -> CurrentConfiguration:
    """Return the newest stored configuration.

    Raises:
        PlatformError: The platform did not answer.
        ValueError: The stored data is invalid.
    """
    stored = await pointer.read_pointer(platform)
    if stored is None:
        return CurrentConfiguration(stored=None, configuration=state.EMPTY_CONFIGURATION)
    return CurrentConfiguration(
        stored=stored, configuration=await pointer.load_configuration(platform, stored.value)
    )


async def changes_since(
    platform: Any, current: CurrentConfiguration, version: int
) -> tuple[difference.Change, ...] | None:
    """Return what changed since a version, or None if that version is no longer stored."""
    if version == 0:
        return difference.compare(state.EMPTY_CONFIGURATION, current.configuration)
    earlier = current.stored.value.pointer_to(version) if current.stored else None
    if earlier is None:
        return None
    before = await pointer.load_configuration(platform, earlier)
    return difference.compare(before, current.configuration)


def format_lines(changes: abc.Iterable[difference.Change]) -> list[str]:
    """Return one line for each change."""
    return [f"  {change}" for change in changes]


def to_documents(changes: abc.Iterable[difference.Change]) -> list[dict[str, Any]]:
    """Return changes for a JSON document."""
    return [dataclasses.asdict(change) for change in changes]


async def wait_for_version(
    context: command.Context, version: int, members: abc.Sequence[model.Member]
) -> command.Outcome:
    """Wait until a version is in force everywhere, and return the outcome."""
    description = f"version {version}"
    rollout = await vms.wait_in_force(
        context, members, lambda vm_status: vm_status.version >= version, description
    )
    outcome = vms.rollout_outcome(rollout, description)
    return dataclasses.replace(outcome, document={"version": version, **outcome.document})


async def edit(context: command.Context, change: Change) -> command.Outcome:
    """Apply a change to the newest configuration, store it and wait until it is in force.

    If another planner stores a version in between, the change is applied again to
    that version, so that no planner's change is lost.

    Raises:
        PlatformError: The platform did not respond, or other planners stored a version
            during each attempt.
    """
    platform = context.platform
    members = await platform.list_vms()
    for _ in range(MAX_EDIT_ATTEMPTS):
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
        f"other planners stored versions during {MAX_EDIT_ATTEMPTS} attempts; nothing was changed",
        step="edit",
        peer="",
        effect_unknown=False,
    )
