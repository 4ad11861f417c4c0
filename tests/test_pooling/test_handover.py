"""Writes around a change of primary, while the old primary still accepts them."""

import asyncio
import dataclasses

from greengageshunt import application, config
from greengageshunt.coordination import lease
from greengageshunt.pooling import execution
from greengageshunt.standins import memory


class _Part:
    """Stands in for parts that the test does not use."""

    def __getattr__(self, name: str) -> object:
        return self


class _Leases:
    """Returns the lease that the test sets."""

    def __init__(self) -> None:
        self.current = lease.Lease(
            target="t-1",
            valid=True,
            reason="confirmed",
            age=0.0,
            version=7,
            expires_at=6.0,
            changing=False,
        )

    def lease(self, group: str, now: float) -> lease.Lease:
        """Return the lease."""
        return self.current


def _executor() -> tuple[execution.Executor, _Leases]:
    app = application.Application(name="vm-1", clock=asyncio.get_running_loop().time)
    leases = _Leases()
    app.add_part("coordination", "leases", lambda app: leases)
    for role, name in [
        ("coordination", "view"),
        ("pooling", "pools"),
        ("pooling", "freshness"),
        ("membership", "view"),
    ]:
        app.add_part(role, name, lambda app: _Part())
    app.configure(config.Settings(values={}, source="test"))
    return execution.Executor(app=app), leases


class _Pool:
    class entry:  # noqa: N801 - an attribute of the pool
        target = "t-1"


def _placement(checked_at: float, *, primary: bool = True) -> execution.Placement:
    return execution.Placement(
        connection=None,
        pool=_Pool(),
        primary=primary,
        after=None,
        reason="",
        checked_at=checked_at,
        lease_expires_at=6.0,
        version=7,
    )


async def _answer_after(seconds: float) -> bool:
    """Recall the lease while a write is on its way; return whether it may be acknowledged."""
    executor, _ = _executor()
    await asyncio.sleep(1.0)
    sent_at = asyncio.get_running_loop().time()
    executor.begin_write("g")
    recall = asyncio.create_task(executor.wait_for_writes("g"))
    await asyncio.sleep(seconds)
    acknowledged = executor.may_acknowledge(_placement(sent_at), "g", sent_at)
    executor.end_write("g")
    await recall
    return acknowledged


def test_write_that_outlasts_the_recall_is_not_acknowledged():
    """Guards against an acknowledged commit that the new primary lacks.

    The entry VM confirmed the recall after 0.3 s, and an answer of the old primary that came
    later was passed on as a success.
    """
    assert memory.run(_answer_after(execution.WRITES_TIMEOUT + 0.1)) is False


def test_write_that_ends_before_the_recall_is_confirmed_is_acknowledged():
    """Guards against outcomes in doubt for writes that every later primary has."""
    assert memory.run(_answer_after(execution.WRITES_TIMEOUT / 2)) is True


async def _later_write() -> bool:
    executor, _ = _executor()
    executor.begin_write("g")
    await executor.wait_for_writes("g")
    await asyncio.sleep(0.1)
    sent_at = asyncio.get_running_loop().time()
    return executor.may_acknowledge(_placement(sent_at), "g", sent_at)


def test_write_sent_after_the_recall_is_acknowledged():
    """Guards against a primary that can acknowledge nothing after one slow write."""
    assert memory.run(_later_write()) is True


async def _renew(**fields) -> execution.Placement | None:
    executor, leases = _executor()
    leases.current = dataclasses.replace(leases.current, **fields)
    await asyncio.sleep(2.0)
    return executor.renew_lease(_placement(0.5), "g")


def test_commit_is_not_sent_to_a_primary_that_is_being_changed():
    """Guards against a commit at the old primary after the recall was confirmed.

    A lease that was valid when the transaction began counted until it expired.
    """
    assert memory.run(_renew(valid=False, changing=True)) is None
    assert memory.run(_renew(target="t-2")) is None


def test_commit_of_a_long_transaction_uses_the_lease_as_it_is_now():
    """Guards against outcomes in doubt for transactions longer than a lease."""
    renewed = memory.run(_renew(expires_at=9.0))
    assert renewed.lease_expires_at == 9.0
    assert renewed.checked_at == 2.0


async def _renew_on_replica() -> execution.Placement | None:
    executor, leases = _executor()
    leases.current = dataclasses.replace(leases.current, valid=False)
    return executor.renew_lease(_placement(0.5, primary=False), "g")


def test_replica_needs_no_lease():
    """Guards against read transactions that fail because the primary is changed."""
    assert memory.run(_renew_on_replica()) is not None
