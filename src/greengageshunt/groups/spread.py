"""Spread of a group record that this entry VM decided from its own status checks.

Heartbeats carry the records too; a message of its own saves up to one heartbeat
interval while callers' writes are held.
"""

import asyncio
import logging

from greengageshunt import application, errors, model
from greengageshunt.peers import messages

logger = logging.getLogger(__name__)

SEND_TIMEOUT = 0.3  # seconds


class RecordSpread:
    """Tells all peers of decided records, and learns those of peers and failover daemons."""

    def __init__(self, *, app: application.Application) -> None:
        self._links = app.part("peers", "links")
        self._view = app.part("membership", "view")
        self._directory = app.part("groups", "directory")
        self._sends: set[asyncio.Task[None]] = set()
        app.part("peers", "server").add_handler(messages.GroupChanged, self._learn)
        app.events.connect("group-decided", self._tell_peers)

    async def run(self) -> None:
        """Do nothing until cancelled; events and messages drive this part."""
        try:
            await asyncio.Event().wait()
        finally:
            for send in self._sends:
                send.cancel()

    async def _learn(
        self, message: messages.GroupChanged, received_at: float
    ) -> messages.Acknowledged:
        self._directory.learn_record(message.record, message.sender)
        return messages.Acknowledged()

    def _tell_peers(self, record: model.GroupRecord) -> None:
        message = messages.GroupChanged(sender=self._view.me.vm, record=record)
        for peer in self._view.peers:
            send = asyncio.create_task(self._tell(peer.vm, message))
            self._sends.add(send)
            send.add_done_callback(self._sends.discard)

    async def _tell(self, vm: str, message: messages.GroupChanged) -> None:
        try:
            await self._links.request(vm, message, SEND_TIMEOUT)
        except (errors.PeerError, errors.RefusedError) as error:
            fields = {"peer": vm, "group": message.record.group, "reason": str(error)}
            logger.info("peer was not told of a group record", extra=fields)


def setup(app: application.Application) -> None:
    """Register the spread of group records."""
    app.add_part("service", "record-spread", lambda app: RecordSpread(app=app))
