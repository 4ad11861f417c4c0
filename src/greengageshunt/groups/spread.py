"""Broadcasts a group record that this entry VM derived from its own status checks.

Heartbeats carry the records, too. A separate message arrives up to one heartbeat interval earlier,
and writes of callers wait that long for the new primary.
"""

import asyncio
import logging

from greengageshunt import application, errors, model
from greengageshunt.peers import messages

logger = logging.getLogger(__name__)

SEND_TIMEOUT = 0.3  # seconds for a peer to acknowledge a record


class RecordBroadcast:
    """Sends derived records to all peers, and stores those from peers and failover daemons."""

    def __init__(self, *, app: application.Application) -> None:
        self._links = app.part("peers", "links")
        self._view = app.part("membership", "view")
        self._directory = app.part("groups", "directory")
        self._requests: set[asyncio.Task[None]] = set()
        app.part("peers", "server").add_handler(messages.GroupChanged, self._store_record)
        app.events.connect("group-decided", self._send_to_peers)

    async def run(self) -> None:
        """Wait until cancelled, then cancel requests in progress.

        Event and message handlers do the work of this part.
        """
        try:
            await asyncio.Event().wait()
        finally:
            for task in self._requests:
                task.cancel()

    async def _store_record(
        self, message: messages.GroupChanged, received_at: float
    ) -> messages.Acknowledged:
        self._directory.apply_record(message.record, message.sender)
        return messages.Acknowledged()

    def _send_to_peers(self, record: model.GroupRecord) -> None:
        message = messages.GroupChanged(sender=self._view.me.vm, record=record)
        for peer in self._view.peers:
            task = asyncio.create_task(self._send(peer.vm, message))
            self._requests.add(task)
            task.add_done_callback(self._requests.discard)

    async def _send(self, vm: str, message: messages.GroupChanged) -> None:
        try:
            await self._links.request(vm, message, SEND_TIMEOUT)
        except (errors.PeerError, errors.RefusedError) as error:
            fields = {"peer": vm, "group": message.record.group, "reason": str(error)}
            logger.info("peer did not acknowledge a group record", extra=fields)


def setup(app: application.Application) -> None:
    """Register the broadcast of group records."""
    app.add_part("service", "record-spread", lambda app: RecordBroadcast(app=app))
