"""Orders to the platform, whose fencing tokens it may not check."""

import asyncio
import dataclasses
import json

import pytest

from greengageshunt import application, config, errors
from greengageshunt.coordination import lease, orders, recall, records, view
from greengageshunt.standins import memory


def _may_send(**fields) -> bool:
    given = {"newest_version": 7, "version": 7, "registered": True, "as_of": 99.0, "now": 100.0}
    return orders.may_send(**{**given, **fields})


def test_order_is_sent_while_its_token_is_the_newest():
    """Guards against changes of primary that never get to their order."""
    assert _may_send()


def test_order_with_an_older_token_is_not_sent():
    """Guards against an order of a holder whose change another entry VM has taken over."""
    assert not _may_send(newest_version=8)


def test_order_is_not_sent_on_old_knowledge():
    """Guards against an order after a freeze, which arrives after that of the next holder."""
    arrives_too_late = 99.0 + lease.LEASE_SECONDS - orders.ORDER_TIMEOUT
    assert not _may_send(now=arrives_too_late)
    assert _may_send(now=arrives_too_late - 0.01)


def test_unregistered_process_sends_no_order():
    """Guards against an order of a removed process, for which the next holder does not wait."""
    assert not _may_send(registered=False)


INTENT = records.PrimaryRecord(group="g", primary="t-1", token=5, holder="vm-1", changing=True)


def _row(record: records.PrimaryRecord, version: int) -> records.ControlRow:
    value = json.dumps(dataclasses.asdict(record))
    return records.ControlRow(key="groups/g", version=version, value=value)


class _Platform:
    """Accepts orders without checking their tokens, some time after they were sent.

    Args:
        connect_seconds: Seconds from the call until the request is sent.
        travel_seconds: Seconds from then until the platform carries it out.
    """

    def __init__(self, *, connect_seconds: float = 0.0, travel_seconds: float = 0.0) -> None:
        self._connect_seconds = connect_seconds
        self._travel_seconds = travel_seconds
        self.tokens: list[int] = []

    async def make_primary(self, group, target, holder, token, *, may_send, timeout) -> bool:
        """Carry out an order."""
        await asyncio.sleep(self._connect_seconds)
        if not may_send():
            raise errors.PlatformError("late", step="order", peer="p", effect_unknown=False)
        await asyncio.sleep(self._travel_seconds)
        self.tokens.append(token)
        return True


class _Registry:
    registered = True


def _orders(platform: _Platform) -> tuple[orders.Orders, view.StoreView]:
    clock = asyncio.get_running_loop().time
    app = application.Application(name="vm-1", clock=clock)
    view.setup(app)
    orders.setup(app)
    app.add_part("duty", "failover", lambda app: platform)
    app.add_part("coordination", "members", lambda app: _Registry())
    app.configure(config.Settings(values={}, source="test"))
    store_view = app.part("coordination", "view")
    changes = records.Changes(
        is_snapshot=True, rows=(_row(INTENT, 7),), removed=(), version=7, as_of=clock()
    )
    store_view.apply(records.Section.CONTROL, changes, "store")
    return app.part("coordination", "orders"), store_view


async def _freeze_before_the_order() -> list[int]:
    platform = _Platform(connect_seconds=20.0)
    own_orders, _ = _orders(platform)
    with pytest.raises(errors.PlatformError):
        await own_orders.make_primary(INTENT, _row(INTENT, 7), "t-2")
    return platform.tokens


def test_holder_that_froze_before_its_order_does_not_send_it():
    """Guards against a lower token after a higher one where the platform checks none."""
    assert memory.run(_freeze_before_the_order()) == []


async def _order_after_a_restore() -> list[int]:
    platform = _Platform()
    own_orders, store_view = _orders(platform)
    store_view.note_era(2)
    with pytest.raises(errors.PlatformError):
        await own_orders.make_primary(INTENT, _row(INTENT, 7), "t-2")
    return platform.tokens


def test_holder_that_knows_of_a_restore_does_not_send_its_order():
    """Guards against an order whose record the restored store has lost."""
    assert memory.run(_order_after_a_restore()) == []


class _Executor:
    async def wait_for_writes(self, group: str) -> None:
        """Return at once."""


class _Members:
    class me:  # noqa: N801 - an attribute of the member view
        vm = "vm-1"


async def _take_over_during_an_order() -> list[int]:
    platform = _Platform(travel_seconds=0.8)
    own_orders, store_view = _orders(platform)
    recalls = recall.Recall.__new__(recall.Recall)
    recalls._view, recalls._orders = store_view, own_orders
    recalls._executor, recalls._members = _Executor(), _Members()
    order = asyncio.create_task(own_orders.make_primary(INTENT, _row(INTENT, 7), "t-2"))
    await asyncio.sleep(0.1)
    taken_over = dataclasses.replace(INTENT, token=6, holder="vm-2")
    await recalls._answer(records.LeaseRecall(row=_row(taken_over, 8)), 0.0)
    platform.tokens.append(taken_over.token)
    await order
    return platform.tokens


def test_recall_is_confirmed_after_the_own_order_arrived():
    """Guards against two holders whose orders cross on the way to the platform."""
    assert memory.run(_take_over_during_an_order()) == [5, 6]
