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

EDIT_ATTEMPTS = 5

Change = abc.Callable[[model.GroupRecord], result.Result[model.GroupRecord, str]]


async def _records(platform: Any) -> dict[str, tuple[model.GroupRecord, str]]:
    """Return each group's record and the version of its row."""
    rows = await platform.list_rows(polling.GROUP_ROW_PREFIX)
    found = ((codec.from_plain(row.value, model.GroupRecord), row.etag) for row in rows)
    return {record.group: (record, etag) for record, etag in found}


async def _edit(platform: Any, group: str, change: Change) -> result.Result[model.GroupRecord, str]:
    """Change a group row; a change by another writer in between is kept."""
    for _ in range(EDIT_ATTEMPTS):
        records = await _records(platform)
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
        f"the row of group {group!r} changed during {EDIT_ATTEMPTS} attempts",
        step="edit",
        peer="",
        effect_unknown=False,
    )


def _knows(found: status.VmStatus, record: model.GroupRecord) -> bool:
    return any(
        known.group == record.group and (known.term, known.revision) >= record.order
        for known in found.groups
    )


def _obeys(found: status.VmStatus, record: model.GroupRecord) -> bool:
    """Return whether the primary that an entry VM knows is not draining."""
    return not any(
        known.group == record.group and known.primary in record.draining for known in found.groups
    )


async def _group_of(platform: Any, target: str) -> str:
    for record, _ in (await _records(platform)).values():
        if record.target(target):
            return record.group
    return ""


def _drained(record: model.GroupRecord, target: str) -> result.Result[model.GroupRecord, str]:
    if target in record.draining:
        return result.Success(record)
    others = {other.name for other in record.targets} - {target, *record.draining}
    if not others:
        return result.Failure(f"{record.group} has no other target that takes work")
    if target == record.requested_primary:
        return result.Failure(f"{target} is requested as the primary of {record.group}")
    return result.Success(record.changed(draining=(*record.draining, target)))


def _undrained(record: model.GroupRecord, target: str) -> result.Result[model.GroupRecord, str]:
    if target not in record.draining:
        return result.Success(record)
    rest = tuple(name for name in record.draining if name != target)
    return result.Success(record.changed(draining=rest))


async def _change_target(
    context: command.Context,
    change: abc.Callable[[model.GroupRecord, str], result.Result[model.GroupRecord, str]],
    done: str,
) -> command.Outcome:
    target = context.arguments.target
    members = await context.platform.list_vms()
    group = await _group_of(context.platform, target)
    if not group:
        return command.refused(f"there is no target {target!r}")
    changed = await _edit(context.platform, group, lambda record: change(record, target))
    if not pipeline.is_successful(changed):
        return command.refused(changed.failure())
    record = changed.unwrap()
    what = f"{target}: {done}"
    force = await vms.wait_in_force(
        context, members, lambda found: _knows(found, record) and _obeys(found, record), what
    )
    outcome = vms.describe(force, what)
    document = {"target": target, "draining": list(record.draining), **outcome.document}
    return dataclasses.replace(outcome, document=document)


async def drain(context: command.Context) -> command.Outcome:
    """Give a target no new work; the failover daemons replace a primary."""
    return await _change_target(context, _drained, "draining")


async def undrain(context: command.Context) -> command.Outcome:
    """Give a target work again."""
    return await _change_target(context, _undrained, "taking work")


def _requested(record: model.GroupRecord, target: str) -> result.Result[model.GroupRecord, str]:
    if record.target(target) is None:
        return result.Failure(f"{record.group} has no target {target!r}")
    if target in record.draining:
        return result.Failure(f"{target} is draining; undrain it first")
    requested = "" if target == record.primary else target
    if requested == record.requested_primary:
        return result.Success(record)
    return result.Success(record.changed(requested_primary=requested))


async def promote(context: command.Context) -> command.Outcome:
    """Ask the failover daemons for a change of primary and wait for it."""
    group, target = context.arguments.group, context.arguments.target
    changed = await _edit(context.platform, group, lambda record: _requested(record, target))
    if not pipeline.is_successful(changed):
        return command.refused(changed.failure())
    context.progress(f"{target} is requested as the primary of {group}")
    deadline = time.monotonic() + context.arguments.wait
    while True:
        record, _ = (await _records(context.platform))[group]
        document = {"group": group, "primary": record.primary, "term": record.term}
        if record.primary == target:
            line = f"{target} is the primary of {group} in term {record.term}"
            return command.Outcome(exit=command.Exit.DONE, lines=(line,), document=document)
        if time.monotonic() >= deadline:
            line = f"{target} is requested; {record.primary} is still the primary of {group}"
            return command.Outcome(
                exit=command.Exit.NOT_EVERYWHERE, lines=(line,), document=document
            )
        await asyncio.sleep(vms.ROUND_INTERVAL)


async def show_status(context: command.Context) -> command.Outcome:
    """Show the groups as stored and as the entry VMs know them."""
    records = await _records(context.platform)
    statuses = await vms.gather(await context.platform.list_vms())
    lines = []
    documents = []
    for record, _ in records.values():
        behind = [
            vm for vm, found in statuses.items() if found is None or not _knows(found, record)
        ]
        lines.append(
            f"{record.group}: term {record.term}, primary {record.primary}"
            + (f", requested {record.requested_primary}" if record.requested_primary else "")
        )
        lines += [_target_line(record, target) for target in record.targets]
        if behind:
            lines.append(f"  not known to: {', '.join(behind)}")
        documents.append({**codec.to_plain(record), "not_known_to": behind})
    return command.Outcome(
        exit=command.Exit.DONE,
        lines=tuple(lines) or ("the platform has no group",),
        document={"groups": documents},
    )


def _target_line(record: model.GroupRecord, target: model.Target) -> str:
    role = "primary" if target.name == record.primary else "replica"
    draining = ", draining" if target.name in record.draining else ""
    return f"  {target.name} ({target.failure_domain}): {role}{draining}"


def _add_target(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("target", help="name of the target")
    command.add_wait(parser)


def _add_promote(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("group", help="name of the group")
    parser.add_argument("target", help="target that becomes the primary")
    command.add_wait(parser)


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
            add_arguments=_add_promote,
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
            add_arguments=_add_target,
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
            add_arguments=_add_target,
        ),
    )
