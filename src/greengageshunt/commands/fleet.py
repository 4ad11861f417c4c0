"""Subcommand ``fleet status``."""

from greengageshunt import application, codec, model
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
    members = await context.platform.list_vms()
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


def setup(app: application.Application) -> None:
    """Register the subcommand."""
    command.add(
        app,
        command.Command(
            group="fleet",
            name="status",
            help="Show each entry VM's version and confirmation; 1 if one does not answer.",
            examples=("fleet status", "--json fleet status"),
            run=show_status,
        ),
    )
