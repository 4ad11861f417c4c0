"""The link to one peer: a websocket on which this entry VM sends its requests."""

import asyncio
import itertools
import logging
from collections import abc
from typing import Any

import websockets
from websockets.asyncio import client

from greengageshunt import application, errors, model
from greengageshunt.peers import messages

logger = logging.getLogger(__name__)

HEARTBEAT_INTERVAL = 0.25  # seconds
SILENCE_DEADLINE = 0.75  # seconds without a frame after which a link is replaced
OPEN_TIMEOUT = 0.75  # seconds
RECONNECT_DELAY = 0.1  # seconds

# Seconds to wait for a peer's part of a closing handshake. A silent peer would else keep a process
# from its end until the platform kills it.
CLOSE_TIMEOUT = 0.1
FRAME_LIMIT = 16 * 2**20  # bytes


class PeerLink:
    """Keeps a websocket open to one peer and matches answers to requests."""

    def __init__(
        self,
        *,
        app: application.Application,
        peer: model.Member,
        heartbeat: abc.Callable[[float | None], messages.Heartbeat] | None,
        received: abc.Callable[[messages.HeartbeatAck, float], None],
        interval: float = HEARTBEAT_INTERVAL,
        silence: float = SILENCE_DEADLINE,
    ) -> None:
        self._app = app
        self._interval = interval
        self._silence = silence
        self._peer = peer
        self._heartbeat = heartbeat
        self._received = received
        self._connection: client.ClientConnection | None = None
        self._opened = asyncio.Event()
        self._correlations = itertools.count(1)
        self._pending: dict[int, asyncio.Future[Any]] = {}
        self._late_answers = 0
        self._crossed_answers = 0

    @property
    def peer(self) -> model.Member:
        """The peer."""
        return self._peer

    @property
    def heartbeats(self) -> bool:
        """Whether the link carries heartbeats; one without them serves single requests."""
        return self._heartbeat is not None

    @property
    def connected(self) -> bool:
        """Whether the websocket is open."""
        return self._connection is not None

    @property
    def late_answers(self) -> int:
        """Number of answers that came when no request waited for them any more."""
        return self._late_answers

    @property
    def crossed_answers(self) -> int:
        """Number of answers that were not of the kind that the request expects."""
        return self._crossed_answers

    async def run(self) -> None:
        """Keep the link open until cancelled."""
        while True:
            try:
                connection = await client.connect(
                    f"ws://{self._peer.peer_address}",
                    open_timeout=OPEN_TIMEOUT,
                    close_timeout=CLOSE_TIMEOUT,
                    ping_interval=None,
                    max_size=FRAME_LIMIT,
                    compression=None,
                    proxy=None,
                )
            except (OSError, TimeoutError, websockets.WebSocketException, ValueError) as error:
                self._log("peer link refused", error)
                await asyncio.sleep(RECONNECT_DELAY)
                continue
            try:
                await self._use(connection)
            except ConnectionResetError as error:
                self._log("peer link lost", error)
            finally:
                # A peer that is silent would not answer the closing handshake.
                connection.transport.abort()

    def _log(self, message: str, error: Exception) -> None:
        fields = {"peer": self._peer.vm, "reason": str(error) or type(error).__name__}
        logger.info(message, extra=fields)

    async def wait_connected(self, timeout: float) -> None:
        """Wait until a link on demand is open; one with heartbeats is used as it is.

        Raises:
            PeerError: It does not open in time.
        """
        if self.heartbeats or self._connection is not None:
            return
        try:
            async with asyncio.timeout(timeout):
                await self._opened.wait()
        except TimeoutError:
            raise self._error("the peer link does not open", "connect", sent=False) from None

    async def request(self, message: Any, timeout: float) -> Any:
        """Send a request and return its answer.

        Args:
            message: Request.
            timeout: Seconds to wait for the answer.

        Raises:
            PeerError: The link is down, fails, or gives no answer in time.
            RefusedError: The peer refused the request.
        """
        step = type(message).__name__
        if self._connection is None:
            raise self._error("the peer link is down", step, sent=False)
        if timeout <= 0:
            raise self._error("no time is left", step, sent=False)
        correlation = next(self._correlations)
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._pending[correlation] = future
        try:
            async with asyncio.timeout(timeout):
                await self._connection.send(messages.encode(message, correlation))
                answer = await future
        except TimeoutError:
            if not self.heartbeats:
                # Nothing else notices that a link on demand has gone silent.
                self._abort()
            raise self._error(f"no answer within {timeout:.3f} s", step, sent=True) from None
        except websockets.WebSocketException as error:
            raise self._error("the peer link closed", step, sent=True) from error
        finally:
            self._pending.pop(correlation, None)
        if isinstance(answer, messages.Failed):
            raise errors.RefusedError(answer.refusal)
        if not isinstance(answer, messages.ANSWERS.get(type(message), object)):
            self._crossed_answers += 1
            raise self._error("the answer is of another kind", step, sent=True)
        return answer

    async def _use(self, connection: client.ClientConnection) -> None:
        """Send heartbeats and deliver answers until the peer is silent."""
        self._connection = connection
        self._opened.set()
        try:
            async with asyncio.TaskGroup() as group:
                if self._heartbeat is not None:
                    group.create_task(self._send_heartbeats(self._heartbeat))
                group.create_task(self._receive(connection))
        except* Exception as error:
            # Whatever a broken message does to its receiver, only the link closes.
            first = error.exceptions[0]
            raise ConnectionResetError(str(first) or type(first).__name__) from error
        finally:
            self._connection = None
            self._opened.clear()
            self._fail_pending()

    async def _receive(self, connection: client.ClientConnection) -> None:
        while True:
            # Without heartbeats a link is silent while nothing is asked.
            async with asyncio.timeout(self._silence if self.heartbeats else None):
                frame = await connection.recv(decode=False)
            correlation, message = messages.decode(frame)
            future = self._pending.get(correlation)
            if future is None or future.done():
                self._late_answers += 1
                fields = {"peer": self._peer.vm, "kind": type(message).__name__}
                logger.info("late answer dropped", extra=fields)
                self._app.events.emit("late-answer", self._peer.vm)
                continue
            future.set_result(message)

    async def _send_heartbeats(
        self, heartbeat: abc.Callable[[float | None], messages.Heartbeat]
    ) -> None:
        echo = None
        while True:
            sent_at = self._app.clock()
            try:
                ack = await self.request(heartbeat(echo), self._silence)
            except errors.GreengageshuntError as error:
                raise ConnectionResetError(str(error)) from error
            echo = ack.answered_at
            self._received(ack, sent_at)
            await asyncio.sleep(self._interval)

    def _abort(self) -> None:
        connection, self._connection = self._connection, None
        self._opened.clear()
        if connection is not None:
            connection.transport.abort()

    def _fail_pending(self) -> None:
        for future in self._pending.values():
            if not future.done():
                future.set_exception(self._error("the peer link was lost", "request", sent=True))

    def _error(self, message: str, step: str, *, sent: bool) -> errors.PeerError:
        return errors.PeerError(message, step=step, peer=self._peer.vm, sent=sent)
