"""Peer links to a peer that answers late, wrongly, invalidly or not at all."""

import asyncio
import contextlib
import dataclasses

import cbor2
import pytest
from websockets.asyncio import server

from greengageshunt import application, errors, model
from greengageshunt.peers import link, messages

ACK = messages.HeartbeatAck(
    vm="vm-2", configuration_version=1, leaving=False, statuses=(), groups=(), extras={}
)
INVALID_FRAMES = (
    b"",
    b"\xff\xff",
    b"text",
    cbor2.dumps([["Executed"], 1, {}]),
    cbor2.dumps(["Unknown", 1, {}]),
    cbor2.dumps(["Acknowledged", "1", {}]),
    cbor2.dumps(["HeartbeatAck", 1, {"vm": 1}]),
    cbor2.dumps(["Executed", 1, {"answer": {"rows": [[[]]]}}]),
    b"\x81" * 5000,
)


class Peer:
    """A peer that sends the frames which a test gives as answers to ``Leaving``.

    Attributes:
        connections: Number of connections that were opened.
        answers: For each request, a function from its correlation id to the frames to send.
        silent: Whether the peer sends nothing on its first connection.
        echoes: Number of the connection and ``echo`` of each heartbeat.
    """

    def __init__(self):
        self.connections = 0
        self.answers = []
        self.silent = False
        self.echoes = []

    async def serve(self, connection):
        """Answer the messages on one connection."""
        self.connections += 1
        number = self.connections
        async for frame in connection:
            correlation, message = messages.decode(frame)
            if self.silent and number == 1:
                continue
            if isinstance(message, messages.Heartbeat):
                self.echoes.append((number, message.echo))
                answer = dataclasses.replace(ACK, answered_at=float(len(self.echoes)))
                await connection.send(messages.encode(answer, correlation))
            elif self.answers:
                for frame_to_send in self.answers.pop(0)(correlation):
                    await connection.send(frame_to_send)


@contextlib.asynccontextmanager
async def _linked():
    peer = Peer()
    async with server.serve(peer.serve, "127.0.0.1", 0, ping_interval=None) as listening:
        host, port = listening.sockets[0].getsockname()
        app = application.Application(name="test")
        app.add_event("late-answer")
        peer_link = link.PeerLink(
            app=app,
            peer=model.Member(vm="vm-2", failure_domain="klang", peer_address=f"{host}:{port}"),
            make_heartbeat=lambda echo: messages.Heartbeat(
                vm="vm-1", configuration_version=1, leaving=False, echo=echo
            ),
            on_ack=lambda ack, sent_at: None,
        )
        task = asyncio.create_task(peer_link.run())
        try:
            await _wait_connected(peer_link)
            yield peer, peer_link
        finally:
            task.cancel()
            await asyncio.wait({task})


async def _wait_connected(peer_link):
    async with asyncio.timeout(5):
        while not peer_link.connected:  # noqa: ASYNC110 - links have no event
            await asyncio.sleep(0.01)


def _acknowledged(correlation):
    return [messages.encode(messages.Acknowledged(), correlation)]


async def _send_request(peer_link, timeout=2.0):
    return await peer_link.request(messages.Leaving(vm="vm-1"), timeout)


async def test_late_answer_is_dropped_and_counted():
    """Guards against giving the late answer of a request that timed out to the next request."""
    async with _linked() as (peer, peer_link):
        unanswered = []

        def withhold_answer(correlation):
            unanswered.append(correlation)
            return []

        peer.answers = [withhold_answer, lambda correlation: _acknowledged(unanswered[0])]
        for _ in range(2):
            with pytest.raises(errors.PeerError) as caught:
                await _send_request(peer_link, timeout=0.1)
            assert caught.value.sent
        async with asyncio.timeout(5):
            while not peer_link.late_answers:  # noqa: ASYNC110 - links have no event
                await asyncio.sleep(0.01)
        assert peer_link.late_answers == 1
        peer.answers = [_acknowledged]
        assert await _send_request(peer_link) == messages.Acknowledged()


async def test_answer_of_another_kind_is_refused():
    """Guards against accepting an answer whose type belongs to another kind of request."""
    async with _linked() as (peer, peer_link):
        peer.answers = [lambda correlation: [messages.encode(ACK, correlation)]]
        with pytest.raises(errors.PeerError):
            await _send_request(peer_link)
        assert peer_link.mismatched_answers == 1


async def test_answers_in_any_order_reach_their_requests():
    """Guards against matching answers to requests by order instead of by correlation id."""
    async with _linked() as (peer, peer_link):
        correlations = []

        def collect(correlation):
            correlations.append(correlation)
            return []

        def answer_reversed(correlation):
            return [
                messages.encode(
                    messages.Failed(
                        refusal=errors.Refusal(
                            code=str(number),
                            message="",
                            outcome=errors.Outcome.NOT_RUN,
                            step="test",
                        )
                    ),
                    number,
                )
                for number in reversed([*correlations, correlation])
            ]

        peer.answers = [collect, collect, answer_reversed]
        results = await asyncio.gather(
            *(_send_request(peer_link) for _ in range(3)), return_exceptions=True
        )
        codes = [int(error.refusal.code) for error in results]
        assert codes == sorted(codes) and len(set(codes)) == 3


@pytest.mark.parametrize("frame", INVALID_FRAMES)
async def test_broken_answer_closes_the_link_and_a_new_one_works(frame):
    """Guards against an invalid message that ends the link's task, so that no link is reopened."""
    async with _linked() as (peer, peer_link):
        peer.answers = [lambda correlation: [frame]]
        with pytest.raises(errors.PeerError):
            await _send_request(peer_link)
        peer.answers = [_acknowledged]
        await _wait_connected(peer_link)
        assert await _send_request(peer_link) == messages.Acknowledged()
        assert peer.connections == 2


async def test_silent_link_is_replaced_within_a_second():
    """Guards against requests that wait on an open link whose peer sends no frames."""
    async with _linked() as (peer, peer_link):
        peer.silent = True
        began = asyncio.get_running_loop().time()
        with pytest.raises(errors.PeerError):
            await _send_request(peer_link, timeout=5.0)
        await _wait_connected(peer_link)
        elapsed = asyncio.get_running_loop().time() - began
        peer.answers = [_acknowledged]
        assert await _send_request(peer_link) == messages.Acknowledged()
        assert elapsed <= 1.0


async def test_heartbeat_repeats_the_time_of_the_last_answer_on_its_connection():
    """Guards against a hub that takes the positions in a heartbeat for newer than they are.

    A heartbeat may arrive long after it was sent, so the hub dates its values by its own
    answer that the heartbeat echoes. After a restart the hub's clock is another one, so a
    heartbeat on a new connection echoes nothing.
    """
    async with _linked() as (peer, peer_link):
        async with asyncio.timeout(5):
            while len(peer.echoes) < 3:  # noqa: ASYNC110 - heartbeats have no event
                await asyncio.sleep(0.02)
        assert peer.echoes[:3] == [(1, None), (1, 1.0), (1, 2.0)]
        count = len(peer.echoes)
        peer_link._abort()
        async with asyncio.timeout(5):
            while len(peer.echoes) <= count + 1:  # noqa: ASYNC110 - heartbeats have no event
                await asyncio.sleep(0.02)
        assert next(echo for number, echo in peer.echoes if number == 2) is None
