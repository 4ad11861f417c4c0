"""The link to one peer: a websocket on which this entry VM sends requests to that peer."""

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

HEARTBEAT_INTERVAL = 0.25  # seconds from the answer to one heartbeat until the next is sent
SILENCE_DEADLINE = 0.75  # seconds without a frame from the peer after which a link is reopened
OPEN_TIMEOUT = 0.75  # seconds for connecting to the peer and the websocket handshake
RECONNECT_DELAY = 0.1  # seconds between a failed connection attempt and the next one

# Seconds to wait for a peer's part of the closing handshake. Without this limit, a silent peer
# would delay the exit of a stopping process until the platform kills it.
CLOSE_TIMEOUT = 0.1
FRAME_LIMIT = 16 * 2**20  # bytes of one websocket frame, in either direction


class PeerLink:
    """Keeps a websocket open to one peer and matches answers to requests.

    Args:
        app: The application.
        peer: The peer.
        make_heartbeat: Returns the next heartbeat. Its argument is the time of the peer's last
            answer on this connection, on the peer's monotonic clock, or None before the first.
            None for a link on demand, which carries no heartbeats.
        on_ack: Receives each answer to a heartbeat, and the monotonic seconds at which the
            heartbeat was sent.
        heartbeat_interval: Seconds from the answer to one heartbeat until the next is sent.
        silence_deadline: Seconds without a frame after which a link with heartbeats is reopened.
    """

    def __init__(
        self,
        *,
        app: application.Application,
        peer: model.Member,
        make_heartbeat: abc.Callable[[float | None], messages.Heartbeat] | None,
        on_ack: abc.Callable[[messages.HeartbeatAck, float], None],
        heartbeat_interval: float = HEARTBEAT_INTERVAL,
        silence_deadline: float = SILENCE_DEADLINE,
    ) -> None:
        self._app = app
        self._heartbeat_interval = heartbeat_interval
        self._silence_deadline = silence_deadline
        self._peer = peer
        self._make_heartbeat = make_heartbeat
        self._on_ack = on_ack
        self._connection: client.ClientConnection | None = None
        self._opened = asyncio.Event()
        self._correlations = itertools.count(1)
        self._pending: dict[int, asyncio.Future[Any]] = {}
        self._late_answers = 0
        self._mismatched_answers = 0

    @property
    def peer(self) -> model.Member:
        """The member at the other end of the link."""
        return self._peer

    @property
    def sends_heartbeats(self) -> bool:
        """Whether the link carries heartbeats; a link on demand carries only requests."""
        return self._make_heartbeat is not None

    @property
    def connected(self) -> bool:
        """Whether the websocket is open."""
        return self._connection is not None

    @property
    def late_answers(self) -> int:
        """Number of answers that arrived after their request had ended, such as by a time-out."""
        return self._late_answers

    @property
    def mismatched_answers(self) -> int:
        """Number of answers whose type was not the answer type of their request."""
        return self._mismatched_answers

    async def run(self) -> None:
        """Keep the link open until cancelled; reopen it whenever it fails."""
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
                self._log_failure("peer link could not be opened", error)
                await asyncio.sleep(RECONNECT_DELAY)
                continue
            try:
                await self._exchange_frames(connection)
            except ConnectionResetError as error:
                self._log_failure("peer link lost", error)
            finally:
                # Aborts without a closing handshake, which a silent peer would not answer.
                connection.transport.abort()

    def _log_failure(self, message: str, error: Exception) -> None:
        fields = {"peer": self._peer.vm, "reason": str(error) or type(error).__name__}
        logger.info(message, extra=fields)

    async def wait_connected(self, timeout: float) -> None:
        """Wait until a link on demand is open.

        For a link with heartbeats this returns at once, so that a request on a link that is
        down fails without waiting.

        Args:
            timeout: Seconds to wait.

        Raises:
            PeerError: The link does not open within the time-out.
        """
        if self.sends_heartbeats or self._connection is not None:
            return
        try:
            async with asyncio.timeout(timeout):
                await self._opened.wait()
        except TimeoutError:
            raise self._error(
                f"the peer link did not open within {timeout:.3f} s", "connect", sent=False
            ) from None

    async def request(self, message: Any, timeout: float) -> Any:
        """Send a request and return its answer.

        Args:
            message: Request.
            timeout: Seconds to wait for the answer.

        Raises:
            PeerError: The link is down or fails, no answer arrives within the time-out, or the
                answer has the wrong type.
            RefusedError: The peer refused the request.
        """
        step = type(message).__name__
        if self._connection is None:
            raise self._error("the peer link is down", step, sent=False)
        if timeout <= 0:
            raise self._error("the time-out expired before sending", step, sent=False)
        correlation = next(self._correlations)
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._pending[correlation] = future
        try:
            async with asyncio.timeout(timeout):
                await self._connection.send(messages.encode(message, correlation))
                answer = await future
        except TimeoutError:
            if not self.sends_heartbeats:
                # A link on demand has no heartbeats that would detect a silent peer.
                self._abort()
            raise self._error(f"no answer within {timeout:.3f} s", step, sent=True) from None
        except websockets.WebSocketException as error:
            raise self._error("the peer link closed before the answer", step, sent=True) from error
        finally:
            self._pending.pop(correlation, None)
        if isinstance(answer, messages.Failed):
            raise errors.RefusedError(answer.refusal)
        if not isinstance(answer, messages.ANSWER_TYPES.get(type(message), object)):
            self._mismatched_answers += 1
            raise self._error("the answer has the wrong type for the request", step, sent=True)
        return answer

    async def _exchange_frames(self, connection: client.ClientConnection) -> None:
        """Send heartbeats and deliver answers until the connection fails or the peer is silent.

        Raises:
            ConnectionResetError: The connection failed, the peer sent no frame within the
                silence deadline, or it sent an invalid message.
        """
        self._connection = connection
        self._opened.set()
        try:
            async with asyncio.TaskGroup() as group:
                if self._make_heartbeat is not None:
                    group.create_task(self._send_heartbeats(self._make_heartbeat))
                group.create_task(self._receive(connection))
        except* Exception as error:
            # Whichever error an invalid message raises, only this link closes: ``run`` reopens it.
            first = error.exceptions[0]
            raise ConnectionResetError(str(first) or type(first).__name__) from error
        finally:
            self._connection = None
            self._opened.clear()
            self._fail_pending()

    async def _receive(self, connection: client.ClientConnection) -> None:
        while True:
            # A link on demand carries no frames while no request is pending.
            async with asyncio.timeout(self._silence_deadline if self.sends_heartbeats else None):
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
        self, make_heartbeat: abc.Callable[[float | None], messages.Heartbeat]
    ) -> None:
        echo = None
        while True:
            sent_at = self._app.clock()
            try:
                ack = await self.request(make_heartbeat(echo), self._silence_deadline)
            except errors.GreengageshuntError as error:
                raise ConnectionResetError(str(error)) from error
            echo = ack.answered_at
            self._on_ack(ack, sent_at)
            await asyncio.sleep(self._heartbeat_interval)

    def _abort(self) -> None:
        connection, self._connection = self._connection, None
        self._opened.clear()
        if connection is not None:
            connection.transport.abort()

    def _fail_pending(self) -> None:
        for future in self._pending.values():
            if not future.done():
                future.set_exception(
                    self._error("the peer link was lost before the answer", "request", sent=True)
                )

    def _error(self, message: str, step: str, *, sent: bool) -> errors.PeerError:
        return errors.PeerError(message, step=step, peer=self._peer.vm, sent=sent)
