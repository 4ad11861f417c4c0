"""Maintenance of the share table in the platform's row, and its exchange between peers."""

import asyncio
import logging
import uuid

from greengageshunt import application, codec, config, errors, logs
from greengageshunt.membership import ownership, shares, shares_messages
from greengageshunt.stores import rows

logger = logging.getLogger(__name__)

SHARES_ROW = "shares"
READ_INTERVAL = 0.5  # seconds between reads of the row

# Seconds between reads of the row until the newest table and configuration apply.
CHANGE_READ_INTERVAL = 0.1

# Seconds for which a VM that writes the first table waits for the reports of all listed VMs.
# Without them, the first table lacks these VMs.
FIRST_TABLE_WAIT = 1.0

# Seconds after the last report from which a VM's incarnation counts as unknown.
REPORT_LIFETIME = 1.0

PEER_TIMEOUT = 0.5  # seconds to wait for a peer's share table


class ShareTableMaintainer:
    """Reads the row ``shares`` for one VM, and writes it when the members change."""

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
        self._reread_needed = asyncio.Event()
        self._links.add_heartbeat_value("shares", self._report, self._note_report)
        app.part("peers", "server").add_handler(
            shares_messages.ShareTableRequest, self._handle_request
        )

    @property
    def seated(self) -> bool:
        """Whether a table that contains the own process is in force."""
        table = self._shares.table
        return table is not None and self._shares.me in table.seats and self._newest_applies

    @property
    def overdue(self) -> bool:
        """Whether the own process has waited longer than it takes to get a share."""
        waited = self._app.clock() - self._started_at
        return waited > shares.TAKEOVER_DELAY + FIRST_TABLE_WAIT

    async def run(self) -> None:
        """Read and write the table until cancelled."""
        while True:
            try:
                await self._read()
            except errors.PlatformError as error:
                logger.warning("share table not read", extra={"reason": str(error)})
                await self._read_from_peer()
            interval = READ_INTERVAL if self._newest_applies else CHANGE_READ_INTERVAL
            self._reread_needed.clear()
            try:
                async with asyncio.timeout(interval):
                    await self._reread_needed.wait()
            except TimeoutError:
                continue

    @property
    def _newest_applies(self) -> bool:
        return len(self._shares.bases_in_force) == 1

    async def _read(self) -> None:
        """Read the row, and write the next table if the members have changed.

        If the response to a write is lost, the next call reads the row before it
        writes again.
        """
        sent_at = self._app.clock()
        row = await self._platform.get_row(SHARES_ROW)
        if row is not None:
            self._adopt(codec.from_plain(row.value, shares.ShareTable), "platform")
            self._shares.record_row_read(sent_at)
        table = self._next_table()
        if table is None:
            return
        etag = row.etag if row else None
        written = await self._platform.put_row(SHARES_ROW, codec.to_plain(table), etag)
        if isinstance(written, rows.Conflict):
            self._reread_needed.set()
            return
        self._adopt(table, "own write")
        self._shares.record_row_read(sent_at)

    def _next_table(self) -> shares.ShareTable | None:
        """Return the table that this VM should write now, or None."""
        if not self._members.list_read:
            return None
        table = self._shares.table
        now = self._app.clock()
        members = [member for member in self._members.members if not member.leaving]
        incarnations = self._incarnations(now)
        if table is None:
            wait_over = now - self._started_at > FIRST_TABLE_WAIT
            if not wait_over and any(member.vm not in incarnations for member in members):
                return None
        elif not self._newest_applies:
            return None
        seats = shares.seats_wanted(table, members, incarnations)
        change = shares.next_table(table, seats, self._holders)
        return change if change and self._should_write(seats, table, now) else None

    def _should_write(
        self, seats: frozenset[shares.Seat], table: shares.ShareTable | None, now: float
    ) -> bool:
        """Return whether this VM should write the next table.

        The VM with the highest rank writes for all. A process that joins also writes itself.
        """
        me = self._shares.me
        joins = me in seats and (table is None or me not in table.seats)
        ranked = ownership.rank(SHARES_ROW, self._members.live(now))
        return joins or (bool(ranked) and ranked[0].vm == me.vm)

    def _incarnations(self, now: float) -> dict[str, str]:
        # A report requested before the newest table was adopted may be of an ended process.
        known = {
            vm: report.incarnation
            for vm, (report, sent_at) in self._reports.items()
            if sent_at > self._adopted_at - (REPORT_LIFETIME if self._shares.table is None else 0)
            and now - sent_at <= REPORT_LIFETIME
        }
        known[self._shares.me.vm] = self._shares.me.incarnation
        return known

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

    async def _read_from_peer(self) -> None:
        """Adopt a newer table from a peer while the platform is unavailable."""
        epoch = self._shares.newest.epoch
        newer = [vm for vm, (report, _) in self._reports.items() if report.epoch > epoch]
        for vm in newer[:1]:
            try:
                response = await self._links.request(
                    vm, shares_messages.ShareTableRequest(vm=self._shares.me.vm), PEER_TIMEOUT
                )
            except (errors.PeerError, errors.RefusedError) as error:
                fields = {"peer": vm, "reason": str(error)}
                logger.info("share table not received", extra=fields)
                continue
            if response.table is not None:
                self._adopt(response.table, vm)

    async def _handle_request(
        self, message: shares_messages.ShareTableRequest, received_at: float
    ) -> shares_messages.ShareTableAnswer:
        return shares_messages.ShareTableAnswer(table=self._shares.table)

    def _report(self) -> dict[str, object]:
        return codec.to_plain(self._shares.report)

    def _note_report(self, vm: str, value: object, sent_at: float) -> None:
        report = codec.from_plain(value, shares.Report)
        self._reports[vm] = (report, sent_at)
        self._shares.record_report(vm, report, sent_at)
        if report.epoch > self._shares.newest.epoch:
            self._reread_needed.set()


def _check_holders(value: int) -> str | None:
    return None if value >= 1 else "an integer of at least 1"


def setup(app: application.Application) -> None:
    """Register the view and the maintenance of the share table."""
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
    app.add_part("membership", "share-table", lambda app: ShareTableMaintainer(app=app))
