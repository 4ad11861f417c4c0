"""The links of one entry VM to its peers, and the values that heartbeats exchange."""

import asyncio
import logging
from collections import abc
from typing import Any

from greengageshunt import application, config, errors, model
from greengageshunt.peers import link, messages

logger = logging.getLogger(__name__)

# Seconds between two comparisons of the links with the member list. This and the pause limit are
# multiplied by the own interval factor, which is larger on an entry VM that is no hub.
RECONCILE_INTERVAL = 0.2

# Seconds between two reconciliations above which this process counts as paused, so that the
# deadlines of its peers are extended. A lower limit extends them after ordinary scheduling delays;
# a higher one takes them for dead after a short pause.
PAUSE_LIMIT = 0.4

# Seconds since its last request after which a link on demand is closed. Longer than a change of
# primary, which sends several requests to each entry VM over the same link.
ON_DEMAND_IDLE_LIMIT = 15.0

# Returns the value that a plug-in adds to each answer to a heartbeat.
ExtraSource = abc.Callable[[], Any]

# Receives the peer's name, a value that the peer sent, and a time in monotonic seconds of the
# own clock that is no later than the time at which the peer produced the value.
ExtraSink = abc.Callable[[str, Any, float], None]


class PeerLinks:
    """Runs one task for each peer link.

    Links to neighbours carry heartbeats and stay open. A link to another member is opened on
    demand and closed when it is idle.
    """

    restartable = True

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._view = app.part("membership", "view")
        self._directory = app.part("groups", "directory")
        self._configuration = app.part("configuration", "state")
        self._links: dict[str, link.PeerLink] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._sources: dict[str, ExtraSource] = {}
        self._sinks: dict[str, ExtraSink] = {}
        self._in_heartbeats: set[str] = set()
        self._used_at: dict[str, float] = {}
        app.part("peers", "server").add_handler(messages.Heartbeat, self._handle_heartbeat)
        app.part("peers", "server").add_handler(messages.Leaving, self._handle_leaving)

    def add_heartbeat_value(
        self, name: str, source: ExtraSource, sink: ExtraSink, *, in_heartbeats: bool = False
    ) -> None:
        """Register a value that each answer to a heartbeat carries.

        Args:
            name: Name of the value.
            source: Returns the own value.
            sink: Receives the values of the peers.
            in_heartbeats: Whether heartbeats carry the value too where the links are no full mesh.
                There, most entry VMs receive no heartbeats, so a hub would not learn
                their values from answers.

        Raises:
            RegistryError: The name is already registered.
        """
        if name in self._sources:
            raise errors.RegistryError(f"heartbeat value {name!r} is already registered")
        self._sources[name] = source
        self._sinks[name] = sink
        if in_heartbeats:
            self._in_heartbeats.add(name)

    @property
    def open_connections(self) -> int:
        """Number of open links."""
        return sum(peer_link.connected for peer_link in self._links.values())

    async def request(self, vm: str, message: Any, timeout: float) -> Any:
        """Send a request to a peer and return its answer.

        If there is no link to the peer, one is opened on demand. It stays open until no request
        has used it for ``ON_DEMAND_IDLE_LIMIT`` seconds.

        Args:
            vm: The peer's name.
            message: Request.
            timeout: Seconds to wait for the link and the answer together.

        Raises:
            PeerError: The peer is not a listed member, the link failed, or no answer arrived
                within the time-out.
            RefusedError: The peer refused the request.
        """
        now = self._app.clock()
        peer_link = self._links.get(vm)
        if peer_link is None:
            peer = self._view.member(vm)
            if peer is None or vm == self._view.me.vm:
                raise errors.PeerError("unknown peer", step="request", peer=vm, sent=False)
            peer_link = self._open_link(peer, sends_heartbeats=peer in self._view.neighbours)
        self._used_at[vm] = now
        await peer_link.wait_connected(timeout)
        return await peer_link.request(message, timeout - (self._app.clock() - now))

    async def run(self) -> None:
        """Open and close links as the member list changes, until cancelled."""
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
            self._tasks.clear()
            self._links.clear()

    async def announce_stop(self) -> None:
        """Announce to all linked peers that this entry VM takes no new work."""
        message = messages.Leaving(vm=self._view.me.vm)
        sends = [self._send_leaving(peer_link, message) for peer_link in self._links.values()]
        await asyncio.gather(*sends)

    async def _send_leaving(self, peer_link: link.PeerLink, message: Any) -> None:
        try:
            await peer_link.request(message, link.SILENCE_DEADLINE)
        except errors.GreengageshuntError as error:
            fields = {"peer": peer_link.peer.vm, "reason": str(error)}
            logger.info("peer did not acknowledge the announcement of the stop", extra=fields)

    def _reconcile(self) -> None:
        """Open missing links to neighbours; close links to former members and idle ones."""
        now = self._app.clock()
        neighbours_by_vm = {peer.vm: peer for peer in self._view.neighbours}
        for vm, peer_link in list(self._links.items()):
            peer = self._view.member(vm)
            if peer_link.sends_heartbeats:
                keep = neighbours_by_vm.get(vm) == peer_link.peer
            else:
                idle = now - self._used_at.get(vm, now) > ON_DEMAND_IDLE_LIMIT
                keep = peer == peer_link.peer and vm not in neighbours_by_vm and not idle
            if not keep:
                self._tasks.pop(vm).cancel()
                del self._links[vm]
                self._used_at.pop(vm, None)
        for vm, peer in neighbours_by_vm.items():
            if vm not in self._links:
                self._open_link(peer, sends_heartbeats=True)

    def _open_link(self, peer: model.Member, *, sends_heartbeats: bool) -> link.PeerLink:
        interval_factor = self._view.heartbeat_interval_factor(peer.vm)
        opened = self._links[peer.vm] = link.PeerLink(
            app=self._app,
            peer=peer,
            make_heartbeat=self._make_heartbeat if sends_heartbeats else None,
            on_ack=self._handle_ack,
            heartbeat_interval=self._app.settings["peers.heartbeat"] * interval_factor,
            silence_deadline=self._app.settings["peers.silence"] * interval_factor,
        )
        self._tasks[peer.vm] = asyncio.create_task(opened.run(), name=f"peer {peer.vm}")
        return opened

    def _make_heartbeat(self, echo: float | None) -> messages.Heartbeat:
        return messages.Heartbeat(
            vm=self._view.me.vm,
            configuration_version=self._configuration.version,
            leaving=self._app.stopping,
            extras=self._heartbeat_extras(),
            echo=echo,
        )

    def _heartbeat_extras(self) -> dict[str, Any]:
        if self._view.full_mesh:
            return {}
        return {name: self._sources[name]() for name in self._in_heartbeats}

    async def _handle_heartbeat(
        self, message: messages.Heartbeat, received_at: float
    ) -> messages.HeartbeatAck:
        now = self._app.clock()
        self._view.mark_leaving(message.vm, message.leaving)
        if not self._view.full_mesh:
            self._view.record_request(message.vm, now)
        if message.echo is not None:
            for name, value in message.extras.items():
                if name in self._in_heartbeats:
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

    async def _handle_leaving(
        self, message: messages.Leaving, received_at: float
    ) -> messages.Acknowledged:
        self._view.mark_leaving(message.vm, True)
        return messages.Acknowledged()

    def _handle_ack(self, ack: messages.HeartbeatAck, sent_at: float) -> None:
        self._view.record_response(ack.vm, self._app.clock(), ack.leaving)
        for report in ack.statuses:
            # The peer computed the age after the heartbeat was sent, so the status query was
            # sent at this time or later.
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
