"""Links to entry VMs that are no neighbours, opened for single requests."""

import asyncio
import contextlib

import pytest
from websockets.asyncio import server

from greengageshunt import application, config, errors, model
from greengageshunt.membership import view
from greengageshunt.peers import links, messages
from greengageshunt.peers import server as server_module


class Peer:
    """A peer that answers each request, until it is told to be silent."""

    def __init__(self) -> None:
        self.connections = 0
        self.silent = False

    async def serve(self, connection) -> None:
        """Answer the requests of one link."""
        self.connections += 1
        async for frame in connection:
            correlation, _ = messages.decode(frame)
            if not self.silent:
                await connection.send(messages.encode(messages.Acknowledged(), correlation))


class _Empty:
    """Stands for parts whose values do not matter here."""

    version = 1
    own_statuses = ()
    records = ()


@contextlib.asynccontextmanager
async def _fleet(peer: Peer):
    """Links of an entry VM that is no hub, and a peer that is none either."""
    async with server.serve(peer.serve, "127.0.0.1", 0, ping_interval=None) as listening:
        host, port = listening.sockets[0].getsockname()
        members = tuple(
            model.Member(
                vm=f"vm-{index:02}", failure_domain=f"{index % 4}", peer_address="127.0.0.1:9"
            )
            for index in range(40)
        )
        app = application.Application(name="test")
        app.add_part("membership", "view", lambda app: seen)
        app.add_part("groups", "directory", lambda app: _Empty())
        app.add_part("configuration", "state", lambda app: _Empty())
        server_module.setup(app)
        links.setup(app)
        values = {"peers.heartbeat": 0.1, "peers.silence": 0.5}
        app.configure(config.Settings(values=values, source="test"))
        seen = view.MemberView(me=members[0], clock=app.clock, sparse=True)
        seen.replace(members)
        plain = [member for member in members if member not in seen.hubs]
        seen = view.MemberView(me=plain[0], clock=app.clock, sparse=True)
        moved = model.Member(
            vm=plain[1].vm, failure_domain=plain[1].failure_domain, peer_address=f"{host}:{port}"
        )
        seen.replace(tuple(moved if member.vm == moved.vm else member for member in members))
        peer_links = app.part("peers", "links")
        task = asyncio.create_task(peer_links.run())
        try:
            yield peer_links, moved.vm
        finally:
            task.cancel()
            await asyncio.wait({task})


async def test_request_opens_one_link_and_keeps_it():
    """Guards against entry VMs that cannot be asked to stop because no link leads there."""
    peer = Peer()
    async with _fleet(peer) as (peer_links, vm):
        for _ in range(3):
            message = messages.Leaving(vm="vm")
            assert await peer_links.request(vm, message, 2.0) == messages.Acknowledged()
        assert peer.connections == 1


async def test_silent_link_is_replaced():
    """Guards against a link without heartbeats that went silent and is used for ever."""
    peer = Peer()
    async with _fleet(peer) as (peer_links, vm):
        message = messages.Leaving(vm="vm")
        await peer_links.request(vm, message, 2.0)
        peer.silent = True
        with pytest.raises(errors.PeerError):
            await peer_links.request(vm, message, 0.2)
        peer.silent = False
        assert await peer_links.request(vm, message, 2.0) == messages.Acknowledged()
        assert peer.connections == 2


async def test_unused_link_is_closed(monkeypatch):
    """Guards against links to all entry VMs that stay after one change of a primary."""
    monkeypatch.setattr(links, "ON_DEMAND_IDLE_LIMIT", 0.2)
    peer = Peer()
    async with _fleet(peer) as (peer_links, vm):
        await peer_links.request(vm, messages.Leaving(vm="vm"), 2.0)
        assert peer_links.open_connections == 1
        async with asyncio.timeout(5):
            while peer_links.open_connections:  # noqa: ASYNC110 - links have no event
                await asyncio.sleep(0.05)


async def test_unknown_entry_vm_is_refused():
    """Guards against a request that waits for a member that is not listed."""
    async with _fleet(Peer()) as (peer_links, _):
        with pytest.raises(errors.PeerError):
            await peer_links.request("vm-99", messages.Leaving(vm="vm"), 2.0)
