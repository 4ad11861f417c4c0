"""What the entry VMs say of themselves, and whether a change is in force there."""

import asyncio
import dataclasses
import time
from collections import abc
from typing import Any

import aiohttp

from greengageshunt import codec, errors, model
from greengageshunt.commands import command
from greengageshunt.configuration import status
from greengageshunt.membership import confirmation

STATUS_TIMEOUT = 1.0  # seconds
ROUND_INTERVAL = 0.2  # seconds

# Returns whether a change is in force on an entry VM.
Holds = abc.Callable[[status.VmStatus], bool]

Statuses = abc.Mapping[str, status.VmStatus | None]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Missing:
    """An entry VM where a change is not in force.

    Attributes:
        vm: The entry VM.
        reason: What is known of it.
    """

    vm: str
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Force:
    """Where a change is in force.

    Attributes:
        accepted: Whether a majority of the listed entry VMs had it at one time.
        in_force: Names of the entry VMs where it is in force.
        missing: The other listed entry VMs.
        seconds: Seconds since the wait began.
    """

    accepted: bool
    in_force: tuple[str, ...]
    missing: tuple[Missing, ...]
    seconds: float

    @property
    def everywhere(self) -> bool:
        """Whether there are listed entry VMs and the change is in force on all."""
        return bool(self.in_force) and not self.missing


async def gather(members: abc.Sequence[model.Member]) -> Statuses:
    """Return the status of each entry VM by name, None for one without an answer."""
    timeout = aiohttp.ClientTimeout(total=STATUS_TIMEOUT)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        found = await asyncio.gather(*(_get(session, member) for member in members))
    return {member.vm: answer for member, answer in zip(members, found, strict=True)}


async def members_at(address: str) -> tuple[model.Member, ...]:
    """Return the entry VMs that the proxy at an HTTP address has listed, itself included.

    For when the platform does not answer.
    """
    timeout = aiohttp.ClientTimeout(total=STATUS_TIMEOUT)
    asked = model.Member(vm="", failure_domain="", peer_address="", http_address=address)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        found = await _get(session, asked)
    if found is None:
        raise errors.PeerError("no status", step=status.PATH, peer=address, sent=True)
    return tuple(
        dataclasses.replace(member, http_address=address) if member.vm == found.vm else member
        for member in found.members
    )


async def _get(session: aiohttp.ClientSession, member: model.Member) -> status.VmStatus | None:
    if not member.http_address:
        return None
    url = f"http://{member.http_address}{status.PATH}"
    try:
        async with session.get(url) as response:
            return codec.from_json(await response.read(), status.VmStatus)
    except (TimeoutError, aiohttp.ClientError, ValueError):
        return None


def is_accepted(earlier: Statuses, later: Statuses, holds: Holds) -> bool:
    """Return whether a majority held a change at one time between two rounds.

    The second round began after the first one ended. An entry VM that held the
    change in both without a restart held it in between. The majority must be
    one of the platform's list and of the list of each entry VM that answered,
    because a list may lag behind.

    Args:
        earlier: Statuses of the first round.
        later: Statuses of the second round.
        holds: Whether the change is in force, by status.
    """
    held = {
        vm
        for vm, found in later.items()
        if found is not None
        and holds(found)
        and (before := earlier.get(vm)) is not None
        and holds(before)
        and before.incarnation == found.incarnation
    }
    lists = {frozenset(later)}
    lists |= {
        frozenset(member.vm for member in found.members)
        for found in later.values()
        if found and found.members
    }
    return all(len(held & listed) >= confirmation.majority_size(len(listed)) for listed in lists)


def _reason(found: status.VmStatus | None) -> str:
    if found is None:
        return "no answer"
    if not found.confirmed:
        return f"version {found.version}, not confirmed, serves open routes only"
    return f"version {found.version}"


def assess(earlier: Statuses, later: Statuses, holds: Holds, seconds: float) -> Force:
    """Return where a change is in force after two rounds."""
    in_force = tuple(vm for vm, found in later.items() if found is not None and holds(found))
    missing = tuple(
        Missing(vm=vm, reason=_reason(found)) for vm, found in later.items() if vm not in in_force
    )
    accepted = is_accepted(earlier, later, holds)
    return Force(accepted=accepted, in_force=in_force, missing=missing, seconds=seconds)


async def wait_in_force(
    context: command.Context, members: abc.Sequence[model.Member], holds: Holds, what: str
) -> Force:
    """Wait until a change is in force on all listed entry VMs or ``--wait`` has passed.

    Args:
        context: Context of the subcommand.
        members: Entry VMs, listed before the change was stored.
        holds: Whether the change is in force, by status.
        what: The change, for progress.
    """
    began = time.monotonic()
    earlier: Statuses = {}
    shown = ""
    while True:
        members = await _relist(context.platform, members)
        later = await gather(members)
        elapsed = time.monotonic() - began
        force = assess(earlier, later, holds, round(elapsed, 3))
        line = f"{what}: in force on {len(force.in_force)} of {len(members)} entry VMs"
        if line != shown:
            context.progress(line)
            shown = line
        if (force.everywhere and force.accepted) or elapsed >= context.arguments.wait:
            return force
        earlier = later
        await asyncio.sleep(ROUND_INTERVAL)


async def _relist(platform: Any, members: abc.Sequence[model.Member]) -> abc.Sequence[model.Member]:
    try:
        async with asyncio.timeout(STATUS_TIMEOUT):
            return await platform.list_vms() or members
    except (TimeoutError, errors.PlatformError):
        return members


def describe(force: Force, what: str) -> command.Outcome:
    """Return the outcome of a change that was stored."""
    document = {
        "accepted": force.accepted,
        "seconds": force.seconds,
        "in_force": list(force.in_force),
        "not_in_force": [dataclasses.asdict(missing) for missing in force.missing],
    }
    if force.everywhere:
        lines = [f"{what} is in force on all {len(force.in_force)} entry VMs"]
        return command.Outcome(exit=command.Exit.DONE, lines=tuple(lines), document=document)
    accepted = "accepted by a majority" if force.accepted else "not accepted by a majority yet"
    lines = [f"{what} is stored, {accepted}, and not in force everywhere:"]
    lines += [f"  {missing.vm}: {missing.reason}" for missing in force.missing]
    if not force.in_force and not force.missing:
        lines.append("  the platform lists no entry VM")
    return command.Outcome(exit=command.Exit.NOT_EVERYWHERE, lines=tuple(lines), document=document)
