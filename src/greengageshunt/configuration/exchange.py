"""Exchange of configurations between entry VMs, which works while the platform is unreachable."""

import asyncio
import logging
from collections import abc
from typing import Any

from greengageshunt import application, errors
from greengageshunt.peers import messages

logger = logging.getLogger(__name__)

EXCHANGE_TIMEOUT = 0.75  # seconds for one request to a peer and its answer

# Seconds for which a peer may report an older version before this entry VM offers it the newer
# one. Within them, the peer usually reads the platform or requests the configuration itself.
OFFER_DELAY = 1.0

# Seconds for which peers may report a newer version before an entry VM of a large fleet requests
# it from them. Within them, it usually reads the platform. A hub that encodes the configuration
# for all entry VMs of its failure domain at once answers nothing else for seconds.
FETCH_DELAY = 1.0


class ConfigurationExchange:
    """Fetches newer configurations from peers, and offers the own one to outdated peers."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._configuration = app.part("configuration", "state")
        self._view = app.part("membership", "view")
        self._links = app.part("peers", "links")
        self._behind_since: dict[str, float] = {}
        self._newer_since: tuple[int, float] = (0, 0.0)
        self._tasks: dict[str, asyncio.Task[None]] = {}
        server = app.part("peers", "server")
        server.add_handler(messages.ConfigurationRequest, self._handle_request)
        server.add_handler(messages.ConfigurationOffer, self._handle_offer)
        app.events.connect("peer-answered", self._compare_versions)

    async def run(self) -> None:
        """Wait until cancelled, then cancel running exchanges; answers to heartbeats start them."""
        try:
            await asyncio.Event().wait()
        finally:
            for task in self._tasks.values():
                task.cancel()

    def _compare_versions(self, answered: messages.PeerAnswered) -> None:
        vm, version = answered.ack.vm, answered.ack.configuration_version
        if version > self._configuration.version and self._should_fetch(answered.sent_at):
            self._start_exchange(vm, self._fetch(vm))
        if version >= self._configuration.version:
            self._behind_since.pop(vm, None)
            return
        since = self._behind_since.setdefault(vm, answered.sent_at)
        # A peer without a configuration may lack a member list too, and then sends no requests.
        if version == 0 or answered.sent_at - since >= OFFER_DELAY:
            self._start_exchange(vm, self._offer(vm))

    def _should_fetch(self, now: float) -> bool:
        """Return whether to request a newer configuration that a peer has, at monotonic ``now``."""
        own = self._configuration.version
        if own == 0 or self._view.full_mesh:
            return True
        if self._newer_since[0] != own:
            self._newer_since = (own, now)
        return now - self._newer_since[1] >= FETCH_DELAY

    def _start_exchange(self, vm: str, exchange: abc.Coroutine[Any, Any, None]) -> None:
        """Start an exchange with a peer unless another one with that peer is running."""
        task = self._tasks.get(vm)
        if task is not None and not task.done():
            exchange.close()
            return
        self._tasks[vm] = asyncio.create_task(exchange, name=f"configuration {vm}")

    async def _fetch(self, vm: str) -> None:
        request = messages.ConfigurationRequest(version=self._configuration.version)
        try:
            answer = await self._links.request(vm, request, EXCHANGE_TIMEOUT)
        except errors.GreengageshuntError as error:
            self._log_failure(vm, error)
            return
        self.adopt_offer(answer)

    async def _offer(self, vm: str) -> None:
        try:
            await self._links.request(vm, self._own_offer(), EXCHANGE_TIMEOUT)
        except errors.GreengageshuntError as error:
            self._log_failure(vm, error)

    async def _handle_request(
        self, message: messages.ConfigurationRequest, received_at: float
    ) -> messages.ConfigurationOffer:
        return self._own_offer()

    async def _handle_offer(
        self, message: messages.ConfigurationOffer, received_at: float
    ) -> messages.Acknowledged:
        self.adopt_offer(message)
        return messages.Acknowledged()

    def adopt_offer(self, offer: messages.ConfigurationOffer) -> None:
        """Adopt a peer's newer configuration, and its member list if none has been read yet."""
        self._configuration.adopt(offer.configuration, offer.vm)
        if not self._view.list_read and offer.members:
            self._view.replace(offer.members)
            self._app.events.emit("members-changed", self._view.members)

    def _own_offer(self) -> messages.ConfigurationOffer:
        return messages.ConfigurationOffer(
            vm=self._view.me.vm,
            configuration=self._configuration.current,
            members=self._view.members if self._view.list_read else (),
        )

    def _log_failure(self, vm: str, error: errors.GreengageshuntError) -> None:
        logger.info("configuration exchange failed", extra={"peer": vm, "reason": str(error)})


def setup(app: application.Application) -> None:
    """Register the exchange of configurations."""
    app.add_part("configuration", "exchange", lambda app: ConfigurationExchange(app=app))
    app.add_part(
        "service", "configuration-exchange", lambda app: app.part("configuration", "exchange")
    )
