"""Exchanges copies of the store's sections with peers."""

import asyncio
import logging
from collections import abc
from typing import Any

from greengageshunt import application, errors
from greengageshunt.coordination import records, view
from greengageshunt.stores import rows

logger = logging.getLogger(__name__)

COPY_TIMEOUT = 0.5  # seconds for a peer's response to a ``CopyRequest``


class CopyExchange:
    """Copies newer rows from peers, and confirms the own rows by those of peers that are equal."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._view: view.StoreView = app.part("coordination", "view")
        self._links = app.part("peers", "links")
        self._members = app.part("membership", "view")
        self._copying: dict[records.Section, asyncio.Task[None]] = {}
        self._reported_positions: dict[str, tuple[int, int]] = {}
        self._peer_eras: dict[str, int] = {}
        # Registered before the value whose era it tells. Peers of an older build do not send it.
        self._links.add_heartbeat_value("store-era", self._report_era, self._note_peer_era)
        self._links.add_heartbeat_value("store", self._heartbeat_value, self._apply_heartbeat_value)
        app.part("peers", "server").add_handler(records.CopyRequest, self._answer_copy)

    @property
    def reported_positions(self) -> abc.Mapping[str, tuple[int, int]]:
        """Newest era and version of the control table that each peer reported, by its name."""
        return self._reported_positions

    async def run(self) -> None:
        """Wait until cancelled, then cancel running copies; heartbeats start them."""
        try:
            await asyncio.Event().wait()
        finally:
            for task in self._copying.values():
                task.cancel()

    def _report_era(self) -> int:
        return self._view.copy(records.Section.CONTROL).era

    def _note_peer_era(self, vm: str, era: int, sent_at: float) -> None:
        self._peer_eras[vm] = era
        self._view.note_era(era)

    def _heartbeat_value(self) -> dict[str, Any]:
        now = self._app.clock()
        report = {}
        era = self._report_era()
        for section in view.COPIED_SECTIONS:
            copy = self._view.copy(section)
            if copy.version and copy.era == era:
                report[section.value] = [copy.version, copy.digest, now - copy.as_of]
        return report

    def _apply_heartbeat_value(self, vm: str, value: dict[str, Any], sent_at: float) -> None:
        era = self._peer_eras.get(vm, rows.FIRST_ERA)
        for name, (version, digest, age) in value.items():
            section = records.Section(name)
            if section is records.Section.CONTROL:
                known = self._reported_positions.get(vm, (era, version))
                self._reported_positions[vm] = max((era, version), known)
            copy = self._view.copy(section)
            if era == copy.era and digest == copy.digest and copy.version:
                self._view.confirm(section, digest, version, sent_at - age, era)
            elif (era, version) > copy.position and self._should_copy_from(vm, section):
                self._copying[section] = asyncio.create_task(self._copy(vm, section))

    def _should_copy_from(self, vm: str, section: records.Section) -> bool:
        """Return whether to request the newer copy of a peer now.

        Traffic between failure domains costs money, so an entry VM that is no hub requests copies
        within its own domain while a hub there answers.
        """
        if section in self._copying:
            return False
        if self._members.is_hub:
            return True
        domain = self._members.me.failure_domain
        local = {
            hub.vm
            for hub in self._members.live_hubs(self._app.clock())
            if hub.failure_domain == domain
        }
        return vm in local or not local

    async def _copy(self, vm: str, section: records.Section) -> None:
        """Copy a peer's newer rows, or all of its rows if some were removed or its era is newer."""
        copy = self._view.copy(section)
        same_era = self._peer_eras.get(vm, rows.FIRST_ERA) == copy.era
        try:
            if not (same_era and await self._copy_after(vm, section, copy.version)):
                await self._copy_after(vm, section, 0)
        except errors.GreengageshuntError as error:
            logger.info(
                "no copy of a section received from a peer",
                extra={"peer": vm, "reason": str(error)},
            )
        finally:
            self._copying.pop(section, None)

    async def _copy_after(self, vm: str, section: records.Section, after: int) -> bool:
        """Copy a peer's rows above a version; return False if that does not suffice.

        The result then differs from the peer's copy and is not applied: rows were removed, which
        only a copy of all rows can show.

        Raises:
            PeerError: The peer did not answer.
            RefusedError: The peer rejected the request.
        """
        sent_at = self._app.clock()
        request = records.CopyRequest(section=section, after=after)
        answer = await self._links.request(vm, request, COPY_TIMEOUT)
        changes = records.Changes(
            is_snapshot=not after,
            rows=answer.control if section is records.Section.CONTROL else answer.targets,
            removed=(),
            version=answer.version,
            as_of=sent_at - answer.age,
            era=answer.era,
        )
        copy = self._view.copy(section)
        if after and (answer.era != copy.era or view.apply(copy, changes).digest != answer.digest):
            return False
        self._view.apply(section, changes, vm)
        return True

    async def _answer_copy(
        self, message: records.CopyRequest, received_at: float
    ) -> records.CopyAnswer:
        copy = self._view.copy(message.section)
        rows = tuple(row for row in copy.rows.values() if row.version > message.after)
        control = message.section is records.Section.CONTROL
        return records.CopyAnswer(
            section=message.section,
            version=copy.version,
            digest=copy.digest,
            age=self._app.clock() - copy.as_of,
            era=copy.era,
            control=rows if control else (),
            targets=() if control else rows,
        )


def setup(app: application.Application) -> None:
    """Register the exchange of copies."""
    app.add_part("coordination", "copies", lambda app: CopyExchange(app=app))
    app.add_part("service", "copies", lambda app: app.part("coordination", "copies"))
