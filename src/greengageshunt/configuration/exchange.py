"""Exchange of configurations between entry VMs, for when the platform does not answer."""

import asyncio
import logging
from collections import abc
from typing import Any

from greengageshunt import application, errors
from greengageshunt.peers import messages

logger = logging.getLogger(__name__)

EXCHANGE_TIMEOUT = 0.75  # seconds

# Seconds for which a peer may stay behind before it is sent the configuration.
# Within them it usually reads the platform or asks by itself.
OFFER_DELAY = 1.0


class ConfigurationExchange:
    """Fetches newer configurations from peers and offers the own one to those behind."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._configuration = app.part("configuration", "state")
        self._view = app.part("membership", "view")
        self._links = app.part("peers", "links")
        self._behind_since: dict[str, float] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        server = app.part("peers", "server")
        server.add_handler(messages.ConfigurationRequest, self._answer_request)
        server.add_handler(messages.ConfigurationOffer, self._answer_offer)
        app.events.connect("peer-answered", self._compare)

    async def run(self) -> None:
        """Do nothing until cancelled; answers of peers start the exchanges."""
        try:
            await asyncio.Event().wait()
        finally:
            for task in self._tasks.values():
                task.cancel()

    def _compare(self, answered: messages.PeerAnswered) -> None:
        vm, version = answered.ack.vm, answered.ack.configuration_version
        if version > self._configuration.version:
            self._start(vm, self._fetch(vm))
        if version >= self._configuration.version:
            self._behind_since.pop(vm, None)
            return
        since = self._behind_since.setdefault(vm, answered.sent_at)
        # A peer without any version may not know whom to ask.
        if version == 0 or answered.sent_at - since >= OFFER_DELAY:
            self._start(vm, self._offer(vm))

    def _start(self, vm: str, exchange: abc.Coroutine[Any, Any, None]) -> None:
        running = self._tasks.get(vm)
        if running is not None and not running.done():
            exchange.close()
            return
        self._tasks[vm] = asyncio.create_task(exchange, name=f"configuration {vm}")

    async def _fetch(self, vm: str) -> None:
        request = messages.ConfigurationRequest(version=self._configuration.version)
        try:
            answer = await self._links.request(vm, request, EXCHANGE_TIMEOUT)
        except errors.GreengageshuntError as error:
            self._log(vm, error)
            return
        self.take(answer)

    async def _offer(self, vm: str) -> None:
        try:
            await self._links.request(vm, self._message(), EXCHANGE_TIMEOUT)
        except errors.GreengageshuntError as error:
            self._log(vm, error)

    async def _answer_request(
        self, message: messages.ConfigurationRequest, received_at: float
    ) -> messages.ConfigurationOffer:
        return self._message()

    async def _answer_offer(
        self, message: messages.ConfigurationOffer, received_at: float
    ) -> messages.Acknowledged:
        self.take(message)
        return messages.Acknowledged()

    def take(self, offer: messages.ConfigurationOffer) -> None:
        """Adopt a peer's configuration, and its list of members if there is no own one."""
        self._configuration.adopt(offer.configuration, offer.vm)
        if not self._view.list_read and offer.members:
            self._view.replace(offer.members)
            self._app.events.emit("members-changed", self._view.members)

    def _message(self) -> messages.ConfigurationOffer:
        return messages.ConfigurationOffer(
            vm=self._view.me.vm,
            configuration=self._configuration.current,
            members=self._view.members if self._view.list_read else (),
        )

    def _log(self, vm: str, error: errors.GreengageshuntError) -> None:
        logger.info("configuration exchange failed", extra={"peer": vm, "reason": str(error)})


def setup(app: application.Application) -> None:
    """Register the exchange of configurations."""
    app.add_part("configuration", "exchange", lambda app: ConfigurationExchange(app=app))
    app.add_part(
        "service", "configuration-exchange", lambda app: app.part("configuration", "exchange")
    )
