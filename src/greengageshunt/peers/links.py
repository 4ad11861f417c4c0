"""The links to all peers, and what heartbeats carry."""

import asyncio
import logging
from collections import abc
from typing import Any

from greengageshunt import application, config, errors, model
from greengageshunt.peers import link, messages

logger = logging.getLogger(__name__)

RECONCILE_INTERVAL = 0.2  # seconds

# Seconds between reconciliations after which this process counts as having been paused.
PAUSE_LIMIT = 0.4

# Seconds after its last request at which a link to an entry VM that is no neighbour is closed.
# Longer than a change of primary, which asks all entry VMs several times.
ON_DEMAND_PERIOD = 15.0

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
        self._asked: set[str] = set()
        self._used_at: dict[str, float] = {}
        app.part("peers", "server").add_handler(messages.Heartbeat, self._answer_heartbeat)
        app.part("peers", "server").add_handler(messages.Leaving, self._note_leaving)

    def add_extra(
        self, name: str, source: ExtraSource, sink: ExtraSink, *, asked: bool = False
    ) -> None:
        """Let a plug-in exchange a value with each heartbeat.

        Args:
            name: Name of the value.
            source: Returns the value that an answer carries.
            sink: Takes the values of others.
            asked: Whether a heartbeat carries the value too where only hubs are asked;
                they learn from nobody else what most entry VMs know.

        Raises:
            RegistryError: The name is taken.
        """
        if name in self._sources:
            raise errors.RegistryError(f"heartbeat value {name!r} is already registered")
        self._sources[name] = source
        self._sinks[name] = sink
        if asked:
            self._asked.add(name)

    @property
    def open_connections(self) -> int:
        """Number of open links."""
        return sum(peer_link.connected for peer_link in self._links.values())

    async def request(self, vm: str, message: Any, timeout: float) -> Any:
        """Send a request to a peer and return its answer.

        A link to a member that is no neighbour is opened for the request, and kept for a while.

        Raises:
            PeerError: The peer is unknown, or the link failed.
            RefusedError: The peer refused the request.
        """
        now = self._app.clock()
        peer_link = self._links.get(vm)
        if peer_link is None:
            peer = self._view.member(vm)
            if peer is None or vm == self._view.me.vm:
                raise errors.PeerError("unknown peer", step="request", peer=vm, sent=False)
            peer_link = self._open(peer, heartbeats=peer in self._view.neighbours)
        self._used_at[vm] = now
        await peer_link.wait_connected(timeout)
        return await peer_link.request(message, timeout - (self._app.clock() - now))

    async def run(self) -> None:
        """Keep one task for each peer until cancelled."""
        reconciled_at = self._app.clock()
        try:
            while True:
                now = self._app.clock()
                interval_factor = self._view.own_interval_factor
                if now - reconciled_at > PAUSE_LIMIT * interval_factor:
                    logger.warning("process was paused", extra={"seconds": now - reconciled_at})
                    self._view.extend_deadlines(reconciled_at, now)
                reconciled_at = now
                self._reconcile()
                await asyncio.sleep(RECONCILE_INTERVAL * interval_factor)
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
        """Open and close links as the members say; links on demand end when they are idle."""
        now = self._app.clock()
        wanted = {peer.vm: peer for peer in self._view.neighbours}
        for vm, peer_link in list(self._links.items()):
            peer = self._view.member(vm)
            if peer_link.heartbeats:
                keep = wanted.get(vm) == peer_link.peer
            else:
                idle = now - self._used_at.get(vm, now) > ON_DEMAND_PERIOD
                keep = peer == peer_link.peer and vm not in wanted and not idle
            if not keep:
                self._tasks.pop(vm).cancel()
                del self._links[vm]
                self._used_at.pop(vm, None)
        for vm, peer in wanted.items():
            if vm not in self._links:
                self._open(peer, heartbeats=True)

    def _open(self, peer: model.Member, *, heartbeats: bool) -> link.PeerLink:
        interval_factor = self._view.heartbeat_interval_factor(peer.vm)
        opened = self._links[peer.vm] = link.PeerLink(
            app=self._app,
            peer=peer,
            heartbeat=self._heartbeat if heartbeats else None,
            received=self._received,
            interval=self._app.settings["peers.heartbeat"] * interval_factor,
            silence=self._app.settings["peers.silence"] * interval_factor,
        )
        self._tasks[peer.vm] = asyncio.create_task(opened.run(), name=f"peer {peer.vm}")
        return opened

    def _heartbeat(self, echo: float | None) -> messages.Heartbeat:
        return messages.Heartbeat(
            vm=self._view.me.vm,
            configuration_version=self._configuration.version,
            leaving=self._app.stopping,
            extras=self._asked_extras(),
            echo=echo,
        )

    def _asked_extras(self) -> dict[str, Any]:
        if self._view.full_mesh:
            return {}
        return {name: self._sources[name]() for name in self._asked}

    async def _answer_heartbeat(
        self, message: messages.Heartbeat, received_at: float
    ) -> messages.HeartbeatAck:
        now = self._app.clock()
        self._view.mark_leaving(message.vm, message.leaving)
        if not self._view.full_mesh:
            self._view.record_request(message.vm, now)
        if message.echo is not None:
            for name, value in message.extras.items():
                if name in self._asked:
                    self._sinks[name](message.vm, value, message.echo)
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
            answered_at=now,
        )

    async def _note_leaving(
        self, message: messages.Leaving, received_at: float
    ) -> messages.Acknowledged:
        self._view.mark_leaving(message.vm, True)
        return messages.Acknowledged()

    def _received(self, ack: messages.HeartbeatAck, sent_at: float) -> None:
        self._view.record_response(ack.vm, self._app.clock(), ack.leaving)
        for report in ack.statuses:
            # The peer answered after the sending, so the check is at least this old.
            self._directory.apply_peer_status(report.status, sent_at - report.age)
        for record in ack.groups:
            self._directory.apply_record(record, ack.vm)
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
