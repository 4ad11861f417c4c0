"""The links to all peers, and what heartbeats carry."""

import asyncio
import logging
from collections import abc
from typing import Any

from greengageshunt import application, config, errors
from greengageshunt.peers import link, messages

logger = logging.getLogger(__name__)

RECONCILE_INTERVAL = 0.2  # seconds

# Seconds between reconciliations after which this process counts as having been paused.
PAUSE_LIMIT = 0.4

# Returns the value that a plug-in adds to each heartbeat's answer.
ExtraSource = abc.Callable[[], Any]

# Takes the peer's name, a value from its heartbeat's answer, and the monotonic
# seconds at which the heartbeat was sent.
ExtraSink = abc.Callable[[str, Any, float], None]


class PeerLinks:
    """Keeps one link and one task for each peer."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._view = app.part("membership", "view")
        self._directory = app.part("groups", "directory")
        self._configuration = app.part("configuration", "state")
        self._links: dict[str, link.PeerLink] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._sources: dict[str, ExtraSource] = {}
        self._sinks: dict[str, ExtraSink] = {}
        app.part("peers", "server").add_handler(messages.Heartbeat, self._answer_heartbeat)
        app.part("peers", "server").add_handler(messages.Leaving, self._note_leaving)

    def add_extra(self, name: str, source: ExtraSource, sink: ExtraSink) -> None:
        """Let a plug-in exchange a value with each heartbeat.

        Raises:
            RegistryError: The name is taken.
        """
        if name in self._sources:
            raise errors.RegistryError(f"heartbeat value {name!r} is already registered")
        self._sources[name] = source
        self._sinks[name] = sink

    @property
    def open_connections(self) -> int:
        """Number of open links."""
        return sum(peer_link.connected for peer_link in self._links.values())

    async def request(self, vm: str, message: Any, timeout: float) -> Any:
        """Send a request to a peer and return its answer.

        Raises:
            PeerError: The peer is unknown, or the link failed.
            RefusedError: The peer refused the request.
        """
        peer_link = self._links.get(vm)
        if peer_link is None:
            raise errors.PeerError("unknown peer", step="request", peer=vm, sent=False)
        return await peer_link.request(message, timeout)

    async def run(self) -> None:
        """Keep one task for each peer until cancelled."""
        reconciled_at = self._app.clock()
        try:
            while True:
                now = self._app.clock()
                if now - reconciled_at > PAUSE_LIMIT:
                    logger.warning("process was paused", extra={"seconds": now - reconciled_at})
                    self._view.excuse_silence(reconciled_at, now)
                reconciled_at = now
                self._reconcile()
                await asyncio.sleep(RECONCILE_INTERVAL)
        finally:
            for task in self._tasks.values():
                task.cancel()

    async def announce_stop(self) -> None:
        """Tell all peers that this entry VM leaves."""
        message = messages.Leaving(vm=self._view.me.vm)
        sends = [self._tell(peer_link, message) for peer_link in self._links.values()]
        await asyncio.gather(*sends)

    async def _tell(self, peer_link: link.PeerLink, message: Any) -> None:
        try:
            await peer_link.request(message, link.SILENCE_DEADLINE)
        except errors.GreengageshuntError as error:
            fields = {"peer": peer_link.peer.vm, "reason": str(error)}
            logger.info("peer was not told of the stop", extra=fields)

    def _reconcile(self) -> None:
        peers = {peer.vm: peer for peer in self._view.peers}
        for vm in list(self._links):
            if peers.get(vm) != self._links[vm].peer:
                self._tasks.pop(vm).cancel()
                del self._links[vm]
        for vm, peer in peers.items():
            if vm not in self._links:
                self._links[vm] = link.PeerLink(
                    app=self._app,
                    peer=peer,
                    heartbeat=self._heartbeat,
                    received=self._received,
                    interval=self._app.settings["peers.heartbeat"],
                    silence=self._app.settings["peers.silence"],
                )
                self._tasks[vm] = asyncio.create_task(self._links[vm].run(), name=f"peer {vm}")

    def _heartbeat(self) -> messages.Heartbeat:
        return messages.Heartbeat(
            vm=self._view.me.vm,
            configuration_version=self._configuration.version,
            leaving=self._app.stopping,
        )

    async def _answer_heartbeat(
        self, message: messages.Heartbeat, received_at: float
    ) -> messages.HeartbeatAck:
        now = self._app.clock()
        self._view.mark_leaving(message.vm, message.leaving)
        reports = tuple(
            messages.StatusReport(status=status, age=now - status.observed_at)
            for status in self._directory.own_statuses
        )
        return messages.HeartbeatAck(
            vm=self._view.me.vm,
            configuration_version=self._configuration.version,
            leaving=self._app.stopping,
            statuses=reports,
            groups=self._directory.records,
            extras={name: source() for name, source in self._sources.items()},
        )

    async def _note_leaving(
        self, message: messages.Leaving, received_at: float
    ) -> messages.Acknowledged:
        self._view.mark_leaving(message.vm, True)
        return messages.Acknowledged()

    def _received(self, ack: messages.HeartbeatAck, sent_at: float) -> None:
        self._view.record_answer(ack.vm, self._app.clock(), ack.leaving)
        for report in ack.statuses:
            # The peer answered after the sending, so the check is at least this old.
            self._directory.learn_peer_status(report.status, sent_at - report.age)
        for record in ack.groups:
            self._directory.learn_record(record, ack.vm)
        for name, value in ack.extras.items():
            if name in self._sinks:
                self._sinks[name](ack.vm, value, sent_at)
        self._app.events.emit("peer-answered", messages.PeerAnswered(ack=ack, sent_at=sent_at))


def setup(app: application.Application) -> None:
    """Register the peer links."""
    app.add_setting(
        config.Setting(
            key="peers.heartbeat",
            kind=float,
            default=link.HEARTBEAT_INTERVAL,
            doc="Seconds between two heartbeats to a peer.",
            check=config.is_positive,
        )
    )
    app.add_setting(
        config.Setting(
            key="peers.silence",
            kind=float,
            default=link.SILENCE_DEADLINE,
            doc="Seconds without a frame after which a link to a peer is replaced.",
            check=config.is_positive,
        )
    )
    app.add_event("peer-answered")
    app.add_event("late-answer")
    app.add_part("peers", "links", lambda app: PeerLinks(app=app))
    app.add_part("service", "peer-links", lambda app: app.part("peers", "links"))
