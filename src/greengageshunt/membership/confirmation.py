"""Confirmation: when this entry VM last knew that nothing newer was in force.

An entry VM that neither the platform nor a majority of the entry VMs has
confirmed for too long may miss a withdrawn key or a moved share.
"""

import math
from collections import abc

from greengageshunt import application
from greengageshunt.peers import messages


def majority_confirmed_at(peers: abc.Iterable[float], member_count: int, now: float) -> float:
    """Return the time at which a majority, the own entry VM included, confirmed.

    Args:
        peers: Monotonic seconds at which the last confirmed request was sent to
            each peer.
        member_count: Number of listed entry VMs.
        now: Monotonic seconds.

    Returns:
        Monotonic seconds, or negative infinity without a majority.
    """
    newest = sorted([now, *peers], reverse=True)
    majority = member_count // 2 + 1
    return newest[majority - 1] if len(newest) >= majority else -math.inf


class Confirmation:
    """Remembers when the platform and each peer last confirmed the configuration."""

    def __init__(self, *, app: application.Application) -> None:
        self._view = app.part("membership", "view")
        self._configuration = app.part("configuration", "state")
        self._platform_at = -math.inf
        self._peers: dict[str, float] = {}
        app.events.connect("configuration-read", self._note_platform)
        app.events.connect("peer-answered", self._note_peer)

    def confirmed_at(self, now: float) -> float:
        """Return the monotonic seconds at which nothing newer was in force."""
        listed = {member.vm for member in self._view.peers}
        peers = [sent_at for vm, sent_at in self._peers.items() if vm in listed]
        majority_at = majority_confirmed_at(peers, len(self._view.members), now)
        return max(self._platform_at, majority_at)

    def _note_platform(self, sent_at: float) -> None:
        self._platform_at = max(self._platform_at, sent_at)

    def _note_peer(self, answered: messages.PeerAnswered) -> None:
        # A peer with a newer version contradicts the own one instead of confirming it.
        if answered.ack.configuration_version <= self._configuration.version:
            self._peers[answered.ack.vm] = answered.sent_at


def setup(app: application.Application) -> None:
    """Register the confirmation."""
    app.add_part("membership", "confirmation", lambda app: Confirmation(app=app))
