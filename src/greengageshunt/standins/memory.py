"""In-memory platform and peer links with virtual time, for measurements and tests.

The decision code of several entry VMs runs in one process: real tasks and real
messages, but no sockets, and waiting takes no time.
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

HEARTBEAT_INTERVAL = 0.25  # seconds
POLL_INTERVAL = 0.5  # seconds

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


class _SkippingSelector(selectors.SelectSelector):
    """Reports no events; waiting moves the clock of its loop instead."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("all tasks wait for each other")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time passes only while all tasks wait."""

    def __init__(self) -> None:
        self._skipping = _SkippingSelector()
        super().__init__(self._skipping)

    def time(self) -> float:
        """Return the virtual seconds."""
        return self._skipping.now


def run(main: abc.Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine in virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)


class MemoryPlatform:
    """Rows and the VM list in memory."""

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
        """Write a row if it still has the given version."""
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
class Delay:
    """One-way time of a message: a constant and a random part, in seconds."""

    least: float
    spread: float


class MemoryNetwork:
    """Delivers messages between VMs after a random delay."""

    def __init__(self, *, delay: Delay, seed: int) -> None:
        self._delay = delay
        self._random = random.Random(seed)
        self._servers: dict[str, MemoryServer] = {}
        self.cut: set[frozenset[str]] = set()
        self.delivered = 0

    def attach(self, vm: str, server: "MemoryServer") -> None:
        """Let a VM receive messages."""
        self._servers[vm] = server

    async def carry(self, sender: str, receiver: str) -> "MemoryServer":
        """Wait while a message travels, and return the receiving server.

        Waits forever if the message is lost.
        """
        await asyncio.sleep(self._delay.least + self._random.random() * self._delay.spread)
        if frozenset((sender, receiver)) in self.cut or receiver not in self._servers:
            await asyncio.Event().wait()
        self.delivered += 1
        return self._servers[receiver]


class MemoryServer:
    """Handlers of one VM, by message kind."""

    def __init__(self) -> None:
        self._handlers: dict[type, abc.Callable[[Any, float], abc.Awaitable[Any]]] = {}

    def add_handler(
        self, kind: type, handler: abc.Callable[[Any, float], abc.Awaitable[Any]]
    ) -> None:
        """Register the handler of a message kind."""
        self._handlers[kind] = handler

    async def handle(self, message: Any, received_at: float) -> Any:
        """Return the answer to a message."""
        return await self._handlers[type(message)](message, received_at)


class MemoryLinks:
    """Requests to other VMs, and the values that heartbeats carry."""

    def __init__(self, *, app: application.Application, network: MemoryNetwork) -> None:
        self._app = app
        self._network = network
        self._view = app.part("membership", "view")
        self._sources: dict[str, abc.Callable[[], Any]] = {}
        self._sinks: dict[str, abc.Callable[[str, Any, float], None]] = {}
        app.part("peers", "server").add_handler(messages.Heartbeat, self._answer)

    def add_extra(
        self,
        name: str,
        source: abc.Callable[[], Any],
        sink: abc.Callable[[str, Any, float], None],
    ) -> None:
        """Let a plug-in exchange a value with each heartbeat."""
        self._sources[name] = source
        self._sinks[name] = sink

    async def request(self, vm: str, message: Any, timeout: float) -> Any:
        """Send a request through the encoding and return its answer.

        Raises:
            PeerError: No answer came in time.
        """
        me = self._view.me.vm
        _, message = messages.decode(messages.encode(message, 1))
        try:
            async with asyncio.timeout(timeout):
                server = await self._network.carry(me, vm)
                answer = await server.handle(message, self._app.clock())
                await self._network.carry(vm, me)
        except TimeoutError:
            step = type(message).__name__
            raise errors.PeerError("no answer", step=step, peer=vm, sent=True) from None
        _, answer = messages.decode(messages.encode(answer, 1))
        return answer

    async def run(self) -> None:
        """Send heartbeats to all peers until cancelled."""
        async with asyncio.TaskGroup() as group:
            for peer in self._view.peers:
                group.create_task(self._beat(peer.vm))

    async def _beat(self, vm: str) -> None:
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

    async def _answer(
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
    """Hands the newest configuration to one VM, as the platform poller does."""

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
    """Return the application of one VM; ``run_vm`` runs it."""
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
    network.attach(member.vm, app.part("peers", "server"))
    return app


async def run_vm(app: application.Application) -> None:
    """Run the services of one VM until cancelled."""
    async with asyncio.TaskGroup() as group:
        for name in app.registry.names("service"):
            group.create_task(app.part("service", name).run())
