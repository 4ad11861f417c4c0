"""Subcommand ``fleet status``."""

import argparse

from greengageshunt import application, codec, config, errors, model
from greengageshunt.commands import command, vms
from greengageshunt.configuration import status


def _row(member: model.Member, found: status.VmStatus | None) -> str:
    start = f"{member.vm:<12} {member.failure_domain:<14}"
    if found is None:
        return f"{start} {'-':>7}  no answer" + (", leaving" if member.leaving else "")
    age = "never" if found.confirmation_age is None else f"{found.confirmation_age:.1f} s ago"
    state = "serving" if found.confirmed else "open routes only"
    leaving = ", leaving" if found.leaving or member.leaving else ""
    return f"{start} {found.version:>7}  {state}, confirmed {age}{leaving}"


async def show_status(context: command.Context) -> command.Outcome:
    """Show the entry VMs."""
    address = context.arguments.at
    if address and config.is_address(address):
        raise errors.SettingsError(f"--at: expected {config.is_address(address)}")
    try:
        members = await vms.members_at(address) if address else await context.platform.list_vms()
    except errors.PeerError as error:
        return command.refused(f"{error.peer} does not answer")
    statuses = await vms.gather(members)
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
    answered = all(statuses.values())
    return command.Outcome(
        exit=command.Exit.DONE if answered else command.Exit.REFUSED,
        lines=tuple(lines),
        document={"vms": documents},
    )


def _add_at(parser: argparse.ArgumentParser) -> None:
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
            add_arguments=_add_at,
        ),
    )
