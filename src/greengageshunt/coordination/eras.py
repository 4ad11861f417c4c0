"""Until when processes that this one does not know may have leases of an ended era of the store.

A restored store lacks the rows of entry VMs that registered in the lost seconds. Such an entry VM
keeps the leases of the ended era until they expire. A process that was in contact with the store
until the restore knows it, and changes of primary wait for it. A process that starts later does
not. It waits until all leases of the ended era have expired, unless another process remembers that
era, or the store says that these leases have expired.
"""

import asyncio
import logging
import math

from greengageshunt import application, errors, logs
from greengageshunt.coordination import lease, records, view
from greengageshunt.membership import ownership
from greengageshunt.stores import rows

logger = logging.getLogger(__name__)

# Key of the row whose value names the last era in which all leases of earlier ones have expired.
EXPIRED_KEY = "eras/expired"

# Seconds since the last confirmation of the control table within which a process counts as having
# been in contact with the store until the restore. A watch call confirms the table every 2 s, a
# restore takes the store away for up to 2 s, and failed calls are repeated within 1 s.
CONTACT_LIMIT = 5.0

CHECK_INTERVAL = 1.0  # seconds between checks of whether the row must be written


class EraMemory:
    """Knows until when unknown processes may have leases, and writes once they have expired."""

    restartable = True

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._store = app.selected("platform")
        self._view: view.StoreView = app.part("coordination", "view")
        self._members = app.part("membership", "view")
        self._registry = app.part("coordination", "members")
        self._noted_at = -math.inf
        self._unknown_until = -math.inf
        app.events.connect("era-noted", self._note_era)

    @property
    def unknown_until(self) -> float:
        """Monotonic seconds until which unknown processes may have leases."""
        return -math.inf if self._expired_by_store else self._unknown_until

    @property
    def _expired_by_store(self) -> bool:
        """Whether the store says that all leases of earlier eras have expired."""
        row = self._view.row(EXPIRED_KEY)
        era = self._view.newest_era
        return row is not None and row.era == era and row.value == str(era)

    def remembers(self, now: float) -> bool:
        """Return whether this process knows all entry VMs that may have leases.

        Args:
            now: Monotonic seconds.
        """
        return now >= self.unknown_until

    async def run(self) -> None:
        """Write to the store, once in each era, that the leases of earlier eras have expired."""
        while True:
            if self._must_write(self._app.clock()):
                await self._write_expired()
            await asyncio.sleep(CHECK_INTERVAL)

    def _note_era(self, era: int) -> None:
        """Adjust the time to a newer era; the copy of the control table is still of the last one.

        Args:
            era: Newest era, also the first one that this process learns of.
        """
        if era == rows.FIRST_ERA:
            return
        now = self._noted_at = self._app.clock()
        copy = self._view.copy(records.Section.CONTROL)
        known = copy.version > 0 and copy.era == era - 1 and now - copy.as_of <= CONTACT_LIMIT
        if not known:
            self._unknown_until = now + lease.LEASE_SECONDS + lease.CLOCK_DRIFT_MARGIN_SECONDS
        logs.log_decision(
            logger,
            "note-era",
            era=era,
            copied_era=copy.era,
            copied=copy.version,
            remembers=known,
        )

    def _must_write(self, now: float) -> bool:
        era = self._view.newest_era
        copied = self._view.copy(records.Section.CONTROL).era
        if era <= rows.FIRST_ERA or copied != era or self._expired_by_store:
            return False
        # Counts from the time at which this process learned of the era, as those that it knows may
        # have leases, too.
        expired_at = self._noted_at + lease.LEASE_SECONDS + lease.CLOCK_DRIFT_MARGIN_SECONDS
        if now < expired_at or not self._members.is_hub or not self._registry.registered:
            return False
        return ownership.rank("eras", self._members.live_hubs(now))[0].vm == self._members.me.vm

    async def _write_expired(self) -> None:
        era = self._view.newest_era
        row = self._view.row(EXPIRED_KEY)
        etag = str(row.version) if row else None
        try:
            written = await self._store.put_row(EXPIRED_KEY, era, etag)
        except errors.PlatformError as error:
            logger.info("end of leases not written to the store", extra={"reason": str(error)})
            return
        outcome = "conflict"
        if isinstance(written, rows.Row):
            outcome = "recorded" if written.era == era else "era ended"
            self._view.apply_row(lease.control_row(written))
        logs.log_decision(logger, "leases-expired", era=era, version=etag, outcome=outcome)


def setup(app: application.Application) -> None:
    """Register the memory of ended eras."""
    app.add_part("coordination", "eras", lambda app: EraMemory(app=app))
    app.add_part("service", "eras", lambda app: app.part("coordination", "eras"))
