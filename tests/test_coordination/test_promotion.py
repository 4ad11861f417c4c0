"""Decisions of a change of primary."""

import dataclasses
import json

from greengageshunt import application, config, errors, model
from greengageshunt.coordination import detection, promotion, records, view
from greengageshunt.membership import view as member_view


def _status(name: str, offset: int, *, term: int = 1, draining: bool = False) -> promotion.Status:
    entry = records.TargetEntry(
        target=name,
        group="g",
        address="127.0.0.1:1",
        failure_domain="a",
        slots=2,
        draining=draining,
        primary=False,
    )
    position = model.Position(term=term, offset=offset)
    return promotion.Status(entry=entry, primary=False, term=term, position=position)


def test_target_that_received_most_takes_over():
    """Guards against the loss of acknowledged commits by a change."""
    statuses = (_status("t-1", 9), _status("t-2", 7), _status("t-3", 8))
    assert promotion.choose_successor(statuses, "t-1").entry.target == "t-3"


def test_newer_term_goes_before_a_longer_log():
    """Guards against a target with rolled back commits that takes over."""
    statuses = (_status("t-2", 9, term=1), _status("t-3", 5, term=2))
    assert promotion.choose_successor(statuses, "t-1").entry.target == "t-3"


def test_draining_target_does_not_take_over():
    """Guards against a second change right after the first."""
    assert promotion.choose_successor((_status("t-2", 9, draining=True),), "t-1") is None


def _replace(**fields):
    given = {"unreached": 4, "asked": 8, "registered": 8, "failing_for": 1.0, **fields}
    return detection.should_replace(**given)


def test_one_entry_vm_alone_does_not_replace_a_primary():
    """Guards against a change because of one broken link."""
    assert not _replace(unreached=1)
    assert not _replace(unreached=2, asked=8)
    assert _replace(unreached=4)


def test_only_entry_vm_decides_by_itself():
    """Guards against a group without a primary where one entry VM is left."""
    assert _replace(unreached=1, asked=1, registered=1)


def test_one_dead_entry_vm_is_no_partition():
    """Guards against a group without a primary for 16 s: the primary and one entry VM gone."""
    assert _replace(unreached=7, asked=7, failing_for=0.5)


def test_partition_is_given_time():
    """Guards against a change that takes longer than the partition, on either side."""
    assert not _replace(unreached=6, asked=6, failing_for=5.0)
    assert not _replace(unreached=2, asked=2, failing_for=5.0)
    assert _replace(unreached=6, asked=6, failing_for=6.0)


def test_target_of_the_newest_term_leads():
    """Guards against an old primary behind a cut that is taken for the leader."""
    old = dataclasses.replace(_status("t-1", 9, term=1), primary=True)
    new = dataclasses.replace(_status("t-2", 5, term=2), primary=True)
    assert promotion.newest_leader((old, new, _status("t-3", 4))) is new
    assert promotion.newest_leader((_status("t-3", 4),)) is None


class _Store:
    """Counts writes."""

    def __init__(self) -> None:
        self.writes = 0

    async def put_row(self, key: str, value: object, etag: str | None) -> None:
        self.writes += 1


class _Part:
    """Stands for parts that the test does not reach."""

    def __getattr__(self, name: str) -> object:
        return self

    def __call__(self, *args: object, **fields: object) -> object:
        return self


def _promoter(store: object, links: object, now: float = 100.0) -> tuple:
    """Return the promoter of vm-1, and its copy of the store."""
    app = application.Application(name="vm-1", clock=lambda: now)
    view.setup(app)
    me = model.Member(vm="vm-1", failure_domain="a", peer_address="127.0.0.1:1")
    seen = member_view.MemberView(me=me, clock=app.clock)
    peer = model.Member(vm="vm-2", failure_domain="b", peer_address="127.0.0.1:2")
    seen.replace((me, peer))
    app.add_part("platform", "fake", lambda app: store)
    app.add_part("peers", "links", lambda app: links)
    app.add_part("membership", "view", lambda app: seen)
    names = [
        ("driver", "fake"),
        ("duty", "failover"),
        ("coordination", "members"),
        ("coordination", "detector"),
        ("peers", "server"),
        ("pooling", "pools"),
        ("pooling", "executor"),
        ("configuration", "state"),
    ]
    for role, name in names:
        app.add_part(role, name, lambda app: _Part())
    values = {"parts.platform": "fake", "parts.driver": "fake"}
    app.configure(config.Settings(values=values, source="test"))
    return promotion.Promoter(app=app), app.part("coordination", "view")


async def test_change_is_dropped_if_the_record_changed_meanwhile():
    """Guards against a second change with the token of the first."""
    store = _Store()
    promoter, copied = _promoter(store, _Part())
    before = records.LeadRecord(group="g", primary="t-1", token=3, holder="vm-2", changing=False)
    after = dataclasses.replace(before, primary="t-2", token=4)
    value = json.dumps(dataclasses.asdict(after))
    copied.note_row(records.ControlRow(key="groups/g", version=9, value=value))
    await promoter._change(before, "the primary is not reached")
    assert store.writes == 0


class _Links:
    """Answers recalls of permissions for some entry VMs; the others are silent."""

    def __init__(self, answering: set[str]) -> None:
        self._answering = answering

    def add_extra(self, name: str, source: object, sink: object) -> None:
        """Accept a value."""

    async def request(self, vm: str, message: object, timeout: float) -> object:
        """Answer, or fail."""
        if vm not in self._answering:
            raise errors.PeerError("no answer", step="request", peer=vm, sent=True)
        return records.LeaseRecalled(vm=vm)


def _member_row(vm: str, version: int, **fields: object) -> records.ControlRow:
    entry = records.MemberEntry(
        vm=vm, failure_domain="a", peer_address="127.0.0.1:1", incarnation="x", **fields
    )
    value = json.dumps(dataclasses.asdict(entry))
    return records.ControlRow(key=f"members/{vm}", version=version, value=value)


async def test_permissions_of_silent_entry_vms_are_waited_for():
    """Guards against a change while an entry VM may still use the old primary."""
    promoter, copied = _promoter(_Store(), _Links({"vm-2"}))
    for row in (_member_row("vm-2", 1), _member_row("vm-3", 2), _member_row("vm-4", 3)):
        copied.note_row(row)
    copied.note_row(_member_row("vm-4", 4, stopped=True))
    row = records.ControlRow(key="groups/g", version=9, value="{}")
    left = await promoter._ask_to_stop(frozenset({"vm-2", "vm-3", "vm-4"}), row)
    assert left == {"vm-3"}


def test_change_of_a_restarted_holder_is_soon_taken_over():
    """Guards against a group without a primary until the longest change would have ended."""
    promoter, _ = _promoter(_Store(), _Links(set()))
    record = records.LeadRecord(
        group="g", primary="t-1", token=3, holder="vm-2", changing=True, incarnation="before"
    )
    promoter._note_report("vm-2", "before", 100.0)
    assert promoter._patience(record, 100.0) == promotion.ABANDONED_BY_LIVE
    promoter._note_report("vm-2", "after", 100.0)
    assert promoter._patience(record, 100.0) == promotion.ABANDONED_BY_DEAD
    own = dataclasses.replace(record, holder="vm-1")
    assert promoter._patience(own, 100.0) == 0.0
