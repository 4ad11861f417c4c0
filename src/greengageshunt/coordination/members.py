"""Registers this entry VM in the store, and removes entry VMs that no longer answer."""

import asyncio
import dataclasses
import logging
import random
import uuid

from greengageshunt import application, codec, errors, logs, model
from greengageshunt.coordination import lease, records, view
from greengageshunt.membership import ownership, topology
from greengageshunt.stores import rows

logger = logging.getLogger(__name__)

MEMBER_CHECK_INTERVAL = 0.5  # seconds between checks of the registered entry VMs

# Most seconds of silence that count between two checks. The process did not run for the rest, so
# that it heard nobody.
MAX_COUNTED_INTERVAL = 1.0

# Factor on the silence that a hub counts while it hears no majority of the hubs. It may be cut off
# from them while all reach the store, and would remove them again and again.
MINORITY_FACTOR = 1 / 3

# Seconds without a sign of life after which an entry VM is marked as removed. With less than most
# restarts and partitions last, entry VMs would be removed and registered again each time. With
# more, changes of primary are slow for longer: until the row is deleted, each of them waits for
# the leases of the unresponsive process to expire.
REMOVE_AFTER = 8.0

# Seconds from the mark of a row until it is deleted; by then every lease of its process has ended.
ROW_KEPT_SECONDS = lease.LEASE_SECONDS + lease.CLOCK_DRIFT_MARGIN_SECONDS

# Seconds for the writes that mark this entry VM as stopped during its shutdown.
STOP_TIMEOUT = 0.5

WRITE_RETRY_DELAY = 0.3  # seconds after a failed write to the store


class MemberRegistry:
    """Maintains the row of this entry VM, and updates the member view from all rows."""

    restartable = True

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._store = app.selected("platform")
        self._view: view.StoreView = app.part("coordination", "view")
        self._members = app.part("membership", "view")
        self._peer_server = app.part("peers", "server")
        # Position of the row of an entry VM, and the seconds since that row was written for which
        # it was silent while this one could hear others.
        self._silent_seconds: dict[str, tuple[tuple[int, int], float]] = {}
        self._checked_at = app.clock()
        # Position of the row that marks an entry VM, and when this process first saw it.
        self._marked_at: dict[str, tuple[tuple[int, int], float]] = {}
        self._row_written = asyncio.Event()
        self._started_at = app.clock()
        me: model.Member = self._members.me
        self._me = records.MemberEntry(
            vm=me.vm,
            failure_domain=me.failure_domain,
            peer_address=me.peer_address,
            incarnation=uuid.uuid4().hex[:12],
        )
        app.events.connect("control-changed", self._update_members)

    @property
    def me(self) -> records.MemberEntry:
        """Entry of this process."""
        return self._me

    @property
    def registered(self) -> bool:
        """Whether the copy of the control table is complete up to this entry VM's row.

        The copy then shows each change of primary that started before the row was written, and
        each later change waits for this process. The copy must have been confirmed since the start
        of the process: an older one of a peer may lack what the predecessor wrote when it stopped.
        Peers must be able to connect, as a change would otherwise wait for the lease to expire.
        """
        if not self._peer_server.listening:
            return False
        row = self._view.row(view.MEMBER_PREFIX + self._me.vm)
        if row is None or not self._has_valid_row:
            return False
        copy = self._view.copy(records.Section.CONTROL)
        complete = copy.era == row.era and copy.version >= row.version
        return complete and copy.as_of >= self._started_at

    def hears_most_hubs(self, now: float) -> bool:
        """Return whether a silent hub is more likely dead than cut off from this entry VM.

        Hubs count with those marked as removed, since each side of a partition marks the other.

        Args:
            now: Monotonic seconds.
        """
        known = [entry for entry in self._view.members.values() if not entry.stopped]
        hubs = topology.hubs(tuple(view.to_member(entry) for entry in known))
        live = sum(self._members.is_live(hub.vm, now) for hub in hubs)
        return len(hubs) <= 2 or 2 * live > len(hubs)

    @property
    def row_written(self) -> asyncio.Event:
        """Event that is set once the store holds the row of this entry VM."""
        return self._row_written

    @property
    def _has_valid_row(self) -> bool:
        """Whether the store holds a valid row of this entry VM.

        A process that restarts after a crash keeps the row of its predecessor: peers address an
        entry VM by its name, so the row is valid for both processes. One that was stopping may
        have sent a write that is still on its way. The successor's own row fails its condition.
        """
        stored = self._view.member(self._me.vm)
        key = view.MEMBER_PREFIX + self._me.vm
        if self._view.row(key) is None or self._view.is_unreadable(key):
            return False
        if stored is None or stored.removed or stored.stopped:
            return False
        if stored.stopping and stored.incarnation != self._me.incarnation:
            return False
        return view.to_member(stored) == view.to_member(self._me)

    async def run(self) -> None:
        """Register this entry VM, then remove unresponsive ones until cancelled."""
        await self._app.part("coordination", "watch").control_read.wait()
        while True:
            delay = MEMBER_CHECK_INTERVAL
            try:
                if self._has_valid_row:
                    self._row_written.set()
                if self._has_valid_row or self._app.stopping:
                    await self._remove_unresponsive(self._app.clock())
                elif self._peer_server.listening:
                    await self._register()
            except errors.PlatformError as error:
                logger.info(
                    "row of a member not written to the store", extra={"reason": str(error)}
                )
                delay = WRITE_RETRY_DELAY
            await asyncio.sleep(delay * random.uniform(0.8, 1.2))

    async def stop(self) -> None:
        """Mark this entry VM as stopped, so that no change of primary waits for this process.

        The row stays in the store. A restart would otherwise change the set of registered entry
        VMs twice, and each time reassign the holders of the rate limits.
        """
        row = self._view.row(view.MEMBER_PREFIX + self._me.vm)
        if row is None or not self._has_valid_row:
            return
        stopping = dataclasses.replace(self._me, stopping=True)
        stopped = dataclasses.replace(self._me, stopped=True)
        try:
            async with asyncio.timeout(STOP_TIMEOUT):
                # A write without a response may take effect seconds later, when another process
                # of this entry VM runs. The mark is therefore sent only once the row tells that
                # process to write its own first, which ends the condition of the mark.
                announced = await self._store.put_row(
                    row.key, codec.to_plain(stopping), str(row.version)
                )
                if isinstance(announced, rows.Row):
                    await self._store.put_row(row.key, codec.to_plain(stopped), announced.etag)
        except (TimeoutError, errors.PlatformError) as error:
            logger.warning(
                "own row not marked as stopped in the store",
                extra={"reason": str(error) or type(error).__name__},
            )

    async def _register(self) -> None:
        key = view.MEMBER_PREFIX + self._me.vm
        row = self._view.row(key)
        etag = str(row.version) if row else None
        written = await self._store.put_row(key, codec.to_plain(self._me), etag)
        registered = isinstance(written, rows.Row)
        logs.log_decision(
            logger,
            "register",
            key=key,
            version=etag,
            incarnation=self._me.incarnation,
            outcome="registered" if registered else "conflict",
        )
        if registered:
            self._view.apply_row(lease.control_row(written))
            self._row_written.set()

    def _update_members(self, version: int) -> None:
        listed = [entry for entry in self._view.members.values() if not entry.removed]
        if not listed:
            return
        members = tuple(view.to_member(entry) for entry in listed)
        if self._members.replace(members):
            fields = {"members": [member.vm for member in members], "version": version}
            logs.log_decision(logger, "adopt-members", **fields)
            self._app.events.emit("members-changed", self._members.members)

    async def _remove_unresponsive(self, now: float) -> None:
        """Mark unresponsive entry VMs as removed, and delete marked rows later.

        A marked row stays until every lease of its process has expired, so that a change of
        primary still waits for that process.
        """
        elapsed = min(now - self._checked_at, MAX_COUNTED_INTERVAL)
        heard = elapsed if self._can_hear(now) else 0.0
        if self._members.is_hub and not self.hears_most_hubs(now):
            heard *= MINORITY_FACTOR
        self._checked_at = now
        for vm, entry in tuple(self._view.members.items()):
            if vm == self._me.vm or not self._is_responsible_for(entry, now):
                self._marked_at.pop(vm, None)
                # Silence before this entry VM became responsible for the other one doesn't count.
                self._silent_seconds.pop(vm, None)
            elif entry.removed:
                if now - self._marked_since(vm, now) > ROW_KEPT_SECONDS:
                    await self._delete_row(vm)
            elif self._is_unresponsive(vm, now, heard):
                await self._mark_removed(entry)

    def _is_responsible_for(self, entry: records.MemberEntry, now: float) -> bool:
        """Return whether this entry VM is the one that removes another one.

        One live hub removes an entry VM. Unless all entry VMs exchange heartbeats with each
        other, it is a hub of the same failure domain, because an entry VM sends its heartbeats
        to the hubs there; without a live hub there, it is one of another domain. If no hub is
        live at all, the neighbours of an entry VM remove it.
        """
        live = self._members.live_hubs(now)
        if not live:
            return entry.vm in {neighbour.vm for neighbour in self._members.neighbours}
        if not self._members.is_hub:
            return False
        local = [hub for hub in live if hub.failure_domain == entry.failure_domain]
        if self._members.full_mesh:
            local = []
        return ownership.rank("members", local or live)[0].vm == self._me.vm

    def _marked_since(self, vm: str, now: float) -> float:
        """Return when this process first saw the present mark of an entry VM.

        A process that registered after an earlier mark has leases of its own, so that a later mark
        counts anew.
        """
        row = self._view.row(view.MEMBER_PREFIX + vm)
        position = row.position if row is not None else (0, 0)
        known = self._marked_at.get(vm)
        if known is None or known[0] != position:
            known = self._marked_at[vm] = (position, now)
        return known[1]

    def _can_hear(self, now: float) -> bool:
        """Return whether another entry VM or the store answers this one.

        One that hears nobody is more likely to be cut off itself than to be the only one left.
        """
        if self._app.part("coordination", "watch").is_served(self._me.vm):
            return True
        return any(self._members.is_live(peer.vm, now) for peer in self._members.neighbours)

    def _is_unresponsive(self, vm: str, now: float, heard: float) -> bool:
        """Return whether an entry VM was silent for so long that it is to be removed.

        Args:
            vm: Name of the entry VM.
            now: Monotonic seconds.
            heard: Seconds since the last check for which this entry VM could hear others.
        """
        row = self._view.row(view.MEMBER_PREFIX + vm)
        position = row.position if row is not None else (0, 0)
        known, seconds = self._silent_seconds.get(vm, (None, 0.0))
        # A registration is a sign of life, too.
        silent = known == position and not self._members.is_live(vm, now)
        self._silent_seconds[vm] = (position, seconds + heard if silent else 0.0)
        return self._silent_seconds[vm][1] > REMOVE_AFTER

    async def _mark_removed(self, entry: records.MemberEntry) -> None:
        row = self._view.row(view.MEMBER_PREFIX + entry.vm)
        if row is None:
            return
        marked = dataclasses.replace(entry, removed=True)
        written = await self._store.put_row(row.key, codec.to_plain(marked), str(row.version))
        logs.log_decision(logger, "remove-member", vm=entry.vm, silent_for=REMOVE_AFTER)
        if isinstance(written, rows.Row):
            self._view.apply_row(lease.control_row(written))

    async def _delete_row(self, vm: str) -> None:
        row = self._view.row(view.MEMBER_PREFIX + vm)
        if row is not None:
            await self._store.delete_row(row.key, str(row.version))
            logs.log_decision(logger, "delete-member", vm=vm, version=row.version)
        self._marked_at.pop(vm, None)


def setup(app: application.Application) -> None:
    """Register the member registry."""
    app.add_part("coordination", "members", lambda app: MemberRegistry(app=app))
    app.add_part("service", "member-registry", lambda app: app.part("coordination", "members"))
