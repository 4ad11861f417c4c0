"""In-memory targets and platform behind the driver and platform interfaces."""

import asyncio
import dataclasses
from typing import Any

from greengageshunt import application, config, errors, model
from greengageshunt.drivers import postgresql
from greengageshunt.programs import common
from greengageshunt.stores import rows


class FakeTarget:
    """A target with a log of (term, item) entries."""

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
        """Return the status of this moment."""
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
        """Accept a term once, from one promoter."""
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
                "not accepted", step="promote", peer=self.name, sent=True, code="55000"
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
                "higher term", step="follow", peer=self.name, sent=True, code="55000"
            )
        if term > self.term:
            self.term, self.promoter = term, ""
        self.role, self.upstream = model.Role.REPLICA, address
        return self.status(now)

    def write(self, item: str) -> model.Position | None:
        """Commit an item if this target is open; return its position."""
        if not self.status(0.0).open:
            return None
        self.log.append((self.term, item))
        return model.Position(term=self.term, offset=len(self.log))

    def copy_from(self, primary: "FakeTarget") -> None:
        """Copy the log of the primary of the accepted term, as a replica of it."""
        serves = primary.role is model.Role.PRIMARY and primary.log[-1][0] == self.term
        if self.upstream == primary.name and serves:
            self.log = list(primary.log)


class FakeConnection:
    """A connection to a fake target."""

    def __init__(self, *, target: FakeTarget) -> None:
        self._target = target

    async def status(self, now: float) -> model.TargetStatus:
        """Return the status."""
        return await self._call("status", now)

    async def raise_term(self, term: int, promoter: str, now: float) -> postgresql.TermVote:
        """Ask the target to accept a term."""
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
            raise errors.TargetError("dead", step=step, peer=self._target.name, sent=True)
        answer = getattr(self._target, step)(*arguments)
        await asyncio.sleep(0)
        if step != "status" and self._target.lose_answers:
            self._target.lose_answers -= 1
            raise errors.TargetError("lost", step=step, peer=self._target.name, sent=True)
        return answer


class FakeDriver:
    """Connects to fake targets by name."""

    def __init__(self, *, targets: dict[str, FakeTarget]) -> None:
        self._targets = targets

    async def connect(self, target: model.Target) -> FakeConnection:
        """Connect to a target."""
        return FakeConnection(target=self._targets[target.name])


class FakePlatform:
    """Rows with versions; writes may lose their answer after or before their effect."""

    def __init__(self) -> None:
        self.rows: dict[str, rows.Row] = {}
        self.down = False
        self.lose_answers = 0
        self.writes = 0

    async def get_row(self, key: str) -> rows.Row | None:
        """Return a row."""
        await self._pass()
        return self.rows.get(key)

    async def put_row(self, key: str, value: Any, etag: str | None) -> rows.Row | rows.Conflict:
        """Write a row if it has the version."""
        await self._pass()
        known = self.rows.get(key)
        if (known.etag if known else None) != etag:
            return rows.Conflict(key=key)
        self.writes += 1
        self.rows[key] = rows.Row(key=key, value=value, etag=str(self.writes))
        if self.lose_answers:
            self.lose_answers -= 1
            raise self._error(effect_unknown=True)
        return self.rows[key]

    async def _pass(self) -> None:
        await asyncio.sleep(0)
        if self.down:
            raise self._error(effect_unknown=False)

    def _error(self, *, effect_unknown: bool) -> errors.PlatformError:
        return errors.PlatformError(
            "no answer", step="row", peer="platform", effect_unknown=effect_unknown
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class World:
    """Fake targets of one group, the first of which is the primary, and the platform."""

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
    """Return an entry VM without a reachable address."""
    return model.Member(vm=vm, failure_domain=failure_domain, peer_address="127.0.0.1:1")
