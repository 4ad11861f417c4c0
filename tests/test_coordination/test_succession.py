"""Choice of the target that succeeds a primary, where commits wait for replicas."""

import asyncio
import types

import pytest

from greengageshunt import application, config, errors, model
from greengageshunt.coordination import records, succession, view
from greengageshunt.pooling import pools
from greengageshunt.standins import memory

GROUP = "g"
TARGETS = ("t-1", "t-2", "t-3")
RECORD = records.PrimaryRecord(group=GROUP, primary="t-1", token=3, holder="a-0", changing=True)


def _entry(target: str, *, draining: bool = False) -> records.TargetEntry:
    return records.TargetEntry(
        target=target,
        group=GROUP,
        address="127.0.0.1:1",
        failure_domain="a",
        slots=2,
        draining=draining,
        primary=False,
    )


LISTED = tuple(_entry(target) for target in TARGETS)


def _status(target: str, offset: int, *, draining: bool = False) -> succession.Status:
    return succession.Status(
        entry=_entry(target, draining=draining),
        primary=False,
        term=1,
        position=model.Position(term=1, offset=offset),
    )


def _choose(*statuses: succession.Status, sync_replicas: int = 1) -> str | None:
    chosen = succession.choose_complete_successor(statuses, LISTED, "t-1", sync_replicas)
    return chosen.entry.target if chosen else None


def test_replica_is_not_chosen_while_another_one_may_have_more_commits():
    """Guards against the promotion of a replica that lags because the other one did not answer."""
    assert _choose(_status("t-3", 50)) is None
    assert _choose(_status("t-3", 50), _status("t-2", 90)) == "t-2"


def test_one_missing_replica_does_not_matter_if_two_receive_each_commit():
    """Guards against a group without a primary although an answer has all commits."""
    assert _choose(_status("t-3", 50), sync_replicas=2) == "t-3"


def test_draining_replica_with_the_newest_commits_goes_before_one_without():
    """Guards against the loss of commits that only a replica which drains has received."""
    assert _choose(_status("t-2", 90, draining=True), _status("t-3", 50)) == "t-2"
    assert _choose(_status("t-2", 90, draining=True), _status("t-3", 90)) == "t-3"


def test_replaced_primary_vouches_for_a_replica_with_its_position():
    """Guards against a wait for a replica that is gone while the old primary's log is known."""
    assert _choose(_status("t-1", 90), _status("t-3", 90)) == "t-3"
    assert _choose(_status("t-1", 90), _status("t-3", 50)) == "t-1"


class _Driver:
    """Targets by name: the position they report, an error code, or None if they are down.

    A code is reported for ``full_seconds``, then the position 1.90.
    """

    def __init__(self, *, full_seconds: float, **answers: int | str | None) -> None:
        self._answers = {name.replace("_", "-"): answer for name, answer in answers.items()}
        self._full_seconds = full_seconds

    async def connect(self, entry, account, timeout):
        """Return a connection whose status call works, or raise an error."""
        await asyncio.sleep(0.002)
        answer = self._answers[entry.target]
        now = asyncio.get_running_loop().time()
        code = answer if isinstance(answer, str) and now < self._full_seconds else ""
        if answer is None or code:
            raise errors.TargetError(
                "refused", step="connect", peer=entry.target, sent=False, code=code
            )
        offset = answer if isinstance(answer, int) else 90

        async def status(timeout):
            return types.SimpleNamespace(
                primary=False, term=1, position=model.Position(term=1, offset=offset)
            )

        return types.SimpleNamespace(status=status, close=lambda: None)


def _app(driver: object, sync_replicas: int) -> application.Application:
    app = application.Application(name="a-0", clock=asyncio.get_running_loop().time)
    view.setup(app)
    limits = model.GroupLimits(group=GROUP, connection_limit=16, sync_replicas=sync_replicas)
    current = types.SimpleNamespace(groups_by_name={GROUP: limits})
    state = types.SimpleNamespace(current=current)
    members = types.SimpleNamespace(members=(None,) * 4, full_mesh=True)
    app.add_part("driver", "fake", lambda app: driver)
    app.add_part("configuration", "state", lambda app: state)
    app.add_part("membership", "view", lambda app: members)
    app.configure(config.Settings(values={"parts.driver": "fake"}, source="test"))
    pools.setup(app)
    succession.setup(app)
    rows = tuple(records.TargetRow(key=entry.target, version=1, entry=entry) for entry in LISTED)
    listed = records.Changes(is_snapshot=True, rows=rows, removed=(), version=1, as_of=0.0)
    app.part("coordination", "view").apply(records.Section.TARGETS, listed, "test")
    return app


async def _select(driver: _Driver, sync_replicas: int) -> str | None:
    chosen = await (
        _app(driver, sync_replicas).part("coordination", "succession").select_successor(RECORD)
    )
    return chosen.entry.target if chosen else None


@pytest.mark.parametrize(
    ("full_seconds", "sync_replicas", "chosen"),
    [(0.5, 1, "t-2"), (5.0, 1, None), (5.0, 0, "t-3")],
)
def test_change_waits_for_a_replica_without_free_connections(full_seconds, sync_replicas, chosen):
    """Guards against a failover that loses acknowledged commits.

    The replica with all commits rejected the status call, since its connections were in use. The
    other one, which lags, was promoted, and 40 of 93 acknowledged writes were gone.
    """
    driver = _Driver(full_seconds=full_seconds, t_1=None, t_2="CONNLIMIT", t_3=50)
    assert memory.run(_select(driver, sync_replicas)) == chosen


class _Connection:
    """An idle connection of a pool."""

    def __init__(self, entry: records.TargetEntry) -> None:
        self.entry, self.account, self.used_at = entry, "one", 0.0
        self.session_values: dict[str, str] = {}
        self.closed, self.idle = False, True

    def abort(self) -> None:
        """Close."""
        self.closed = True


class _OpenDriver:
    async def connect(self, entry, account, timeout):
        """Return a connection."""
        return _Connection(entry)


async def _connections_during_a_change(sync_replicas: int) -> list[int]:
    app = _app(_OpenDriver(), sync_replicas)
    target_pool = app.part("pooling", "pools").pool(LISTED[1])
    held = [await target_pool.acquire("one", {}, 0, 1.0) for _ in range(4)]
    target_pool.release(held.pop())
    counts = [target_pool.open]
    store_view = app.part("coordination", "view")
    value = '{"group": "g", "primary": "t-1", "token": 3, "holder": "a-0", "changing": %s}'
    for version, changing in ((5, "true"), (6, "false")):
        row = records.ControlRow(key="groups/g", version=version, value=value % changing)
        store_view.apply_row(row)
        counts.append(target_pool.open)
        counts.append(target_pool.limit(app.clock()))
    return counts


@pytest.mark.parametrize(("sync_replicas", "counts"), [(1, [4, 3, 3, 3, 4]), (0, [4, 4, 4, 4, 4])])
def test_connection_is_left_to_status_calls_during_a_change(sync_replicas, counts):
    """Guards against replicas whose connections are in use for as long as the change waits."""
    assert memory.run(_connections_during_a_change(sync_replicas)) == counts
