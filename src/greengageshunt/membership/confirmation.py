"""Confirmation that this entry VM has the newest configuration in force.

The platform or a majority of the entry VMs confirms the configuration. An entry VM whose last
confirmation is too old may have missed a withdrawn key or a moved share. Where only a
few hubs are fully linked, the majority is that of the hubs to which an entry VM is linked. The
argument for the bound is in docs/decisions/0009-confirmation-of-keys.md.
"""

import logging
import math
from collections import abc
from typing import Any

from greengageshunt import application, config, logs

logger = logging.getLogger(__name__)

# Seconds for which a confirmation is valid. A withdrawn key must have no effect after 5 s; the
# difference covers the time from the check of the key to the start of the statement.
KEY_CONFIRMATION_LIFETIME = 4.0


def majority_size(member_count: int) -> int:
    """Return the number of entry VMs that form a majority."""
    return member_count // 2 + 1


def majority_confirmed_at(peers: abc.Iterable[float], member_count: int, now: float) -> float:
    """Return the time as of which a majority, including this entry VM, has confirmed.

    Args:
        peers: For each peer, monotonic seconds at which the last request that it
            answered with a confirmation was sent.
        member_count: Number of listed entry VMs.
        now: Monotonic seconds.

    Returns:
        Monotonic seconds, or negative infinity without a majority.
    """
    newest = sorted([now, *peers], reverse=True)
    needed = majority_size(member_count)
    return newest[needed - 1] if len(newest) >= needed else -math.inf


class Confirmation:
    """Records when the platform and each peer last confirmed the configuration.

    An entry VM that restarts loses the version that it had adopted. A version that was
    accepted because enough entry VMs had adopted it may then lack one of them. Therefore an
    entry VM has not *caught up* at its start: it doesn't rely on its peers' confirmations, and
    its own confirmations don't count for them. It catches up when the platform reports
    nothing newer, or when peers that have caught up and are a majority of the listed entry VMs even
    without this one report nothing newer.
    """

    def __init__(
        self, *, app: application.Application, limit: float = KEY_CONFIRMATION_LIFETIME
    ) -> None:
        self._limit = limit
        self._view = app.part("membership", "view")
        self._configuration = app.part("configuration", "state")
        self._platform_at = -math.inf
        self._peers: dict[str, float] = {}
        self._caught_up = False
        app.events.connect("configuration-read", self._note_platform)
        app.part("peers", "links").add_heartbeat_value(
            "confirmation", self._report, self._note_peer
        )

    @property
    def caught_up(self) -> bool:
        """Whether this entry VM has read all accepted versions since its start."""
        return self._caught_up

    def confirmed_at(self, now: float) -> float:
        """Return the monotonic seconds as of which no newer version was in force."""
        if not self._caught_up:
            return -math.inf
        return max(self._platform_at, self._majority_at(now))

    def valid_until(self, now: float) -> float:
        """Return the monotonic seconds until which the known keys are valid."""
        return self.confirmed_at(now) + self._limit

    def _majority_at(self, now: float) -> float:
        if not self._view.list_read:
            return -math.inf
        return majority_confirmed_at(self._listed_peers(), 1 + len(self._view.neighbours), now)

    def _listed_peers(self) -> list[float]:
        listed = {member.vm for member in self._view.neighbours}
        return [sent_at for vm, sent_at in self._peers.items() if vm in listed]

    def _report(self) -> dict[str, Any]:
        return {"version": self._configuration.version, "settled": self._caught_up}

    def _note_platform(self, sent_at: float) -> None:
        self._platform_at = max(self._platform_at, sent_at)
        if self._configuration.version:
            self._mark_caught_up("platform")

    def _note_peer(self, vm: str, value: Any, sent_at: float) -> None:
        # A peer with a newer version does not confirm the own version.
        if not value["settled"] or value["version"] > self._configuration.version:
            return
        self._peers[vm] = max(sent_at, self._peers.get(vm, -math.inf))
        needed = majority_size(1 + len(self._view.neighbours))
        if self._view.list_read and len(self._listed_peers()) >= needed:
            self._mark_caught_up("peers")

    def _mark_caught_up(self, source: str) -> None:
        if self._caught_up:
            return
        self._caught_up = True
        logs.log_decision(logger, "settle", version=self._configuration.version, source=source)


def setup(app: application.Application) -> None:
    """Register the confirmation and its time limit."""
    app.add_setting(
        config.Setting(
            key="confirmation.limit",
            kind=float,
            default=KEY_CONFIRMATION_LIFETIME,
            doc="Seconds for which a confirmation of the keys by the platform or peers holds.",
            check=config.is_positive,
        )
    )
    app.add_part(
        "membership",
        "confirmation",
        lambda app: Confirmation(app=app, limit=app.settings["confirmation.limit"]),
    )
