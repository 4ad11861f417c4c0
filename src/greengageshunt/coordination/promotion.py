"""Replaces the primary of a group when it fails or drains.

A change of primary has three steps: a conditional write of the group's record with a higher
fencing token, the revocation of all leases on the old primary, and the promotion request to the
platform. The platform may still execute a request whose response was lost. Each change therefore
sends a request with its own token, so that the platform rejects earlier requests. ``orders`` keeps
their order where the platform checks no tokens.
"""

import asyncio
import dataclasses
import logging

from greengageshunt import application, codec, errors, logs, model
from greengageshunt.coordination import (
    detection,
    lease,
    orders,
    recall,
    records,
    succession,
    view,
    watch,
)
from greengageshunt.membership import ownership
from greengageshunt.stores import rows

logger = logging.getLogger(__name__)

PRIMARY_CHECK_INTERVAL = 0.2  # seconds between checks of the primaries on a hub

# Seconds between checks of whether this entry VM has become a hub; only hubs replace primaries.
HUB_CHECK_INTERVAL = 2.0

# Seconds after which this entry VM takes over a change that another one started. If the process
# that started it is gone, or the store does not answer it, the delay is short; else it covers the
# longest duration of a change, so that two entry VMs don't replace the same primary at once.
TAKEOVER_DELAY_HOLDER_DEAD = 1.0
TAKEOVER_DELAY_HOLDER_ALIVE = (
    lease.LEASE_SECONDS
    + lease.CLOCK_DRIFT_MARGIN_SECONDS
    + succession.CATCH_UP_TIMEOUT
    + succession.PROMOTION_TIMEOUT
    + 2.0
)

# Fencing tokens that each era of the store has for itself. A token of an ended era may have been
# used although its record is lost, so the tokens of the next era are above all of them.
TOKENS_PER_ERA = 1_000_000

# Seconds by which a lease of an ended era must outlast the write that renews its record.
RENEWAL_MARGIN = 1.0

# Minimum seconds between two attempts to replace the primary of the same group.
CHANGE_INTERVAL = 1.0


def next_token(token: int, era: int) -> int:
    """Return a fencing token that is above a known one and all those of ended eras.

    Args:
        token: Highest token that is known.
        era: Era of the store in which the token is used.
    """
    return max(token, (era - rows.FIRST_ERA) * TOKENS_PER_ERA) + 1


class Promoter:
    """Checks and replaces the primaries of the groups that are assigned to this entry VM.

    Each group is assigned by rendezvous hashing to one of the live hubs that the store answers.
    While hubs disagree on these, several may act for a group. The condition on the row's version
    lets one of them begin a change, and the others take it over only as that of a dead holder.
    """

    restartable = True

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._store = app.selected("platform")
        self._orders: orders.Orders = app.part("coordination", "orders")
        self._leases: lease.Leases = app.part("coordination", "leases")
        self._succession: succession.Succession = app.part("coordination", "succession")
        self._view: view.StoreView = app.part("coordination", "view")
        self._members = app.part("membership", "view")
        self._registry = app.part("coordination", "members")
        self._detector: detection.Detector = app.part("coordination", "detector")
        self._configuration = app.part("configuration", "state")
        self._recall: recall.Recall = app.part("coordination", "recall")
        self._watch: watch.StoreWatch = app.part("coordination", "watch")
        self._changing_since: dict[str, tuple[int, float]] = {}
        self._not_before: dict[str, float] = {}
        self._incarnations: dict[str, str] = {}
        app.part("peers", "links").add_heartbeat_value(
            "incarnation", self._heartbeat_value, self._apply_heartbeat_value
        )

    async def run(self) -> None:
        """Check the assigned groups until cancelled, one task for each."""
        running: dict[str, asyncio.Task[None]] = {}
        try:
            while True:
                now = self._app.clock()
                for group in self._assigned_groups(now):
                    task = running.get(group)
                    if (task is None or task.done()) and now >= self._not_before.get(group, now):
                        running[group] = asyncio.create_task(
                            self._check(group), name=f"primary of {group}"
                        )
                await asyncio.sleep(
                    PRIMARY_CHECK_INTERVAL if self._members.is_hub else HUB_CHECK_INTERVAL
                )
        finally:
            for task in running.values():
                task.cancel()

    def _heartbeat_value(self) -> str:
        return self._registry.me.incarnation

    def _apply_heartbeat_value(self, vm: str, value: str, sent_at: float) -> None:
        self._incarnations[vm] = value

    def _assigned_groups(self, now: float) -> tuple[str, ...]:
        """Return the names of the groups that are assigned to this entry VM.

        Args:
            now: Monotonic seconds.
        """
        if self._app.stopping or not self._registry.registered:
            return ()
        if self._view.copy(records.Section.CONTROL).era < self._view.newest_era:
            return ()
        groups = self._configuration.current.groups_by_name
        me = self._members.me.vm
        if not self._members.is_hub or not self._watch.is_served(me):
            return ()
        served = self._served_hubs(now)
        return tuple(name for name in groups if ownership.rank(name, served)[0].vm == me)

    def _served_hubs(self, now: float) -> tuple[model.Member, ...]:
        """Return the live hubs that the store answers."""
        return tuple(hub for hub in self._members.live_hubs(now) if self._watch.is_served(hub.vm))

    async def _check(self, group: str) -> None:
        try:
            await self._check_once(group, self._app.clock())
        except (errors.PlatformError, errors.TargetError) as error:
            logger.warning(
                "change of primary failed",
                extra={"group": group, "peer": error.peer, "reason": str(error)},
            )
            self._not_before[group] = self._app.clock() + CHANGE_INTERVAL

    async def _check_once(self, group: str, now: float) -> None:
        record = self._view.primary_record(group)
        entries = self._view.targets_of(group)
        if self._view.is_unreadable(view.GROUP_PREFIX + group):
            await self._replace_primary(group, None, "the record cannot be decoded")
            return
        if record is None and self._view.newest_record(group) is None:
            await self._create_record(group, entries)
            return
        if record is None or record.era != self._view.copy(records.Section.CONTROL).era:
            await self._renew_record(group, record, now)
            return
        if record.changing:
            token, since = self._changing_since.get(group, (0, now))
            if token != record.token:
                self._changing_since[group] = (record.token, now)
            elif now - since > self._takeover_delay(record, now):
                await self._replace_primary(group, record, "the change was abandoned")
            return
        entry = self._view.target(record.primary)
        if entry is not None and entry.draining:
            await self._replace_primary(group, record, "the primary is draining")
        elif entries and await self._detector.is_lost(record, entry):
            await self._replace_primary(group, record, "the primary is not reached")

    def _takeover_delay(self, record: records.PrimaryRecord, now: float) -> float:
        """Return the seconds after which this entry VM takes over an unfinished change.

        Two entry VMs that reach the store but not each other would take over each other's changes
        before any of them ends, if both took the other one for dead.
        """
        if record.holder == self._members.me.vm:
            # This task alone changes the group, so an earlier attempt left the change unfinished.
            return 0.0
        if not self._members.is_live(record.holder, now):
            return (
                TAKEOVER_DELAY_HOLDER_DEAD
                if self._registry.hears_most_hubs(now)
                else TAKEOVER_DELAY_HOLDER_ALIVE
            )
        served = {member.vm for member in self._served_hubs(now)}
        same_process = self._incarnations.get(record.holder) == record.incarnation
        return (
            TAKEOVER_DELAY_HOLDER_ALIVE
            if same_process and record.holder in served
            else TAKEOVER_DELAY_HOLDER_DEAD
        )

    async def _create_record(self, group: str, entries: tuple[records.TargetEntry, ...]) -> None:
        """Write the first record of a group if exactly one target reports to be the primary."""
        copy = self._view.copy(records.Section.CONTROL)
        primaries = [entry for entry in entries if entry.primary]
        if len(primaries) != 1 or not copy.version:
            return
        record = records.PrimaryRecord(
            group=group,
            primary=primaries[0].target,
            token=1,
            holder=self._members.me.vm,
            changing=False,
            era=copy.era,
        )
        await self._write_record(record, None)

    async def _renew_record(
        self, group: str, record: records.PrimaryRecord | None, now: float
    ) -> None:
        """Write the record of a group for the first time in an era of the store.

        While this process has a lease of the era before, no change of primary can have ended, and
        none can end: it would need the answer of this process, which rejects recalls of that era.
        So the primary stays. Otherwise, a change of primary settles which target leads.

        Args:
            group: Name of the group.
            record: Record of an earlier era in the present state of the store, or None.
            now: Monotonic seconds.

        Raises:
            PlatformError: The store or the platform did not answer.
        """
        kept = self._leases.kept_record(group, now + RENEWAL_MARGIN)
        if kept is None:
            await self._replace_primary(group, record, "the store was restored from an older copy")
            return
        renewed = dataclasses.replace(
            kept, holder=self._members.me.vm, era=self._view.copy(records.Section.CONTROL).era
        )
        written = await self._write_record(renewed, self._view.row(view.GROUP_PREFIX + group))
        if written is None:
            self._not_before[group] = now + CHANGE_INTERVAL
        logs.log_decision(
            logger,
            "renew-lead",
            group=group,
            primary=renewed.primary,
            token=renewed.token,
            era=renewed.era,
            stored=record.primary if record else None,
            stored_token=record.token if record else None,
            outcome="recorded" if written else "conflict",
        )

    async def _replace_primary(
        self, group: str, record: records.PrimaryRecord | None, reason: str
    ) -> None:
        """Replace the primary of a group.

        Args:
            group: Name of the group.
            record: Record on which the decision to replace the primary is based. After a restore
                of the store, it may be older than one that this process has seen, or missing. It
                is missing, too, if its row cannot be decoded.
            reason: Reason for the log.

        Raises:
            PlatformError: The store or the platform did not answer.
        """
        row = self._view.row(view.GROUP_PREFIX + group)
        newest = self._newest_record(group, row)
        if newest is None or self._view.primary_record(group) != record:
            # Another entry VM changed the record while this one queried the hubs. A write on
            # top of the newer version would succeed and use the same token a second time.
            return
        self._not_before[group] = self._app.clock() + CHANGE_INTERVAL
        era = self._view.copy(records.Section.CONTROL).era
        intent = dataclasses.replace(
            newest,
            token=next_token(newest.token, era),
            holder=self._members.me.vm,
            incarnation=self._registry.me.incarnation,
            changing=True,
            era=era,
        )
        started_at = self._app.clock()
        logs.log_decision(
            logger,
            "change-primary",
            group=group,
            primary=newest.primary,
            token=intent.token,
            reason=reason,
            version=row.version if row else 0,
        )
        intent_row = await self._write_record(intent, row)
        if intent_row is None:
            return
        await self._recall.revoke_leases(intent_row)
        successor = await self._succession.select_successor(intent)
        if successor is None:
            logger.warning("no target can take over", extra={"group": group})
            return
        logs.log_decision(
            logger,
            "choose-successor",
            group=group,
            target=successor.entry.target,
            position=str(successor.position),
        )
        accepted = await self._orders.make_primary(intent, intent_row, successor.entry.target)
        if not accepted:
            return
        status = await self._succession.await_promotion(successor.entry)
        final = dataclasses.replace(
            intent, primary=successor.entry.target, changing=False, term=status.term
        )
        final_row = await self._write_record(final, intent_row)
        logs.log_decision(
            logger,
            "primary-changed",
            group=group,
            primary=final.primary,
            term=final.term,
            token=final.token,
            seconds=round(self._app.clock() - started_at, 3),
            outcome="recorded" if final_row else "conflict",
        )
        if final_row is not None:
            await self._recall.notify_peers(final_row)

    def _newest_record(
        self, group: str, row: records.ControlRow | None
    ) -> records.PrimaryRecord | None:
        """Return the record with the highest token that may have been used, or None.

        An unreadable row may have replaced a record with a token that this process has not seen.
        Each token was written to the store in a transaction of its own, so the row's version is
        not below the number of tokens that its era has used.

        Args:
            group: Name of the group.
            row: Row of the group's record, or None.
        """
        newest = self._view.newest_record(group)
        if row is None or not self._view.is_unreadable(row.key):
            return newest
        floor = next_token(0, row.era) + row.version
        if newest is None:
            newest = records.PrimaryRecord(
                group=group, primary="", token=floor, holder="", changing=False
            )
        return dataclasses.replace(newest, token=max(newest.token, floor))

    async def _write_record(
        self, record: records.PrimaryRecord, row: records.ControlRow | None
    ) -> records.ControlRow | None:
        """Write a group's record; return its row, or None if the stored row or the era has changed.

        Args:
            record: Record to write.
            row: Row that the write replaces, or None if the group has no record yet.

        Raises:
            PlatformError: The store did not answer.
        """
        key = view.GROUP_PREFIX + record.group
        etag = str(row.version) if row else None
        try:
            written = await self._store.put_row(key, codec.to_plain(record), etag)
        except errors.PlatformError:
            self._watch.note_failed_write(self._app.clock())
            raise
        if not isinstance(written, rows.Row):
            logs.log_decision(
                logger, "write-lead", group=record.group, version=etag, outcome="conflict"
            )
            return None
        if written.era != record.era:
            # The condition named a version of the era before, so the write proves nothing. Readers
            # ignore the record, as its own era has ended.
            self._view.note_era(written.era)
            logs.log_decision(
                logger, "write-lead", group=record.group, era=written.era, outcome="era ended"
            )
            return None
        stored = lease.control_row(written)
        self._view.apply_row(stored)
        return stored


def setup(app: application.Application) -> None:
    """Register the promoter."""
    app.add_part("coordination", "promoter", lambda app: Promoter(app=app))
    app.add_part("service", "promoter", lambda app: app.part("coordination", "promoter"))
