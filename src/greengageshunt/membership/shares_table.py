"""Keeps the share table: reads the platform's row, joins it and passes it on."""

import asyncio
import logging
import uuid

from greengageshunt import application, codec, config, errors, logs
from greengageshunt.membership import ownership, shares, shares_messages
from greengageshunt.stores import rows

logger = logging.getLogger(__name__)

SHARES_ROW = "shares"
READ_INTERVAL = 0.5  # seconds
CHANGE_INTERVAL = 0.1  # seconds between reads while a change is not settled

# Seconds for which the first table waits for the reports of all listed VMs.
FIRST_TABLE_WAIT = 1.0

# Seconds without a report after which a VM's incarnation counts as unknown.
REPORT_DEADLINE = 1.0

PEER_TIMEOUT = 0.5  # seconds


class ShareTableKeeper:
    """Reads and changes the row ``shares`` on behalf of one VM."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._platform = app.selected("platform")
        self._members = app.part("membership", "view")
        self._links = app.part("peers", "links")
        self._shares: shares.ShareView = app.part("membership", "shares")
        self._holders = app.settings["limits.holders"]
        self._started_at = app.clock()
        self._adopted_at = app.clock()
        self._reports: dict[str, tuple[shares.Report, float]] = {}
        self._newer = asyncio.Event()
        self._links.add_extra("shares", self._report, self._note_report)
        app.part("peers", "server").add_handler(
            shares_messages.ShareTableRequest, self._answer_table
        )

    @property
    def seated(self) -> bool:
        """Whether the table with the own seat is in force."""
        table = self._shares.table
        return table is not None and self._shares.me in table.seats and self._settled

    @property
    def overdue(self) -> bool:
        """Whether the own seat should have been in force by now."""
        waited = self._app.clock() - self._started_at
        return waited > shares.TAKEOVER_BOUND + FIRST_TABLE_WAIT

    async def run(self) -> None:
        """Keep the table until cancelled."""
        while True:
            try:
                await self._read()
            except errors.PlatformError as error:
                logger.warning("share table not read", extra={"reason": str(error)})
                await self._ask_peer()
            interval = READ_INTERVAL if self._settled else CHANGE_INTERVAL
            self._newer.clear()
            try:
                async with asyncio.timeout(interval):
                    await self._newer.wait()
            except TimeoutError:
                continue

    @property
    def _settled(self) -> bool:
        return len(self._shares.bases) == 1

    async def _read(self) -> None:
        """Read the row, and write its successor if the members have changed.

        After a write whose answer was lost, the next call reads the row back
        before it writes again.
        """
        sent_at = self._app.clock()
        row = await self._platform.get_row(SHARES_ROW)
        if row is not None:
            self._adopt(codec.from_plain(row.value, shares.ShareTable), "platform")
            self._shares.note_row_read(sent_at)
        table = self._wanted()
        if table is None:
            return
        etag = row.etag if row else None
        written = await self._platform.put_row(SHARES_ROW, codec.to_plain(table), etag)
        if isinstance(written, rows.Conflict):
            self._newer.set()
            return
        self._adopt(table, "own write")
        self._shares.note_row_read(sent_at)

    def _wanted(self) -> shares.ShareTable | None:
        """Return the table that this VM should write now, or None."""
        if not self._members.listed:
            return None
        table = self._shares.table
        now = self._app.clock()
        members = [member for member in self._members.members if not member.leaving]
        incarnations = self._incarnations(now)
        if table is None:
            waited = now - self._started_at > FIRST_TABLE_WAIT
            if not waited and any(member.vm not in incarnations for member in members):
                return None
        elif not self._settled:
            return None
        seats = shares.seats_wanted(table, members, incarnations)
        change = shares.successor(table, seats, self._holders)
        return change if change and self._writes(seats, table, now) else None

    def _writes(
        self, seats: frozenset[shares.Seat], table: shares.ShareTable | None, now: float
    ) -> bool:
        me = self._shares.me
        joins = me in seats and (table is None or me not in table.seats)
        ranked = ownership.rank(SHARES_ROW, self._members.live(now))
        return joins or (bool(ranked) and ranked[0].vm == me.vm)

    def _incarnations(self, now: float) -> dict[str, str]:
        # A report from before the table may come from a process that has ended.
        found = {
            vm: report.incarnation
            for vm, (report, sent_at) in self._reports.items()
            if sent_at > self._adopted_at - (REPORT_DEADLINE if self._shares.table is None else 0)
            and now - sent_at <= REPORT_DEADLINE
        }
        found[self._shares.me.vm] = self._shares.me.incarnation
        return found

    def _adopt(self, table: shares.ShareTable, source: str) -> None:
        if not self._shares.adopt_table(table):
            return
        self._adopted_at = self._app.clock()
        logs.log_decision(
            logger,
            "adopt-shares",
            epoch=table.epoch,
            vms=[seat.vm for seat in table.seats],
            holders=table.holders,
            source=source,
        )
        self._app.events.emit("shares-changed", table)

    async def _ask_peer(self) -> None:
        """Take over a newer table from a peer during an outage of the platform."""
        epoch = self._shares.newest.epoch
        newer = [vm for vm, (report, _) in self._reports.items() if report.epoch > epoch]
        for vm in newer[:1]:
            try:
                answer = await self._links.request(
                    vm, shares_messages.ShareTableRequest(vm=self._shares.me.vm), PEER_TIMEOUT
                )
            except (errors.PeerError, errors.RefusedError) as error:
                fields = {"peer": vm, "reason": str(error)}
                logger.info("share table not received", extra=fields)
                continue
            if answer.table is not None:
                self._adopt(answer.table, vm)

    async def _answer_table(
        self, message: shares_messages.ShareTableRequest, received_at: float
    ) -> shares_messages.ShareTableAnswer:
        return shares_messages.ShareTableAnswer(table=self._shares.table)

    def _report(self) -> dict[str, object]:
        return codec.to_plain(self._shares.report)

    def _note_report(self, vm: str, value: object, sent_at: float) -> None:
        report = codec.from_plain(value, shares.Report)
        self._reports[vm] = (report, sent_at)
        self._shares.note_report(vm, report, sent_at)
        if report.epoch > self._shares.newest.epoch:
            self._newer.set()


def _check_holders(value: int) -> str | None:
    return None if value >= 1 else "an integer of at least 1"


def setup(app: application.Application) -> None:
    """Register the share table."""
    app.add_event("shares-changed")
    app.add_setting(
        config.Setting(
            key="limits.holders",
            kind=int,
            default=16,
            doc="Number of entry VMs among which the rate of one account is divided.",
            check=_check_holders,
        )
    )

    def create(app: application.Application) -> shares.ShareView:
        vm = app.settings["vm.name"]
        return shares.ShareView(me=shares.Seat(vm=vm, incarnation=uuid.uuid4().hex))

    app.add_part("membership", "shares", create)
    app.add_part("membership", "share-table", lambda app: ShareTableKeeper(app=app))
