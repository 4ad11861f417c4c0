"""View of the members that one entry VM has: which are listed, live and linked."""

from greengageshunt import application, config, model
from greengageshunt import clock as clock_module
from greengageshunt.membership import topology

# Seconds without a response after which a peer counts as dead.
PEER_DEADLINE = 0.75

# Seconds since a peer's last response after which pauses of the own process no longer extend
# the peer's deadline. Without this limit, an entry VM under constant load, whose process pauses
# often, would never detect a dead peer.
MAX_EXTENDED_SILENCE = 3.0

# Factor by which the intervals of heartbeats and periodic work are longer on an entry VM that is
# no hub.
NON_HUB_INTERVAL_FACTOR = 2.0


class MemberView:
    """Records the listed entry VMs and when each peer last responded."""

    def __init__(
        self,
        *,
        me: model.Member,
        clock: clock_module.Clock = clock_module.monotonic,
        deadline: float = PEER_DEADLINE,
        sparse: bool = False,
    ) -> None:
        self._deadline = deadline
        self._sparse = sparse
        self._hubs: tuple[model.Member, ...] = (me,)
        self._neighbours: tuple[model.Member, ...] = ()
        self._me = me
        self._clock = clock
        self._members: dict[str, model.Member] = {me.vm: me}
        self._last_response: dict[str, float] = {}
        self._deadline_restarted_at: dict[str, float] = {}
        self._leaving: set[str] = set()
        self._list_read = False

    @property
    def list_read(self) -> bool:
        """Whether this process has read a list of entry VMs, from the platform or a peer.

        Before that, the own entry VM is the only known member, so that no majority
        can be determined.
        """
        return self._list_read

    @property
    def me(self) -> model.Member:
        """The own entry VM."""
        return self._me

    @property
    def members(self) -> tuple[model.Member, ...]:
        """All listed members, the own entry VM included."""
        return tuple(self._members.values())

    @property
    def peers(self) -> tuple[model.Member, ...]:
        """All listed members but the own entry VM."""
        return tuple(member for member in self.members if member.vm != self._me.vm)

    @property
    def hubs(self) -> tuple[model.Member, ...]:
        """Members that monitor all others; in a full mesh, these are all members."""
        return self._hubs

    @property
    def is_hub(self) -> bool:
        """Whether the own entry VM is a hub."""
        return self._me in self._hubs

    @property
    def neighbours(self) -> tuple[model.Member, ...]:
        """Peers to which the own entry VM keeps links."""
        return self._neighbours

    @property
    def full_mesh(self) -> bool:
        """Whether all members are hubs, so that each keeps a link to each other one."""
        return len(self._hubs) == len(self._members)

    def member(self, vm: str) -> model.Member | None:
        """Return the member of this name, or None."""
        return self._members.get(vm)

    def replace(self, listed: tuple[model.Member, ...]) -> bool:
        """Replace the members by a newly read list; return whether they changed.

        The own entry VM stays a member even if the list lacks it, because the
        list may not yet contain an entry VM that has just started.
        """
        members = {member.vm: member for member in listed}
        members[self._me.vm] = self._me
        for vm in members:
            # A new member counts as live for one deadline, in which it can respond. Otherwise a
            # starting entry VM would consider itself the owner of all targets and use up their
            # connections.
            self._last_response.setdefault(vm, self._clock())
        changed = members != self._members or not self._list_read
        self._list_read = True
        self._members = members
        self._hubs = topology.hubs(self.members) if self._sparse else self.members
        self._neighbours = topology.neighbours(members[self._me.vm], self._hubs)
        return changed

    def record_request(self, vm: str, now: float) -> None:
        """Record that a member sent this entry VM a request, which shows that it is live.

        Args:
            vm: Name of the member.
            now: Monotonic seconds at which the request was received.
        """
        self._last_response[vm] = max(now, self._last_response.get(vm, now))

    def record_response(self, vm: str, now: float, leaving: bool) -> None:
        """Record that a peer responded.

        Args:
            vm: Name of the peer.
            now: Monotonic seconds.
            leaving: Whether the peer reported that it accepts no new work.
        """
        self._last_response[vm] = now
        self.mark_leaving(vm, leaving)

    def extend_deadlines(self, paused_at: float, now: float) -> None:
        """Restart the deadlines of peers after the own process was paused.

        The process didn't read the peers' responses during the pause. Without the new
        deadlines, an entry VM that was paused or overloaded considers all peers dead and
        opens connection pools to their targets. A peer that was dead before the pause
        gets no new deadline.

        Args:
            paused_at: Latest possible start of the pause, in monotonic seconds.
            now: End of the pause, in monotonic seconds.
        """
        for vm, last_response_at in self._last_response.items():
            if self.is_live(vm, paused_at) and now - last_response_at <= MAX_EXTENDED_SILENCE:
                self._deadline_restarted_at[vm] = now

    def mark_leaving(self, vm: str, leaving: bool) -> None:
        """Record whether a member is leaving and accepts no new work."""
        if leaving:
            self._leaving.add(vm)
        else:
            self._leaving.discard(vm)

    def last_response_at(self, vm: str) -> float:
        """Return the monotonic seconds of a member's last response, else of its first listing."""
        return self._last_response.get(vm, float("-inf"))

    def is_live(self, vm: str, now: float) -> bool:
        """Return whether a member responded within its deadline; the own entry VM always did."""
        if vm == self._me.vm:
            return True
        never = float("-inf")
        started_at = max(
            self._last_response.get(vm, never), self._deadline_restarted_at.get(vm, never)
        )
        return now - started_at <= self._deadline * self.heartbeat_interval_factor(vm)

    def heartbeat_interval_factor(self, vm: str) -> float:
        """Return the factor by which heartbeat intervals with a member are longer.

        In a large fleet, entry VMs that are no hubs send most of the heartbeats, so
        their intervals are longer.
        """
        return (
            self.own_interval_factor
            if self._members.get(vm) in self._hubs
            else NON_HUB_INTERVAL_FACTOR
        )

    @property
    def own_interval_factor(self) -> float:
        """Factor by which the intervals of this entry VM's periodic work are longer."""
        return 1.0 if self.is_hub else NON_HUB_INTERVAL_FACTOR

    def live(self, now: float) -> tuple[model.Member, ...]:
        """Return the members that respond and are not leaving."""
        return tuple(member for member in self.members if self._accepts_work(member, now))

    def live_hubs(self, now: float) -> tuple[model.Member, ...]:
        """Return the hubs that respond and are not leaving.

        An entry VM that is no hub returns only the hubs among its neighbours.
        """
        known_hubs = (*self._neighbours, self._me) if self.is_hub else self._neighbours
        return tuple(member for member in known_hubs if self._accepts_work(member, now))

    def _accepts_work(self, member: model.Member, now: float) -> bool:
        leaving = member.vm in self._leaving or member.leaving
        return not leaving and self.is_live(member.vm, now)


def setup(app: application.Application) -> None:
    """Register the member view, its event and its settings."""
    app.add_event("members-changed")
    app.add_setting(
        config.Setting(
            key="members.sparse",
            kind=bool,
            default=False,
            doc="Whether entry VMs, where there are many, keep links to a few hubs only.",
        )
    )
    app.add_setting(
        config.Setting(
            key="members.deadline",
            kind=float,
            default=PEER_DEADLINE,
            doc="Seconds without an answer after which a peer counts as dead.",
            check=config.is_positive,
        )
    )

    def create(app: application.Application) -> MemberView:
        settings = app.settings
        me = model.Member(
            vm=settings["vm.name"],
            failure_domain=settings["vm.failure_domain"],
            peer_address=settings["vm.peer_address"],
        )
        return MemberView(
            me=me,
            clock=app.clock,
            deadline=settings["members.deadline"],
            sparse=settings["members.sparse"],
        )

    app.add_part("membership", "view", create)
