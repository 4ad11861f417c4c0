"""Subcommands ``group status|promote`` and ``target drain|undrain``."""

import argparse
import asyncio
import dataclasses
import time
from collections import abc
from typing import Any

from returns import pipeline, result

from greengageshunt import application, codec, errors, model
from greengageshunt.commands import command, vms
from greengageshunt.configuration import status
from greengageshunt.stores import polling, writes

# Attempts to write a group row while other writers change it in between.
MAX_EDIT_ATTEMPTS = 5

Change = abc.Callable[[model.GroupRecord], result.Result[model.GroupRecord, str]]


async def _read_records(platform: Any) -> dict[str, tuple[model.GroupRecord, str]]:
    """Return the record of each group and the entity tag of its row, by group."""
    rows = await platform.list_rows(polling.GROUP_ROW_PREFIX)
    records = ((codec.from_plain(row.value, model.GroupRecord), row.etag) for row in rows)
    return {record.group: (record, etag) for record, etag in records}


async def _edit(platform: Any, group: str, change: Change) -> result.Result[model.GroupRecord, str]:
    """Change a group row; if another writer changed it in between, apply the change again."""
    for _ in range(MAX_EDIT_ATTEMPTS):
        records = await _read_records(platform)
        if group not in records:
            return result.Failure(f"there is no group {group!r}")
        record, etag = records[group]
        changed = change(record)
        if not pipeline.is_successful(changed) or changed.unwrap() == record:
            return changed
        key = f"{polling.GROUP_ROW_PREFIX}{group}"
        value = codec.to_plain(changed.unwrap())
        written = await writes.write_row(platform, key, value, etag)
        if pipeline.is_successful(written):
            return changed
    raise errors.PlatformError(
        f"the row of group {group!r} changed during {MAX_EDIT_ATTEMPTS} attempts",
        step="edit",
        peer="",
        effect_unknown=False,
    )


def _has_record(vm_status: status.VmStatus, record: model.GroupRecord) -> bool:
    """Return whether an entry VM has adopted a group record, or a newer one."""
    return any(
        adopted.group == record.group and (adopted.term, adopted.revision) >= record.order
        for adopted in vm_status.groups
    )


def _uses_no_draining_primary(vm_status: status.VmStatus, record: model.GroupRecord) -> bool:
    """Return whether the primary that an entry VM uses for the group is not draining."""
    return not any(
        adopted.group == record.group and adopted.primary in record.draining
        for adopted in vm_status.groups
    )


async def _find_group(platform: Any, target: str) -> str:
    for record, _ in (await _read_records(platform)).values():
        if record.target(target):
            return record.group
    return ""


def _with_target_draining(
    record: model.GroupRecord, target: str
) -> result.Result[model.GroupRecord, str]:
    if target in record.draining:
        return result.Success(record)
    others = {other.name for other in record.targets} - {target, *record.draining}
    if not others:
        return result.Failure(f"{record.group} has no other target that takes work")
    if target == record.requested_primary:
        return result.Failure(f"{target} is requested as the primary of {record.group}")
    return result.Success(record.changed(draining=(*record.draining, target)))


def _with_target_undrained(
    record: model.GroupRecord, target: str
) -> result.Result[model.GroupRecord, str]:
    if target not in record.draining:
        return result.Success(record)
    still_draining = tuple(name for name in record.draining if name != target)
    return result.Success(record.changed(draining=still_draining))


async def _change_target(
    context: command.Context,
    change: abc.Callable[[model.GroupRecord, str], result.Result[model.GroupRecord, str]],
    target_state: str,
) -> command.Outcome:
    target = context.arguments.target
    members = await context.platform.list_vms()
    group = await _find_group(context.platform, target)
    if not group:
        return command.refused(f"there is no target {target!r}")
    changed = await _edit(context.platform, group, lambda record: change(record, target))
    if not pipeline.is_successful(changed):
        return command.refused(changed.failure())
    record = changed.unwrap()
    description = f"{target}: {target_state}"
    rollout = await vms.wait_in_force(
        context,
        members,
        lambda vm_status: (
            _has_record(vm_status, record) and _uses_no_draining_primary(vm_status, record)
        ),
        description,
    )
    outcome = vms.rollout_outcome(rollout, description)
    document = {"target": target, "draining": list(record.draining), **outcome.document}
    return dataclasses.replace(outcome, document=document)


async def drain(context: command.Context) -> command.Outcome:
    """Drain a target: it gets no new work, and the failover daemons replace a primary."""
    return await _change_target(context, _with_target_draining, "draining")


async def undrain(context: command.Context) -> command.Outcome:
    """End the drain of a target, so that it gets work again."""
    return await _change_target(context, _with_target_undrained, "taking work")


def _with_primary_requested(
    record: model.GroupRecord, target: str
) -> result.Result[model.GroupRecord, str]:
    if record.target(target) is None:
        return result.Failure(f"{record.group} has no target {target!r}")
    if target in record.draining:
        return result.Failure(f"{target} is draining; undrain it first")
    requested = "" if target == record.primary else target
    if requested == record.requested_primary:
        return result.Success(record)
    return result.Success(record.changed(requested_primary=requested))


async def promote(context: command.Context) -> command.Outcome:
    """Request a change of primary from the failover daemons and wait until it is done."""
    group, target = context.arguments.group, context.arguments.target
    changed = await _edit(
        context.platform, group, lambda record: _with_primary_requested(record, target)
    )
    if not pipeline.is_successful(changed):
        return command.refused(changed.failure())
    context.progress(f"{target} is requested as the primary of {group}")
    deadline = time.monotonic() + context.arguments.wait
    while True:
        record, _ = (await _read_records(context.platform))[group]
        document = {"group": group, "primary": record.primary, "term": record.term}
        if record.primary == target:
            line = f"{target} is the primary of {group} in term {record.term}"
            return command.Outcome(exit=command.Exit.DONE, lines=(line,), document=document)
        if time.monotonic() >= deadline:
            line = f"{target} is requested; {record.primary} is still the primary of {group}"
            return command.Outcome(
                exit=command.Exit.NOT_EVERYWHERE, lines=(line,), document=document
            )
        await asyncio.sleep(vms.POLL_INTERVAL)


async def show_status(context: command.Context) -> command.Outcome:
    """Show the stored groups and the entry VMs that have not adopted their newest records."""
    records = await _read_records(context.platform)
    statuses = await vms.fetch_statuses(await context.platform.list_vms())
    lines = []
    documents = []
    for record, _ in records.values():
        lagging_vms = [
            vm
            for vm, vm_status in statuses.items()
            if vm_status is None or not _has_record(vm_status, record)
        ]
        lines.append(
            f"{record.group}: term {record.term}, primary {record.primary}"
            + (f", requested {record.requested_primary}" if record.requested_primary else "")
        )
        lines += [_target_line(record, target) for target in record.targets]
        if lagging_vms:
            lines.append(f"  not known to: {', '.join(lagging_vms)}")
        documents.append({**codec.to_plain(record), "not_known_to": lagging_vms})
    return command.Outcome(
        exit=command.Exit.DONE,
        lines=tuple(lines) or ("the platform has no group",),
        document={"groups": documents},
    )


def _target_line(record: model.GroupRecord, target: model.Target) -> str:
    role = "primary" if target.name == record.primary else "replica"
    draining = ", draining" if target.name in record.draining else ""
    return f"  {target.name} ({target.failure_domain}): {role}{draining}"


def _add_target_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("target", help="name of the target")
    command.add_wait_argument(parser)


def _add_promote_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("group", help="name of the group")
    parser.add_argument("target", help="target that becomes the primary")
    command.add_wait_argument(parser)


def setup(app: application.Application) -> None:
    """Register the subcommands."""
    command.add(
        app,
        command.Command(
            group="group",
            name="status",
            help="Show the groups, their targets, and the entry VMs that lag behind.",
            examples=("group status",),
            run=show_status,
        ),
    )
    command.add(
        app,
        command.Command(
            group="group",
            name="promote",
            help="Ask the failover daemons to make a target the primary of its group.",
            examples=("group promote order-desk-1 order-desk-1-b",),
            run=promote,
            add_arguments=_add_promote_arguments,
        ),
    )
    command.add(
        app,
        command.Command(
            group="target",
            name="drain",
            help="Give a target no new work, before it leaves; a primary is replaced first.",
            examples=("target drain order-desk-1-c",),
            run=drain,
            add_arguments=_add_target_arguments,
        ),
    )
    command.add(
        app,
        command.Command(
            group="target",
            name="undrain",
            help="Give a drained target work again.",
            examples=("target undrain order-desk-1-c",),
            run=undrain,
            add_arguments=_add_target_arguments,
        ),
    )
