"""Subcommand ``fleet status``."""

import argparse

from greengageshunt import application, codec, config, errors, model
from greengageshunt.commands import command, vms
from greengageshunt.configuration import status


def _row(member: model.Member, vm_status: status.VmStatus | None) -> str:
    prefix = f"{member.vm:<12} {member.failure_domain:<14}"
    if vm_status is None:
        return f"{prefix} {'-':>7}  no answer" + (", leaving" if member.leaving else "")
    age = (
        "never" if vm_status.confirmation_age is None else f"{vm_status.confirmation_age:.1f} s ago"
    )
    state = "serving" if vm_status.confirmed else "open routes only"
    leaving = ", leaving" if vm_status.leaving or member.leaving else ""
    return f"{prefix} {vm_status.version:>7}  {state}, confirmed {age}{leaving}"


async def show_status(context: command.Context) -> command.Outcome:
    """Show the version and the confirmation of each entry VM."""
    address = context.arguments.at
    if address and config.is_address(address):
        raise errors.SettingsError(f"--at: expected {config.is_address(address)}")
    try:
        members = await vms.fetch_members(address) if address else await context.platform.list_vms()
    except errors.PeerError as error:
        return command.refused(f"{error.peer} does not answer")
    statuses = await vms.fetch_statuses(members)
    lines = [f"{'entry VM':<12} {'domain':<14} {'version':>7}  state"]
    lines += [_row(member, statuses[member.vm]) for member in members]
    documents = [
        {
            "vm": member.vm,
            "failure_domain": member.failure_domain,
            "leaving": member.leaving,
            "status": codec.to_plain(statuses[member.vm]) if statuses[member.vm] else None,
        }
        for member in members
    ]
    all_responded = all(statuses.values())
    return command.Outcome(
        exit=command.Exit.DONE if all_responded else command.Exit.REFUSED,
        lines=tuple(lines),
        document={"vms": documents},
    )


def _add_at_argument(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--at",
        default="",
        metavar="ADDRESS",
        help="take the list of entry VMs from the proxy at this HTTP address,"
        " when the platform does not answer",
    )


def setup(app: application.Application) -> None:
    """Register the subcommand."""
    command.add(
        app,
        command.Command(
            group="fleet",
            name="status",
            help="Show each entry VM's version and confirmation; 1 if one does not answer.",
            examples=("fleet status", "--json fleet status", "fleet status --at 10.0.1.11:7000"),
            run=show_status,
            add_arguments=_add_at_argument,
        ),
    )
