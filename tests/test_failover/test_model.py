"""Randomised sequences of checks, writes, promotions and pauses with in-memory targets.

Two entry VMs both act as the owner of the primary, and two promoters compete. The
rules call the decisions of the production code; time is virtual. The invariants
guard against lost acknowledged writes and against two primaries of one term.
"""

import dataclasses

from hypothesis import HealthCheck, settings, stateful
from hypothesis import strategies as st

from greengageshunt import errors, model
from greengageshunt.failover import detection, election
from greengageshunt.routing import history
from support import fakes

NAMES = "abc"
OWNERS = st.integers(0, 1)
ONE_IN_THREE = st.sampled_from([False, False, True])
TWO_OR_MORE = st.sets(st.sampled_from(NAMES), min_size=2)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pending:
    """A write that is committed but not acknowledged."""

    item: str
    term: int
    target: str
    position: model.Position


@dataclasses.dataclass(frozen=True, kw_only=True)
class Campaign:
    """A promoter's attempt at a term."""

    record: model.GroupRecord
    term: int
    name: str
    votes: tuple[election.Vote, ...] = ()


def _run(coroutine):
    """Run a coroutine that waits for nothing but ``asyncio.sleep(0)``, without an event loop."""
    try:
        while True:
            coroutine.send(None)
    except StopIteration as stop:
        return stop.value


class Failover(stateful.RuleBasedStateMachine):
    """Grants, terms and promotions of one group."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.world = fakes.build_world(NAMES)
        self.owners = [fakes.build_application(self.world, lambda: self.now) for _ in range(2)]
        self.in_flight = [[], []]
        self.pending = [[], []]
        self.campaigns = [None, None]
        self.acknowledged = []
        self.items = 0
        # Newest term whose primary was opened while a target of an earlier term was still
        # open. No write of an earlier term may be acknowledged after that.
        self.newest_unfenced_term = 0

    def _directory(self, owner):
        return self.owners[owner].part("groups", "directory")

    def _grants(self, owner):
        return self.owners[owner].part("failover", "grants")

    def _connect(self, name):
        driver = self.owners[0].selected("driver")
        return _run(driver.connect(self.world.record.target(name)))

    @stateful.rule(seconds=st.sampled_from([0.05, 0.2, 0.5]))
    def pass_time(self, seconds):
        """Advance the virtual clock."""
        self.now += seconds

    @stateful.rule(owner=OWNERS, names=TWO_OR_MORE, paused=ONE_IN_THREE)
    def check(self, owner, names, paused):
        """Check the status of targets; a paused owner processes the answers later."""
        for name in sorted(names):
            try:
                status = _run(self._connect(name).status(self.now))
            except errors.TargetError:
                continue
            self.in_flight[owner].append(status)
        if not paused:
            self.deliver_statuses(owner)

    @stateful.rule(owner=OWNERS, share=st.booleans())
    def resume(self, owner, share):
        """Resume an owner after a pause; it may then send a heartbeat."""
        self.deliver_statuses(owner)
        self.acknowledge(owner)
        if share:
            self.share_statuses(owner)

    def deliver_statuses(self, owner):
        """Deliver the answers to an owner's status checks."""
        statuses, self.in_flight[owner] = self.in_flight[owner], []
        for status in statuses:
            self._directory(owner).apply_own_status(status)
            self.owners[owner].events.emit("target-checked", status)

    def share_statuses(self, owner):
        """Deliver an owner's statuses to the other owner in a heartbeat."""
        for status in self._directory(owner).own_statuses:
            self._directory(1 - owner).apply_peer_status(status, status.observed_at)

    @stateful.rule(
        owner=OWNERS,
        checked=st.sampled_from([True, True, False]),
        copied_by=st.sampled_from(["", "b", "c", "abc"]),
        paused=ONE_IN_THREE,
    )
    def write(self, owner, checked, copied_by, paused):
        """Commit a write at the primary of the owner's record, and replicate it."""
        if checked:
            self.check(owner, set(NAMES), False)
        record = self._directory(owner).record("group")
        if self._grants(owner).grant("group").expires_at <= self.now:
            return
        target = self.world.targets[record.primary]
        item = f"item {self.items}"
        position = target.write(item) if target.alive else None
        if position is not None:
            self.items += 1
            self.pending[owner].append(
                Pending(item=item, term=record.term, target=target.name, position=position)
            )
        for name in sorted(copied_by):
            self._replicate(name)
        if not paused:
            self.acknowledge(owner)

    def _replicate(self, name):
        replica = self.world.targets[name]
        source = self.world.targets.get(replica.upstream)
        if replica.alive and source and source.alive:
            replica.copy_from(source)

    def acknowledge(self, owner):
        """Acknowledge the writes that a second target has, if the grant permits it."""
        unreplicated = []
        for write in self.pending[owner]:
            if not self._is_replicated(write):
                unreplicated.append(write)
                continue
            granted = self._grants(owner).acknowledge(
                "group", write.term, write.position.term, self.now
            )
            if granted:
                assert write.term >= self.newest_unfenced_term, (
                    "acknowledged after a later primary was opened"
                )
                self.acknowledged.append(write.item)
        self.pending[owner] = unreplicated

    def _is_replicated(self, write):
        # The primary of a term counts the entries that replicas in this term have applied.
        return any(
            history.contains(target.status(self.now), write.position)
            for target in self.world.targets.values()
            if target.name != write.target
        )

    @stateful.rule(
        promoter=OWNERS,
        owner=OWNERS,
        names=TWO_OR_MORE,
        preferred=st.sampled_from(NAMES),
        followed=st.booleans(),
        seconds=st.sampled_from([0.9, 0.9, 0.0, 0.0]),
    )
    def campaign(self, promoter, owner, names, preferred, followed, seconds):
        """Begin a promotion based on an owner's record and statuses, and try to complete it."""
        record = self._directory(owner).record("group")
        status_terms = [status.term for status in self._directory(owner).statuses]
        self.campaigns[promoter] = Campaign(
            record=record,
            term=max([record.term, *status_terms]) + 1,
            name=detection.new_promoter_name(f"vm-{promoter}"),
        )
        self.raise_term(promoter, names)
        self.now += seconds
        self.promote(promoter, preferred)
        if followed:
            self.follow(owner, set(NAMES))

    @stateful.rule(
        owner=OWNERS,
        copied_by=st.sampled_from(["b", "c", "abc"]),
        names=TWO_OR_MORE,
        preferred=st.sampled_from(NAMES),
        seconds=st.sampled_from([0.0, 0.3, 0.9]),
    )
    def pause_owner_during_campaign(self, owner, copied_by, names, preferred, seconds):
        """Pause an owner between a commit and its acknowledgement, during a promotion."""
        self.write(owner, True, copied_by, True)
        self.campaign(1 - owner, owner, names, preferred, False, seconds)
        self.acknowledge(owner)

    @stateful.rule(promoter=OWNERS, names=TWO_OR_MORE, preferred=st.sampled_from(NAMES))
    def finish_campaign(self, promoter, names, preferred):
        """Continue a promotion that did not complete."""
        self.raise_term(promoter, names)
        self.promote(promoter, preferred)

    def raise_term(self, promoter, names):
        """Request the votes of targets."""
        campaign = self.campaigns[promoter]
        if campaign is None:
            return
        votes = {vote.status.target: vote for vote in campaign.votes}
        for name in sorted(names - set(votes)):
            try:
                answer = _run(
                    self._connect(name).raise_term(campaign.term, campaign.name, self.now)
                )
            except errors.TargetError:
                continue
            if answer.accepted:
                votes[name] = election.Vote(
                    previous_term=answer.previous_term,
                    status=answer.status,
                    received_at=self.now,
                )
        self.campaigns[promoter] = dataclasses.replace(campaign, votes=tuple(votes.values()))

    def promote(self, promoter, preferred):
        """Promote the chosen target if the decisions permit it now."""
        campaign = self.campaigns[promoter]
        if campaign is None or not election.is_won(campaign.record, campaign.votes):
            return
        fenced = election.has_fenced_primary(campaign.record, campaign.votes)
        if not fenced and self.now < election.earliest_promotion(campaign.record, campaign.votes):
            return
        name = election.choose_target(campaign.record, campaign.votes, preferred)
        others = [target for target in self.world.targets.values() if target.name != name]
        others_open = any(target.status(self.now).open for target in others)
        try:
            _run(self._connect(name).promote(campaign.term, campaign.name, self.now))
        except errors.TargetError:
            return
        self.campaigns[promoter] = None
        if others_open:
            self.newest_unfenced_term = max(self.newest_unfenced_term, campaign.term)

    @stateful.rule(owner=OWNERS, names=TWO_OR_MORE)
    def follow(self, owner, names):
        """Make targets follow the primary of an owner's record and copy its log."""
        self.check(owner, set(NAMES), False)
        record = self._directory(owner).record("group")
        for name in sorted(names - {record.primary}):
            target = self.world.targets[name]
            if target.alive and target.term <= record.term:
                _run(self._connect(name).follow(record.term, record.primary, self.now))
                self._replicate(name)
        self.check(owner, set(NAMES), False)

    @stateful.rule(failed=st.sampled_from(["", *NAMES]))
    def fail_and_return(self, failed):
        """Kill at most one target, and restart the others with their data."""
        for name, target in self.world.targets.items():
            target.alive = name != failed

    @stateful.invariant()
    def acknowledged_writes_survive(self):
        """The newest primary has each acknowledged write, and has it once."""
        opened = [target for target in self.world.targets.values() if target.status(self.now).open]
        newest = max(opened, key=lambda target: target.term, default=None)
        if newest is not None:
            log = [item for _, item in newest.log]
            assert set(self.acknowledged) <= set(log), "lost an acknowledged write"
            assert len(log) == len(set(log) | {""}) + log.count("") - 1, "wrote an item twice"

    @stateful.invariant()
    def one_primary_for_each_term(self):
        """No term has two promotions, at the same target or at different ones."""
        opened = [term for target in self.world.targets.values() for term, _ in target.promotions]
        assert len(opened) == len(set(opened)), "two primaries of one term"


Failover.TestCase.settings = settings(
    max_examples=100,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestFailover = Failover.TestCase
