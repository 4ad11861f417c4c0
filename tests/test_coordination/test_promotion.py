"""Failure detection and replacement of primaries."""

import dataclasses
import json

from greengageshunt import application, config, errors, model
from greengageshunt.coordination import detection, promotion, recall, records, succession, view
from greengageshunt.membership import view as member_view
from greengageshunt.stores import rows


def _status(name: str, offset: int, *, term: int = 1, draining: bool = False) -> succession.Status:
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
    return succession.Status(entry=entry, primary=False, term=term, position=position)


def test_target_with_the_newest_position_is_promoted():
    """Guards against a change of primary that loses acknowledged commits."""
    statuses = (_status("t-1", 9), _status("t-2", 7), _status("t-3", 8))
    assert succession.choose_successor(statuses, "t-1").entry.target == "t-3"


def test_newer_term_takes_precedence_over_a_longer_log():
    """Guards against the promotion of a target that holds commits of a replaced primary."""
    statuses = (_status("t-2", 9, term=1), _status("t-3", 5, term=2))
    assert succession.choose_successor(statuses, "t-1").entry.target == "t-3"


def test_draining_target_is_not_promoted():
    """Guards against a second change of primary right after the first."""
    assert succession.choose_successor((_status("t-2", 9, draining=True),), "t-1") is None


def _should_replace(**fields):
    given = {"unreached": 4, "asked": 8, "registered": 8, "failing_for": 1.0, **fields}
    return detection.should_replace(**given)


def test_one_hub_alone_does_not_replace_a_primary():
    """Guards against a change of primary because of one broken link."""
    assert not _should_replace(unreached=1)
    assert not _should_replace(unreached=2, asked=8)
    assert _should_replace(unreached=4)


def test_single_hub_decides_alone():
    """Guards against a group that stays without a primary while one hub is registered."""
    assert _should_replace(unreached=1, asked=1, registered=1)


def test_one_dead_hub_is_no_partition():
    """Guards against 16 s without a primary after the loss of the primary and one hub."""
    assert _should_replace(unreached=7, asked=7, failing_for=0.5)


def test_partition_delays_the_change():
    """Guards against a change, on either side, that takes longer than the partition lasts."""
    assert not _should_replace(unreached=6, asked=6, failing_for=5.0)
    assert not _should_replace(unreached=2, asked=2, failing_for=5.0)
    assert _should_replace(unreached=6, asked=6, failing_for=6.0)


def test_target_of_the_newest_term_is_the_primary():
    """Guards against a former primary behind a partition that is taken for the primary."""
    old = dataclasses.replace(_status("t-1", 9, term=1), primary=True)
    new = dataclasses.replace(_status("t-2", 5, term=2), primary=True)
    assert succession.newest_primary((old, new, _status("t-3", 4))) is new
    assert succession.newest_primary((_status("t-3", 4),)) is None


class _Store:
    """Counts writes."""

    def __init__(self) -> None:
        self.writes = 0

    async def put_row(self, key: str, value: object, etag: str | None) -> None:
        self.writes += 1


class _Part:
    """Stands in for parts that the test does not use."""

    def __getattr__(self, name: str) -> object:
        return self

    def __call__(self, *args: object, **fields: object) -> object:
        return self


def _promoter(store: object, links: object, now: float = 100.0) -> tuple:
    """Return the promoter of vm-1, and its copy of the store."""
    app = application.Application(name="vm-1", clock=lambda: now)
    view.setup(app)
    me = model.Member(vm="vm-1", failure_domain="a", peer_address="127.0.0.1:1")
    members = member_view.MemberView(me=me, clock=app.clock)
    peer = model.Member(vm="vm-2", failure_domain="b", peer_address="127.0.0.1:2")
    members.replace((me, peer))
    app.add_part("platform", "fake", lambda app: store)
    app.add_part("peers", "links", lambda app: links)
    app.add_part("membership", "view", lambda app: members)
    names = [
        ("driver", "fake"),
        ("coordination", "orders"),
        ("coordination", "leases"),
        ("coordination", "eras"),
        ("coordination", "succession"),
        ("coordination", "watch"),
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
    recall.setup(app)
    return promotion.Promoter(app=app), app.part("coordination", "view")


async def test_change_stops_if_the_record_has_changed():
    """Guards against a second change of primary with the fencing token of the first."""
    store = _Store()
    promoter, store_view = _promoter(store, _Part())
    before = records.PrimaryRecord(group="g", primary="t-1", token=3, holder="vm-2", changing=False)
    after = dataclasses.replace(before, primary="t-2", token=4)
    value = json.dumps(dataclasses.asdict(after))
    store_view.apply_row(records.ControlRow(key="groups/g", version=9, value=value))
    await promoter._replace_primary("g", before, "the primary is not reached")
    assert store.writes == 0


class _RestoredStore(_Store):
    """Accepts writes in its second era."""

    async def put_row(self, key: str, value: object, etag: str | None) -> rows.Row:
        """Write the row."""
        return rows.Row(key=key, value=value, etag="9", era=2)


async def test_write_that_is_accepted_in_the_next_era_counts_as_failed():
    """Guards against a change that replaces a record of a restored store which it never read.

    The version in its condition was given out again.
    """
    promoter, store_view = _promoter(_RestoredStore(), _Part())
    record = records.PrimaryRecord(group="g", primary="t-1", token=3, holder="vm-1", changing=True)
    row = records.ControlRow(key="groups/g", version=5, value="{}")
    assert await promoter._write_record(record, row) is None
    assert store_view.row("groups/g") is None
    assert store_view.newest_era == 2


class _Links:
    """Confirms lease recalls for some entry VMs; requests to the others fail."""

    def __init__(self, answering: set[str]) -> None:
        self._answering = answering

    def add_heartbeat_value(self, name: str, source: object, sink: object) -> None:
        """Accept a heartbeat value and ignore it."""

    async def request(self, vm: str, message: object, timeout: float) -> object:
        """Confirm the recall, or fail like a peer that does not answer."""
        if vm not in self._answering:
            raise errors.PeerError("no answer", step="request", peer=vm, sent=True)
        return records.LeaseRecalled(vm=vm)


def _member_row(vm: str, version: int, **fields: object) -> records.ControlRow:
    entry = records.MemberEntry(
        vm=vm, failure_domain="a", peer_address="127.0.0.1:1", incarnation="x", **fields
    )
    value = json.dumps(dataclasses.asdict(entry))
    return records.ControlRow(key=f"members/{vm}", version=version, value=value)


async def test_change_waits_for_leases_of_unresponsive_entry_vms():
    """Guards against a promotion while an entry VM may still use the old primary."""
    promoter, store_view = _promoter(_Store(), _Links({"vm-2"}))
    for row in (_member_row("vm-2", 1), _member_row("vm-3", 2), _member_row("vm-4", 3)):
        store_view.apply_row(row)
    store_view.apply_row(_member_row("vm-4", 4, stopped=True))
    row = records.ControlRow(key="groups/g", version=9, value="{}")
    asked = frozenset({"vm-2", "vm-3", "vm-4"})
    recalls = promoter._recall
    answers = await recalls._request_recalls(asked, row)
    assert recalls._pending_after(asked, answers, 100.0) == {"vm-3"}


def test_change_of_a_restarted_holder_is_taken_over_early():
    """Guards against a group without a primary for the longest duration of a change."""
    promoter, _ = _promoter(_Store(), _Links(set()))
    record = records.PrimaryRecord(
        group="g", primary="t-1", token=3, holder="vm-2", changing=True, incarnation="before"
    )
    promoter._apply_heartbeat_value("vm-2", "before", 100.0)
    assert promoter._takeover_delay(record, 100.0) == promotion.TAKEOVER_DELAY_HOLDER_ALIVE
    promoter._apply_heartbeat_value("vm-2", "after", 100.0)
    assert promoter._takeover_delay(record, 100.0) == promotion.TAKEOVER_DELAY_HOLDER_DEAD
    own = dataclasses.replace(record, holder="vm-1")
    assert promoter._takeover_delay(own, 100.0) == 0.0
