"""Revokes the leases of all entry VMs on a primary that is being replaced."""

import asyncio
import dataclasses
import logging

from greengageshunt import application, codec, errors, logs
from greengageshunt.coordination import eras, lease, orders, records, view
from greengageshunt.pooling import execution
from greengageshunt.stores import rows

logger = logging.getLogger(__name__)

RECALL_TIMEOUT = 0.5  # seconds for an entry VM's response to a ``LeaseRecall``
RECALL_RETRY_INTERVAL = 0.2  # seconds between recalls to entry VMs that did not answer
POLL_INTERVAL = 0.08  # seconds between looks at the copy of the control table


class Recall:
    """Recalls leases for changes of primary, and answers the recalls of other entry VMs."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._orders: orders.Orders = app.part("coordination", "orders")
        self._view: view.StoreView = app.part("coordination", "view")
        self._members = app.part("membership", "view")
        self._links = app.part("peers", "links")
        self._executor: execution.Executor = app.part("pooling", "executor")
        self._eras: eras.EraMemory = app.part("coordination", "eras")
        app.part("peers", "server").add_handler(records.LeaseRecall, self._answer)

    async def revoke_leases(self, row: records.ControlRow) -> None:
        """Revoke the leases on a primary, and wait until no entry VM uses it.

        Entry VMs that do not confirm the revocation are waited for until their leases expire. So
        are those that no process knows since the store was restored from an older copy.

        Args:
            row: Row of the record that marks the change as in progress.

        Raises:
            PlatformError: The store was restored from an older copy since the row was written.
        """
        started_at = self._app.clock()
        until = started_at + lease.LEASE_SECONDS + lease.CLOCK_DRIFT_MARGIN_SECONDS
        record = codec.from_json(row.value, records.PrimaryRecord)
        await self._executor.wait_for_writes(record.group)
        # A process that registered before the row was written may hold a lease, so the copy of
        # the members must be complete up to the row's version.
        while self._view.copy(records.Section.CONTROL).position < row.position:
            if self._app.clock() >= until:
                break
            await asyncio.sleep(POLL_INTERVAL)
        pending = self._possible_holders()
        remembered = row.era == rows.FIRST_ERA
        while self._app.clock() < until:
            answers = await self._request_recalls(pending, row)
            if self._view.newest_era > row.era:
                raise errors.PlatformError(
                    f"the store's era changed from {row.era} to {self._view.newest_era}",
                    step="recall leases",
                    peer="store",
                    effect_unknown=False,
                )
            now = self._app.clock()
            remembered = (
                remembered
                or self._eras.remembers(now)
                or any(answer.remembers for answer in answers)
            )
            pending = self._pending_after(pending, answers, now)
            if not pending and remembered:
                break
            await asyncio.sleep(min(RECALL_RETRY_INTERVAL, max(0.0, until - now)))
        logs.log_decision(
            logger,
            "recall-leases",
            group=record.group,
            version=row.version,
            silent=sorted(pending),
            remembered=remembered,
            waited=round(self._app.clock() - started_at, 3),
        )

    def _possible_holders(self) -> frozenset[str]:
        """Return the other entry VMs that may have leases."""
        return frozenset(
            vm
            for vm, entry in self._view.members.items()
            if vm != self._members.me.vm and not entry.stopped
        )

    async def _request_recalls(
        self, pending: frozenset[str], row: records.ControlRow
    ) -> tuple[records.LeaseRecalled, ...]:
        """Send a ``LeaseRecall`` to entry VMs; return the answers of those that applied the row.

        An entry VM runs one process at a time, so a response from a restarted process shows that
        the process which held the lease has ended.
        """
        request = records.LeaseRecall(row=row)
        answers = await asyncio.gather(*(self._request(vm, request) for vm in pending))
        received = [answer for answer in answers if answer is not None]
        for answer in received:
            self._view.note_era(answer.era)
        return tuple(answer for answer in received if answer.era <= row.era)

    def _pending_after(
        self,
        pending: frozenset[str],
        answers: tuple[records.LeaseRecalled, ...],
        now: float,
    ) -> frozenset[str]:
        """Return the entry VMs that may still use the primary after some have answered.

        Args:
            pending: Entry VMs that were asked.
            answers: Their answers, which may name further entry VMs of ended eras.
            now: Monotonic seconds.
        """
        known = self._possible_holders()
        for answer in answers:
            self._view.keep_members(answer.unlisted, now)
        named = self._possible_holders() - known
        answered = {answer.vm for answer in answers}
        stopped = {
            vm for vm, entry in self._view.members.items() if vm in pending and entry.stopped
        }
        return (pending | named) - answered - stopped

    async def notify_peers(self, row: records.ControlRow) -> None:
        """Send the row that ends a change to all registered entry VMs."""
        request = records.LeaseRecall(row=row)
        peers = [vm for vm in self._view.members if vm != self._members.me.vm]
        await asyncio.gather(*(self._request(vm, request) for vm in peers))

    async def _request(self, vm: str, request: records.LeaseRecall) -> records.LeaseRecalled | None:
        try:
            return await self._links.request(vm, request, RECALL_TIMEOUT)
        except (errors.PeerError, errors.RefusedError) as error:
            logger.info("peer did not answer", extra={"peer": vm, "reason": str(error)})
            return None

    async def _answer(
        self, message: records.LeaseRecall, received_at: float
    ) -> records.LeaseRecalled:
        if message.row.era < self._view.newest_era:
            return records.LeaseRecalled(vm=self._members.me.vm, era=self._view.newest_era)
        self._view.apply_row(message.row)
        record = codec.from_json(message.row.value, records.PrimaryRecord)
        if record.changing:
            await self._executor.wait_for_writes(record.group)
            await self._orders.wait_for_order(record.group)
        answer = records.LeaseRecalled(vm=self._members.me.vm, era=self._view.newest_era)
        if message.row.era == rows.FIRST_ERA:
            return answer
        return dataclasses.replace(
            answer,
            remembers=self._eras.remembers(self._app.clock()),
            unlisted=self._view.members_of_ended_eras,
        )


def setup(app: application.Application) -> None:
    """Register the recall of leases."""
    app.add_part("coordination", "recall", lambda app: Recall(app=app))
