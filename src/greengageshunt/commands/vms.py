"""Status of the entry VMs, and on which of them a change is in force."""

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

# Seconds for the status response of an entry VM, and for the platform's list of entry VMs.
STATUS_TIMEOUT = 1.0

# Seconds between two rounds of status requests.
POLL_INTERVAL = 0.2

# Returns whether a change is in force on an entry VM.
IsInForce = abc.Callable[[status.VmStatus], bool]

Statuses = abc.Mapping[str, status.VmStatus | None]


@dataclasses.dataclass(frozen=True, kw_only=True)
class LaggingVm:
    """An entry VM where a change is not in force.

    Attributes:
        vm: The entry VM.
        reason: What its status shows.
    """

    vm: str
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rollout:
    """On which entry VMs a change is in force.

    Attributes:
        accepted: Whether the change was in force on a majority of the listed entry VMs at one
            time.
        in_force: Names of the entry VMs where it is in force.
        missing: The listed entry VMs where it is not in force.
        seconds: Seconds since the wait began.
    """

    accepted: bool
    in_force: tuple[str, ...]
    missing: tuple[LaggingVm, ...]
    seconds: float

    @property
    def everywhere(self) -> bool:
        """Whether there are listed entry VMs and the change is in force on all."""
        return bool(self.in_force) and not self.missing


async def fetch_statuses(members: abc.Sequence[model.Member]) -> Statuses:
    """Return the status of each entry VM by name, or None if it did not respond."""
    timeout = aiohttp.ClientTimeout(total=STATUS_TIMEOUT)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        responses = await asyncio.gather(*(_fetch_status(session, member) for member in members))
    return {member.vm: response for member, response in zip(members, responses, strict=True)}


async def fetch_members(address: str) -> tuple[model.Member, ...]:
    """Return the entry VMs listed by the proxy at an HTTP address, including itself.

    Replaces the platform's list while the platform does not respond.

    Raises:
        PeerError: The proxy did not respond with a status.
    """
    timeout = aiohttp.ClientTimeout(total=STATUS_TIMEOUT)
    proxy = model.Member(vm="", failure_domain="", peer_address="", http_address=address)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        vm_status = await _fetch_status(session, proxy)
    if vm_status is None:
        raise errors.PeerError("no status response", step=status.PATH, peer=address, sent=True)
    return tuple(
        dataclasses.replace(member, http_address=address) if member.vm == vm_status.vm else member
        for member in vm_status.members
    )


async def _fetch_status(
    session: aiohttp.ClientSession, member: model.Member
) -> status.VmStatus | None:
    if not member.http_address:
        return None
    url = f"http://{member.http_address}{status.PATH}"
    try:
        async with session.get(url) as response:
            return codec.from_json(await response.read(), status.VmStatus)
    except (TimeoutError, aiohttp.ClientError, ValueError):
        return None


def is_accepted(earlier: Statuses, later: Statuses, is_in_force: IsInForce) -> bool:
    """Return whether a change was in force on a majority at one time between two rounds.

    The second round began after the first one ended. If the change is in force on an
    entry VM in both rounds, and it did not restart, the change was in force on it in
    between. A majority of the platform's list and of the list of each entry VM that
    responded is required, because a list may be out of date.

    Args:
        earlier: Statuses of the first round.
        later: Statuses of the second round.
        is_in_force: Whether the change is in force, by status.
    """
    in_force_throughout = {
        vm
        for vm, vm_status in later.items()
        if vm_status is not None
        and is_in_force(vm_status)
        and (earlier_status := earlier.get(vm)) is not None
        and is_in_force(earlier_status)
        and earlier_status.incarnation == vm_status.incarnation
    }
    lists = {frozenset(later)}
    lists |= {
        frozenset(member.vm for member in vm_status.members)
        for vm_status in later.values()
        if vm_status and vm_status.members
    }
    return all(
        len(in_force_throughout & listed) >= confirmation.majority_size(len(listed))
        for listed in lists
    )


def _reason(vm_status: status.VmStatus | None) -> str:
    if vm_status is None:
        return "no answer"
    if not vm_status.confirmed:
        return f"version {vm_status.version}, not confirmed, serves open routes only"
    return f"version {vm_status.version}"


def assess_rollout(
    earlier: Statuses, later: Statuses, is_in_force: IsInForce, seconds: float
) -> Rollout:
    """Return where a change is in force after two rounds."""
    in_force = tuple(
        vm for vm, vm_status in later.items() if vm_status is not None and is_in_force(vm_status)
    )
    missing = tuple(
        LaggingVm(vm=vm, reason=_reason(vm_status))
        for vm, vm_status in later.items()
        if vm not in in_force
    )
    accepted = is_accepted(earlier, later, is_in_force)
    return Rollout(accepted=accepted, in_force=in_force, missing=missing, seconds=seconds)


async def wait_in_force(
    context: command.Context,
    members: abc.Sequence[model.Member],
    is_in_force: IsInForce,
    description: str,
) -> Rollout:
    """Wait until a change is in force on all listed entry VMs, or ``--wait`` seconds.

    Args:
        context: Context of the subcommand.
        members: Entry VMs, listed before the change was stored.
        is_in_force: Whether the change is in force, by status.
        description: The change, for progress messages.
    """
    started_at = time.monotonic()
    earlier: Statuses = {}
    printed_line = ""
    while True:
        members = await _refresh_members(context.platform, members)
        later = await fetch_statuses(members)
        elapsed = time.monotonic() - started_at
        rollout = assess_rollout(earlier, later, is_in_force, round(elapsed, 3))
        line = f"{description}: in force on {len(rollout.in_force)} of {len(members)} entry VMs"
        if line != printed_line:
            context.progress(line)
            printed_line = line
        if (rollout.everywhere and rollout.accepted) or elapsed >= context.arguments.wait:
            return rollout
        earlier = later
        await asyncio.sleep(POLL_INTERVAL)


async def _refresh_members(
    platform: Any, members: abc.Sequence[model.Member]
) -> abc.Sequence[model.Member]:
    try:
        async with asyncio.timeout(STATUS_TIMEOUT):
            return await platform.list_vms() or members
    except (TimeoutError, errors.PlatformError):
        return members


def rollout_outcome(rollout: Rollout, description: str) -> command.Outcome:
    """Return the outcome of a change that was stored."""
    document = {
        "accepted": rollout.accepted,
        "seconds": rollout.seconds,
        "in_force": list(rollout.in_force),
        "not_in_force": [dataclasses.asdict(missing) for missing in rollout.missing],
    }
    if rollout.everywhere:
        lines = [f"{description} is in force on all {len(rollout.in_force)} entry VMs"]
        return command.Outcome(exit=command.Exit.DONE, lines=tuple(lines), document=document)
    accepted = "accepted by a majority" if rollout.accepted else "not accepted by a majority yet"
    lines = [f"{description} is stored, {accepted}, and not in force everywhere:"]
    lines += [f"  {missing.vm}: {missing.reason}" for missing in rollout.missing]
    if not rollout.in_force and not rollout.missing:
        lines.append("  the platform lists no entry VM")
    return command.Outcome(exit=command.Exit.NOT_EVERYWHERE, lines=tuple(lines), document=document)
