"""In-memory platform and peer links with virtual time, for measurements and tests.

The decision code of several entry VMs runs in one process, with the same tasks and
messages as in production. There are no sockets, and waiting takes no real time.
"""

import asyncio
import dataclasses
import random
import selectors
from collections import abc
from typing import Any

from greengageshunt import application, config, errors, model
from greengageshunt.peers import messages
from greengageshunt.programs import common
from greengageshunt.stores import rows

HEARTBEAT_INTERVAL = 0.25  # seconds from a heartbeat response to the next heartbeat
POLL_INTERVAL = 0.5  # seconds between polls of the configuration

EXTENSIONS = (
    "greengageshunt.invariants",
    "greengageshunt.membership.view",
    "greengageshunt.configuration.state",
    "greengageshunt.scheduling.fair",
    "greengageshunt.scheduling.fifo",
    "greengageshunt.membership.shares_table",
    "greengageshunt.admission.static_split",
    "greengageshunt.admission.central_bucket",
    "greengageshunt.admission.leased_shares",
)


class _VirtualTimeSelector(selectors.SelectSelector):
    """Selector without events; a wait with a time-out advances its clock at once."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("deadlock: all tasks wait and no timer is set")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock advances only while all tasks wait."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds from the creation of the loop."""
        return self._virtual_selector.now


def run(main: abc.Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine in virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)


class MemoryPlatform:
    """Platform that stores rows and the list of entry VMs in memory."""

    def __init__(self, *, members: tuple[model.Member, ...]) -> None:
        self.members = members
        self.down = False
        self._rows: dict[str, tuple[Any, int]] = {}

    async def get_row(self, key: str) -> rows.Row | None:
        """Return a row, or None."""
        self._check(f"GET {key}", effect_unknown=False)
        if key not in self._rows:
            return None
        value, version = self._rows[key]
        return rows.Row(key=key, value=value, etag=str(version))

    async def put_row(self, key: str, value: Any, etag: str | None) -> rows.Row | rows.Conflict:
        """Write a row if its version still has the given etag; None requires a new row."""
        self._check(f"PUT {key}", effect_unknown=True)
        _, version = self._rows.get(key, (None, 0))
        if (etag or "0") != str(version):
            return rows.Conflict(key=key)
        self._rows[key] = (value, version + 1)
        return rows.Row(key=key, value=value, etag=str(version + 1))

    def _check(self, step: str, *, effect_unknown: bool) -> None:
        if self.down:
            raise errors.PlatformError(
                "platform is down", step=step, peer="memory", effect_unknown=effect_unknown
            )


@dataclasses.dataclass(frozen=True, kw_only=True)
class MessageDelay:
    """One-way delay of a message, uniform from ``least`` to ``least + spread`` seconds."""

    least: float
    spread: float


class MemoryNetwork:
    """Delivers messages between VMs after a random delay.

    ``cut`` holds the pairs of VMs between which messages are lost, ``delivered_messages`` is
    the number of delivered messages, requests and responses alike.
    """

    def __init__(self, *, delay: MessageDelay, seed: int) -> None:
        self._delay = delay
        self._random = random.Random(seed)
        self._servers: dict[str, MemoryServer] = {}
        self.cut: set[frozenset[str]] = set()
        self.delivered_messages = 0

    def add_server(self, vm: str, server: "MemoryServer") -> None:
        """Register the server that receives the messages to a VM."""
        self._servers[vm] = server

    async def transmit(self, sender: str, receiver: str) -> "MemoryServer":
        """Wait for the delay of a message, and return the receiving server.

        Never returns if the message is lost, so that the caller's time-out expires.
        """
        await asyncio.sleep(self._delay.least + self._random.random() * self._delay.spread)
        if frozenset((sender, receiver)) in self.cut or receiver not in self._servers:
            await asyncio.Event().wait()
        self.delivered_messages += 1
        return self._servers[receiver]


class MemoryServer:
    """Message handlers of one VM, by message class."""

    def __init__(self) -> None:
        self._handlers: dict[type, abc.Callable[[Any, float], abc.Awaitable[Any]]] = {}

    def add_handler(
        self, kind: type, handler: abc.Callable[[Any, float], abc.Awaitable[Any]]
    ) -> None:
        """Register the handler of a message class."""
        self._handlers[kind] = handler

    async def handle(self, message: Any, received_at: float) -> Any:
        """Return the response of the message's handler."""
        return await self._handlers[type(message)](message, received_at)


class MemoryLinks:
    """Sends requests to other VMs, and exchanges plug-in values in heartbeats."""

    def __init__(self, *, app: application.Application, network: MemoryNetwork) -> None:
        self._app = app
        self._network = network
        self._view = app.part("membership", "view")
        self._sources: dict[str, abc.Callable[[], Any]] = {}
        self._sinks: dict[str, abc.Callable[[str, Any, float], None]] = {}
        app.part("peers", "server").add_handler(messages.Heartbeat, self._answer_heartbeat)

    def add_heartbeat_value(
        self,
        name: str,
        source: abc.Callable[[], Any],
        sink: abc.Callable[[str, Any, float], None],
    ) -> None:
        """Register a value that each heartbeat response contains.

        Args:
            name: Name of the value.
            source: Returns the value that this VM sends.
            sink: Called with the VM, its value, and the time in seconds at which this VM
                sent the heartbeat.
        """
        self._sources[name] = source
        self._sinks[name] = sink

    async def request(self, vm: str, message: Any, timeout: float) -> Any:
        """Send a request to a VM and return the response.

        Encodes and decodes both, as a connection does.

        Raises:
            PeerError: No response arrived within ``timeout`` seconds.
        """
        me = self._view.me.vm
        _, message = messages.decode(messages.encode(message, 1))
        try:
            async with asyncio.timeout(timeout):
                server = await self._network.transmit(me, vm)
                answer = await server.handle(message, self._app.clock())
                await self._network.transmit(vm, me)
        except TimeoutError:
            step = type(message).__name__
            raise errors.PeerError("no answer", step=step, peer=vm, sent=True) from None
        _, answer = messages.decode(messages.encode(answer, 1))
        return answer

    async def run(self) -> None:
        """Send heartbeats to all peers until cancelled."""
        async with asyncio.TaskGroup() as group:
            for peer in self._view.peers:
                group.create_task(self._send_heartbeats(peer.vm))

    async def _send_heartbeats(self, vm: str) -> None:
        heartbeat = messages.Heartbeat(vm=self._view.me.vm, configuration_version=0, leaving=False)
        while True:
            sent_at = self._app.clock()
            try:
                ack = await self.request(vm, heartbeat, 3 * HEARTBEAT_INTERVAL)
            except errors.PeerError:
                continue
            self._view.record_response(vm, self._app.clock(), False)
            for name, value in ack.extras.items():
                self._sinks[name](vm, value, sent_at)
            await asyncio.sleep(HEARTBEAT_INTERVAL)

    async def _answer_heartbeat(
        self, message: messages.Heartbeat, received_at: float
    ) -> messages.HeartbeatAck:
        return messages.HeartbeatAck(
            vm=self._view.me.vm,
            configuration_version=0,
            leaving=False,
            statuses=(),
            groups=(),
            extras={name: source() for name, source in self._sources.items()},
        )


class ConfigurationPoller:
    """Adopts the newest configuration in one VM at intervals, as the platform poller does."""

    def __init__(
        self,
        *,
        app: application.Application,
        platform: MemoryPlatform,
        newest: abc.Callable[[], model.Configuration],
    ) -> None:
        self._app = app
        self._platform = platform
        self._newest = newest

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            if not self._platform.down:
                self._app.part("configuration", "state").adopt(self._newest(), "memory")
                self._app.events.emit("configuration-read", self._app.clock())
            await asyncio.sleep(POLL_INTERVAL)


def create_vm(
    member: model.Member,
    *,
    platform: MemoryPlatform,
    network: MemoryNetwork,
    newest: abc.Callable[[], model.Configuration],
    admission: str,
) -> application.Application:
    """Return the configured application of one VM, for ``run_vm`` to run."""
    app = application.Application(name=member.vm, clock=lambda: asyncio.get_running_loop().time())
    common.add_common_settings(app)
    app.add_setting(config.Setting(key="vm.peer_address", kind=str, doc="Not used."))
    app.add_event("configuration-read")
    app.add_part("platform", "memory", lambda app: platform)
    app.add_part("peers", "server", lambda app: MemoryServer())
    app.add_part("peers", "links", lambda app: MemoryLinks(app=app, network=network))
    app.add_part(
        "service",
        "poller",
        lambda app: ConfigurationPoller(app=app, platform=platform, newest=newest),
    )
    app.add_part("service", "links", lambda app: app.part("peers", "links"))
    for extension in EXTENSIONS:
        app.setup_extension(extension)
    text = (
        f'[vm]\nname = "{member.vm}"\nfailure_domain = "{member.failure_domain}"\n'
        f'peer_address = "{member.peer_address}"\n[invariants]\nstrict = true\n'
        f'[parts]\nplatform = "memory"\nadmission = "{admission}"\n'
    )
    app.configure(config.parse(text, app.declared_settings, "memory"))
    app.part("membership", "view").replace(platform.members)
    app.selected("admission")
    network.add_server(member.vm, app.part("peers", "server"))
    return app


async def run_vm(app: application.Application) -> None:
    """Run the services of one VM until cancelled."""
    async with asyncio.TaskGroup() as group:
        for name in app.registry.names("service"):
            group.create_task(app.part("service", name).run())
