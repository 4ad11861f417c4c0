"""Registers the own entry VM in the store, and removes those that are gone."""

import asyncio
import dataclasses
import logging
import math
import random
import uuid

from greengageshunt import application, codec, errors, logs, model
from greengageshunt.coordination import lease, records, view
from greengageshunt.membership import ownership
from greengageshunt.stores import rows

logger = logging.getLogger(__name__)

CHECK_INTERVAL = 0.5  # seconds

# Seconds of silence towards this entry VM after which another one counts as gone. Longer than
# a restart or a partition usually lasts; until the row is deleted, each change of a primary
# waits for the end of the silent process's permissions.
GONE_AFTER = 8.0

# Seconds within which the mark of a stopped process must reach the store.
STOP_TIMEOUT = 0.5

REGISTER_DELAY = 0.3  # seconds after a failed write


class MemberRegistry:
    """Keeps the own row, and the member view in line with the rows."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._store = app.selected("platform")
        self._view: view.StoreView = app.part("coordination", "view")
        self._members = app.part("membership", "view")
        self._watched_since: dict[str, float] = {}
        self._heard_at: dict[str, float] = {}
        self._removed_at: dict[str, float] = {}
        self._first_written = asyncio.Event()
        me: model.Member = self._members.me
        self._me = records.MemberEntry(
            vm=me.vm,
            failure_domain=me.failure_domain,
            peer_address=me.peer_address,
            incarnation=uuid.uuid4().hex[:12],
        )
        app.events.connect("control-changed", self._refresh)

    @property
    def me(self) -> records.MemberEntry:
        """The own entry."""
        return self._me

    @property
    def registered(self) -> bool:
        """Whether the store was read after the own row was written.

        Only then does a change of a primary that the copy does not show wait for
        this process.
        """
        row = self._view.row(view.MEMBER_PREFIX + self._me.vm)
        if row is None or not self._written:
            return False
        return self._view.copy(records.Section.CONTROL).version >= row.version

    @property
    def written(self) -> asyncio.Event:
        """Set once the store holds the own row."""
        return self._first_written

    @property
    def _written(self) -> bool:
        """Whether the store holds the own row.

        A process that restarts after a kill finds the row of the one before and leaves
        it: all are asked by their names, so nobody needs to know that it restarted.
        """
        found = self._view.members.get(self._me.vm)
        if found is None or found.removed or found.stopped:
            return False
        return view.member_of(found) == view.member_of(self._me)

    async def run(self) -> None:
        """Register, and look after the rows until cancelled."""
        await self._app.part("coordination", "watch").control_read.wait()
        while True:
            delay = CHECK_INTERVAL
            try:
                if self._written:
                    self._first_written.set()
                if not self._written and not self._app.stopping:
                    await self._register()
                else:
                    await self._remove_gone(self._app.clock())
            except errors.PlatformError as error:
                logger.info("member row not written", extra={"reason": str(error)})
                delay = REGISTER_DELAY
            await asyncio.sleep(delay * random.uniform(0.8, 1.2))

    async def stop(self) -> None:
        """Mark the own row as stopped, so that no change of a primary waits for this process.

        The row itself stays: a restart would otherwise change the registered names twice,
        and with them who holds which limits.
        """
        row = self._view.row(view.MEMBER_PREFIX + self._me.vm)
        if row is None or not self._written:
            return
        stopped = dataclasses.replace(self._me, stopped=True)
        try:
            async with asyncio.timeout(STOP_TIMEOUT):
                await self._store.put_row(row.key, codec.to_plain(stopped), str(row.version))
        except (TimeoutError, errors.PlatformError) as error:
            logger.warning("member row not marked as stopped", extra={"reason": str(error)})

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
            self._first_written.set()

    def _refresh(self, version: int) -> None:
        listed = [entry for entry in self._view.members.values() if not entry.removed]
        if not listed:
            return
        members = tuple(view.member_of(entry) for entry in listed)
        if self._members.replace(members):
            fields = {"members": [member.vm for member in members], "version": version}
            logs.log_decision(logger, "adopt-members", **fields)
            self._app.events.emit("members-changed", self._members.members)

    async def _remove_gone(self, now: float) -> None:
        """Mark silent entry VMs as removed, and delete marked rows later.

        A marked row stays for as long as a permission to use a primary can last, so
        that a change of primary still waits for its process.
        """
        for vm, entry in tuple(self._view.members.items()):
            if vm == self._me.vm or not self._watches(entry, now):
                self._removed_at.pop(vm, None)
                self._watched_since.pop(vm, None)
            elif entry.removed:
                since = self._removed_at.setdefault(vm, now)
                if now - since > lease.LEASE + lease.DRIFT:
                    await self._delete(vm)
            elif self._silent(vm, now):
                await self._mark(entry)

    def _watches(self, entry: records.MemberEntry, now: float) -> bool:
        """Return whether this entry VM removes another one if that is silent.

        One hub does so: of the other one's failure domain, whose hubs it sends
        heartbeats to, or any if no hub there answers. Without hubs that answer, their
        neighbours remove them.
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

    def _silent(self, vm: str, now: float) -> bool:
        # What was not heard before this entry VM began to watch says nothing.
        since = self._watched_since.setdefault(vm, now)
        if self._members.answers(vm, now):
            self._heard_at[vm] = now
        return now - max(self._heard_at.get(vm, -math.inf), since) > GONE_AFTER

    async def _mark(self, entry: records.MemberEntry) -> None:
        row = self._view.row(view.MEMBER_PREFIX + entry.vm)
        if row is None:
            return
        marked = dataclasses.replace(entry, removed=True)
        written = await self._store.put_row(row.key, codec.to_plain(marked), str(row.version))
        logs.log_decision(logger, "remove-member", vm=entry.vm, silent_for=GONE_AFTER)
        if isinstance(written, rows.Row):
            self._view.apply_row(lease.control_row(written))

    async def _delete(self, vm: str) -> None:
        row = self._view.row(view.MEMBER_PREFIX + vm)
        if row is not None:
            await self._store.delete_row(row.key, str(row.version))
            logs.log_decision(logger, "delete-member", vm=vm, version=row.version)
        self._removed_at.pop(vm, None)


def setup(app: application.Application) -> None:
    """Register the registry of entry VMs."""
    app.add_part("coordination", "members", lambda app: MemberRegistry(app=app))
    app.add_part("service", "member-registry", lambda app: app.part("coordination", "members"))
