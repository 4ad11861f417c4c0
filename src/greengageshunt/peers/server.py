"""The peer server: accepts the links of other entry VMs and answers their requests."""

import asyncio
import logging
from collections import abc
from typing import Any

import cbor2
import websockets
from websockets.asyncio import server

from greengageshunt import application, config, errors, listening
from greengageshunt.peers import link, messages

logger = logging.getLogger(__name__)

# Receives a request and the monotonic seconds of its receipt; returns the answer.
Handler = abc.Callable[[Any, float], abc.Awaitable[Any]]


class PeerServer:
    """Serves one websocket for each peer and calls the handler of each message kind."""

    restartable = True

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._handlers: dict[type, Handler] = {}
        self._answer_tasks: set[asyncio.Task[None]] = set()
        self._idle = asyncio.Event()
        self._idle.set()
        self._listening = False

    @property
    def listening(self) -> bool:
        """Whether peers can connect."""
        return self._listening

    def add_handler(self, kind: type, handler: Handler) -> None:
        """Register the handler of a message kind.

        Raises:
            RegistryError: The kind already has a handler.
        """
        if kind in self._handlers:
            raise errors.RegistryError(f"message {kind.__name__!r} already has a handler")
        self._handlers[kind] = handler

    async def run(self) -> None:
        """Accept connections of peers until cancelled."""
        address = self._app.settings["vm.peer_address"]
        host, _, port = address.rpartition(":")

        async def start() -> server.Server:
            return await server.serve(
                self._serve,
                host,
                int(port),
                ping_interval=None,
                max_size=link.FRAME_LIMIT,
                compression=None,
                close_timeout=link.CLOSE_TIMEOUT,
            )

        async with await listening.listen("peers", address, start):
            self._listening = True
            try:
                await asyncio.Event().wait()
            finally:
                self._listening = False

    async def stop(self) -> None:
        """Wait until all pending requests of peers are answered."""
        await self._idle.wait()

    def _forget_task(self, task: asyncio.Task[None]) -> None:
        self._answer_tasks.discard(task)
        if not self._answer_tasks:
            self._idle.set()

    async def _serve(self, connection: server.ServerConnection) -> None:
        try:
            async for frame in connection:
                received_at = self._app.clock()
                correlation, message = messages.decode(frame)
                task = asyncio.create_task(
                    self._answer(connection, correlation, message, received_at)
                )
                self._answer_tasks.add(task)
                self._idle.clear()
                task.add_done_callback(self._forget_task)
        except websockets.ConnectionClosed:
            logger.info("peer closed its link", extra={"peer": str(connection.remote_address)})
        except ValueError as error:
            # After one invalid frame, later frames of the connection cannot be relied on either.
            fields = {"peer": str(connection.remote_address), "reason": str(error)}
            logger.warning("invalid message from a peer; closing its link", extra=fields)
            await connection.close(code=1003, reason="broken message")

    async def _answer(
        self,
        connection: server.ServerConnection,
        correlation: int,
        message: Any,
        received_at: float,
    ) -> None:
        answer = await self._handle(message, received_at)
        try:
            await connection.send(_encode_answer(answer, correlation))
        except websockets.ConnectionClosed:
            logger.info(
                "peer closed its link before the answer was sent",
                extra={"kind": type(message).__name__},
            )

    async def _handle(self, message: Any, received_at: float) -> Any:
        kind = type(message)
        handler = self._handlers.get(kind)
        if handler is None:
            return _failed("unknown_message", f"no handler for {kind.__name__}", "not_run")
        try:
            return await handler(message, received_at)
        except errors.RefusedError as error:
            return messages.Failed(refusal=error.refusal)
        except Exception:
            logger.exception("request of a peer failed", extra={"kind": kind.__name__})
            return _failed("internal_error", f"{kind.__name__} failed", "unknown")


def _encode_answer(answer: Any, correlation: int) -> bytes:
    """Return the frame of an answer, or of a refusal if no frame can hold the answer."""
    try:
        frame = messages.encode(answer, correlation)
    except (TypeError, ValueError, cbor2.CBOREncodeError) as error:
        logger.exception("answer cannot be encoded", extra={"kind": type(answer).__name__})
        return messages.encode(_failed("internal_error", str(error), "unknown"), correlation)
    if len(frame) <= link.FRAME_LIMIT:
        return frame
    # A frame above the limit would close the link and fail all requests on it.
    message = f"the answer of {len(frame)} bytes exceeds the limit of {link.FRAME_LIMIT} bytes"
    return messages.encode(_failed("answer_too_large", message, "unknown"), correlation)


def _failed(code: str, message: str, outcome: str) -> messages.Failed:
    return messages.Failed(
        refusal=errors.Refusal(
            code=code, message=message, outcome=errors.Outcome(outcome), step="peer"
        )
    )


def setup(app: application.Application) -> None:
    """Register the peer server."""
    app.add_setting(
        config.Setting(
            key="vm.peer_address",
            kind=str,
            doc="Address of the peer server; the peers connect to it.",
            check=config.is_address,
        )
    )
    app.add_part("peers", "server", lambda app: PeerServer(app=app))
    app.add_part("service", "peer-server", lambda app: app.part("peers", "server"))
