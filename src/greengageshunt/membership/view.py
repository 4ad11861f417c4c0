"""The member view of one entry VM."""

from greengageshunt import application, config, model
from greengageshunt import clock as clock_module
from greengageshunt.membership import topology

# Seconds without an answer after which a peer counts as dead.
PEER_DEADLINE = 0.75

# Seconds since a peer's last answer after which pauses of the own process no longer
# excuse its silence; otherwise a VM under constant load would never notice a death.
LONGEST_EXCUSE = 3.0


# Heartbeats and periodic work of an entry VM that is no hub are slower by this factor.
SLOW_PACE = 2.0


class MemberView:
    """Knows the listed entry VMs and when each peer last answered."""

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
        self._last_answer: dict[str, float] = {}
        self._excused_at: dict[str, float] = {}
        self._leaving: set[str] = set()
        self._listed = False

    @property
    def listed(self) -> bool:
        """Whether a list of entry VMs was read, from the platform or a peer.

        Before that, the own entry VM is the only member known, which says
        nothing of a majority.
        """
        return self._listed

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
        """Members that watch the others; all of them where each keeps a link to each."""
        return self._hubs

    @property
    def is_hub(self) -> bool:
        """Whether the own entry VM is a hub."""
        return self._me in self._hubs

    @property
    def neighbours(self) -> tuple[model.Member, ...]:
        """Members to which the own entry VM keeps links."""
        return self._neighbours

    @property
    def full_mesh(self) -> bool:
        """Whether each member keeps a link to each other one."""
        return len(self._hubs) == len(self._members)

    def member(self, vm: str) -> model.Member | None:
        """Return the member of this name, or None."""
        return self._members.get(vm)

    def replace(self, listed: tuple[model.Member, ...]) -> bool:
        """Take over the platform's list; return whether it differs.

        The own entry VM stays a member whatever the list says, because the
        list lags behind starts.
        """
        members = {member.vm: member for member in listed}
        members[self._me.vm] = self._me
        for vm in members:
            # A member counts as live until it had the time to answer. A starting entry VM
            # would else take itself for the owner of all targets and use up their connections.
            self._last_answer.setdefault(vm, self._clock())
        changed = members != self._members or not self._listed
        self._listed = True
        self._members = members
        self._hubs = topology.hubs(self.members) if self._sparse else self.members
        self._neighbours = topology.neighbours(members[self._me.vm], self._hubs)
        return changed

    def record_heard(self, vm: str, now: float) -> None:
        """Record that a member asked this entry VM, which shows that it runs."""
        self._last_answer[vm] = max(now, self._last_answer.get(vm, now))

    def record_answer(self, vm: str, now: float, leaving: bool) -> None:
        """Record that a peer answered.

        Args:
            vm: The peer.
            now: Monotonic seconds.
            leaving: Whether the peer says that it takes no new work.
        """
        self._last_answer[vm] = now
        self.mark_leaving(vm, leaving)

    def excuse_silence(self, paused_at: float, now: float) -> None:
        """Give peers their deadline again after the own process was paused.

        Their answers of that time were not read, so their silence says nothing.
        Without this, a paused or overloaded entry VM takes all peers for dead and
        opens pools to their targets.

        Args:
            paused_at: Monotonic seconds at which the pause began at the latest.
            now: Monotonic seconds at which it ended.
        """
        for vm, answered_at in self._last_answer.items():
            if self.answers(vm, paused_at) and now - answered_at <= LONGEST_EXCUSE:
                self._excused_at[vm] = now

    def mark_leaving(self, vm: str, leaving: bool) -> None:
        """Record whether a member takes no new work."""
        if leaving:
            self._leaving.add(vm)
        else:
            self._leaving.discard(vm)

    def answered_at(self, vm: str) -> float:
        """Return the monotonic seconds of a member's last answer, or of its first listing."""
        return self._last_answer.get(vm, float("-inf"))

    def answers(self, vm: str, now: float) -> bool:
        """Return whether a member answered within the deadline."""
        if vm == self._me.vm:
            return True
        never = float("-inf")
        heard_at = max(self._last_answer.get(vm, never), self._excused_at.get(vm, never))
        return now - heard_at <= self._deadline * self.pace(vm)

    def pace(self, vm: str) -> float:
        """Return by how much heartbeats between the own entry VM and another one are slower.

        Heartbeats of entry VMs that are no hubs are most of all where there are many.
        """
        return self.own_pace if self._members.get(vm) in self._hubs else SLOW_PACE

    @property
    def own_pace(self) -> float:
        """By how much the periodic work of an entry VM that is no hub is slower."""
        return 1.0 if self.is_hub else SLOW_PACE

    def live(self, now: float) -> tuple[model.Member, ...]:
        """Return the members that answer and are not leaving."""
        return tuple(member for member in self.members if self._takes_work(member, now))

    def live_hubs(self, now: float) -> tuple[model.Member, ...]:
        """Return the hubs that answer and are not leaving.

        On an entry VM that is no hub, these are those among its neighbours.
        """
        known = (*self._neighbours, self._me) if self.is_hub else self._neighbours
        return tuple(member for member in known if self._takes_work(member, now))

    def _takes_work(self, member: model.Member, now: float) -> bool:
        leaving = member.vm in self._leaving or member.leaving
        return not leaving and self.answers(member.vm, now)


def setup(app: application.Application) -> None:
    """Register the member view."""
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
