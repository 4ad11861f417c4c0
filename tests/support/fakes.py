"""In-memory targets and platform behind the driver and platform interfaces."""

import asyncio
import dataclasses
from typing import Any

from greengageshunt import application, config, errors, model
from greengageshunt.drivers import postgresql
from greengageshunt.programs import common
from greengageshunt.stores import rows


class FakeTarget:
    """A target with a log of (term, item) entries.

    The next ``lose_answers`` steps other than a status check take effect, but their
    responses are lost.
    """

    def __init__(self, *, name: str) -> None:
        self.name = name
        self.alive = True
        self.lose_answers = 0
        self.term = 1
        self.promoter = "initial"
        self.role = model.Role.REPLICA
        self.log: list[tuple[int, str]] = [(1, "")]
        self.upstream = ""
        self.promotions: list[tuple[int, str]] = []

    @property
    def history(self) -> tuple[model.TermStart, ...]:
        """Start of each term in the log."""
        terms = [term for term, _ in self.log]
        return tuple(
            model.TermStart(term=term, first_offset=terms.index(term) + 1)
            for term in sorted(set(terms))
        )

    def status(self, now: float) -> model.TargetStatus:
        """Return the current status; ``now`` becomes its observation time."""
        return model.TargetStatus(
            target=self.name,
            term=self.term,
            promoter=self.promoter,
            role=self.role,
            offset=len(self.log),
            history=self.history,
            observed_at=now,
            upstream=self.upstream,
            upstream_age=0.0 if self.upstream else float("inf"),
        )

    def raise_term(self, term: int, promoter: str, now: float) -> postgresql.TermVote:
        """Vote for a higher term; a repeated request of the same promoter is accepted again."""
        previous = self.term
        accepted = term > previous or (term, promoter) == (previous, self.promoter)
        if term > previous:
            self.term, self.promoter, self.upstream = term, promoter, ""
        return postgresql.TermVote(
            accepted=accepted, previous_term=previous, status=self.status(now)
        )

    def promote(self, term: int, promoter: str, now: float) -> model.TargetStatus:
        """Become the primary of an accepted term."""
        if (term, promoter) != (self.term, self.promoter):
            raise errors.TargetError(
                "term not accepted for this promoter",
                step="promote",
                peer=self.name,
                sent=True,
                code="55000",
            )
        if not self.status(now).open:
            self.role = model.Role.PRIMARY
            self.log.append((term, ""))
            self.promotions.append((term, promoter))
        return self.status(now)

    def follow(self, term: int, address: str, now: float) -> model.TargetStatus:
        """Become a replica of the primary of a term."""
        if term < self.term or (self.status(now).open and term == self.term):
            raise errors.TargetError(
                "target has a higher term or is this term's primary",
                step="follow",
                peer=self.name,
                sent=True,
                code="55000",
            )
        if term > self.term:
            self.term, self.promoter = term, ""
        self.role, self.upstream = model.Role.REPLICA, address
        return self.status(now)

    def write(self, item: str) -> model.Position | None:
        """Commit an item if this target is open for writes; return its position, or None."""
        if not self.status(0.0).open:
            return None
        self.log.append((self.term, item))
        return model.Position(term=self.term, offset=len(self.log))

    def copy_from(self, primary: "FakeTarget") -> None:
        """Copy the log of a primary if this target replicates from it in the accepted term."""
        is_current_primary = primary.role is model.Role.PRIMARY and primary.log[-1][0] == self.term
        if self.upstream == primary.name and is_current_primary:
            self.log = list(primary.log)


class FakeConnection:
    """A connection to a fake target."""

    def __init__(self, *, target: FakeTarget) -> None:
        self._target = target

    async def status(self, now: float) -> model.TargetStatus:
        """Return the status."""
        return await self._call("status", now)

    async def raise_term(self, term: int, promoter: str, now: float) -> postgresql.TermVote:
        """Request the target's vote for a term."""
        return await self._call("raise_term", term, promoter, now)

    async def promote(self, term: int, promoter: str, now: float) -> model.TargetStatus:
        """Make the target the primary."""
        return await self._call("promote", term, promoter, now)

    async def follow(self, term: int, address: str, now: float) -> model.TargetStatus:
        """Make the target a replica."""
        return await self._call("follow", term, address, now)

    async def close(self) -> None:
        """Do nothing."""

    async def _call(self, step: str, *arguments: Any) -> Any:
        # Other tasks run between the request and its effect, as on a network.
        await asyncio.sleep(0)
        if not self._target.alive:
            raise errors.TargetError("target is down", step=step, peer=self._target.name, sent=True)
        answer = getattr(self._target, step)(*arguments)
        await asyncio.sleep(0)
        if step != "status" and self._target.lose_answers:
            self._target.lose_answers -= 1
            raise errors.TargetError("response lost", step=step, peer=self._target.name, sent=True)
        return answer


class FakeDriver:
    """Connects to fake targets by name."""

    def __init__(self, *, targets: dict[str, FakeTarget]) -> None:
        self._targets = targets

    async def connect(self, target: model.Target) -> FakeConnection:
        """Connect to a target."""
        return FakeConnection(target=self._targets[target.name])


class FakePlatform:
    """Versioned rows.

    While ``down``, each call fails without an effect. The next ``lose_answers`` writes take
    effect, but their responses are lost.
    """

    def __init__(self) -> None:
        self.rows: dict[str, rows.Row] = {}
        self.down = False
        self.lose_answers = 0
        self.writes = 0

    async def get_row(self, key: str) -> rows.Row | None:
        """Return a row."""
        await self._check_available()
        return self.rows.get(key)

    async def put_row(self, key: str, value: Any, etag: str | None) -> rows.Row | rows.Conflict:
        """Write a row if its version is ``etag``, or if both are absent."""
        await self._check_available()
        current = self.rows.get(key)
        if (current.etag if current else None) != etag:
            return rows.Conflict(key=key)
        self.writes += 1
        self.rows[key] = rows.Row(key=key, value=value, etag=str(self.writes))
        if self.lose_answers:
            self.lose_answers -= 1
            raise self._error(effect_unknown=True)
        return self.rows[key]

    async def _check_available(self) -> None:
        await asyncio.sleep(0)
        if self.down:
            raise self._error(effect_unknown=False)

    def _error(self, *, effect_unknown: bool) -> errors.PlatformError:
        return errors.PlatformError(
            "no answer", step="row", peer="platform", effect_unknown=effect_unknown
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class World:
    """The fake platform, and the fake targets of one group; its first target is the primary."""

    record: model.GroupRecord
    targets: dict[str, FakeTarget]
    platform: FakePlatform


def build_world(names: str = "abc") -> World:
    """Return a group in term 1 whose replicas follow the first target."""
    targets = {name: FakeTarget(name=name) for name in names}
    for name, target in targets.items():
        target.role = model.Role.PRIMARY if name == names[0] else model.Role.REPLICA
        target.upstream = "" if name == names[0] else names[0]
    record = model.GroupRecord(
        group="group",
        term=1,
        primary=names[0],
        targets=tuple(
            model.Target(
                name=name,
                failure_domain=f"domain-{name}",
                address="127.0.0.1:1",
                replication_address=name,
                connection_limit=15,
                slots=2,
            )
            for name in names
        ),
        history=(model.TermStart(term=1, first_offset=1),),
    )
    return World(record=record, targets=targets, platform=FakePlatform())


def build_application(world: World, clock: Any) -> application.Application:
    """Return an application with the fakes, strict invariants and the group's record."""
    app = application.Application(name="test", clock=clock)
    common.add_common_settings(app)
    app.add_event("target-checked")
    for extension in ("invariants", "groups.directory", "failover.grants"):
        app.setup_extension(f"greengageshunt.{extension}")
    app.add_part("driver", "fake", lambda app: FakeDriver(targets=world.targets))
    app.add_part("platform", "fake", lambda app: world.platform)
    text = (
        '[vm]\nname = "vm"\nfailure_domain = "domain"\n[invariants]\nstrict = true\n'
        '[parts]\ndriver = "fake"\nplatform = "fake"\n'
    )
    app.configure(config.parse(text, app.declared_settings, "test"))
    app.part("groups", "directory").apply_record(world.record, "platform")
    return app


def member(vm: str, failure_domain: str) -> model.Member:
    """Return an entry VM whose peer address accepts no connections."""
    return model.Member(vm=vm, failure_domain=failure_domain, peer_address="127.0.0.1:1")
