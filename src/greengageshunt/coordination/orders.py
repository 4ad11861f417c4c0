"""Orders to the platform to change a primary, each sent only while its fencing token is the newest.

Not every platform checks fencing tokens. An order is therefore sent only while this entry VM could
hold a lease on the record that carries its token. Another entry VM that takes over the change
first writes a newer record and recalls all leases, so its order comes after this one arrived. The
argument is in docs/decisions/0014-leases.md.
"""

import asyncio
import collections
import logging

from greengageshunt import application, logs
from greengageshunt.coordination import lease, records, view

logger = logging.getLogger(__name__)

# Seconds within which an order reaches the platform or is given up: without a response by then,
# its connection is reset.
ORDER_TIMEOUT = 1.0


def may_send(
    *,
    newest_version: int,
    version: int,
    registered: bool,
    as_of: float,
    now: float,
    era_ended: bool = False,
) -> bool:
    """Return whether an order arrives before any order with a higher token.

    Args:
        newest_version: Version of the newest known row of the group.
        version: Version of the row that carries the order's token.
        registered: Whether this process is registered. Only then does an entry VM that takes
            over wait for it.
        as_of: Last time, in monotonic seconds, at which the store is known to have held no newer
            row.
        now: Monotonic seconds.
        era_ended: Whether the store was restored from an older copy since the row was written.
            The row may be lost, so another entry VM need not have seen the token.
    """
    in_time = now + ORDER_TIMEOUT < as_of + lease.LEASE_SECONDS
    return registered and newest_version == version and in_time and not era_ended


class Orders:
    """Sends orders to change a primary, at most one for each group at a time."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._duty = app.part("duty", "failover")
        self._view: view.StoreView = app.part("coordination", "view")
        self._registry = app.part("coordination", "members")
        self._locks: dict[str, asyncio.Lock] = collections.defaultdict(asyncio.Lock)

    async def make_primary(
        self, intent: records.PrimaryRecord, row: records.ControlRow, target: str
    ) -> bool:
        """Order that a target becomes the primary; return False if the platform rejected it.

        Args:
            intent: Record of the change, with its fencing token.
            row: Row of that record.
            target: The target.

        Raises:
            PlatformError: No response, or the token may no longer be the newest. With
                ``effect_unknown`` the platform may still carry out the order.
        """
        async with self._locks[intent.group]:
            accepted = await self._duty.make_primary(
                intent.group,
                target,
                intent.holder,
                intent.token,
                may_send=lambda: self._may_send(row),
                timeout=ORDER_TIMEOUT,
            )
        logs.log_decision(
            logger,
            "order-primary",
            group=intent.group,
            target=target,
            token=intent.token,
            outcome="accepted" if accepted else "rejected",
        )
        return accepted

    async def wait_for_order(self, group: str) -> None:
        """Wait until no order of this entry VM for a group is on its way."""
        async with self._locks[group]:
            return

    def _may_send(self, row: records.ControlRow) -> bool:
        now = self._app.clock()
        newest = self._view.row(row.key)
        return may_send(
            newest_version=newest.version if newest else 0,
            version=row.version,
            registered=self._registry.registered,
            as_of=self._view.copy(records.Section.CONTROL).as_of,
            now=now,
            era_ended=self._view.newest_era != row.era,
        )


def setup(app: application.Application) -> None:
    """Register the orders."""
    app.add_part("coordination", "orders", lambda app: Orders(app=app))
