"""Links on demand: links to entry VMs that are no neighbours, opened for requests."""

import asyncio
import contextlib

import pytest
from websockets.asyncio import server

from greengageshunt import application, config, errors, model
from greengageshunt.membership import view
from greengageshunt.peers import links, messages
from greengageshunt.peers import server as server_module


class Peer:
    """A peer that acknowledges each request while ``silent`` is not set."""

    def __init__(self) -> None:
        self.connections = 0
        self.silent = False

    async def serve(self, connection) -> None:
        """Answer the requests on one connection."""
        self.connections += 1
        async for frame in connection:
            correlation, _ = messages.decode(frame)
            if not self.silent:
                await connection.send(messages.encode(messages.Acknowledged(), correlation))


class _EmptyPart:
    """Replaces the directory and the configuration; the tests do not depend on their values."""

    version = 1
    own_statuses = ()
    records = ()


@contextlib.asynccontextmanager
async def _links_on_demand(peer: Peer):
    """Yield the links of an entry VM that is no hub, and the name of a peer that is no hub."""
    async with server.serve(peer.serve, "127.0.0.1", 0, ping_interval=None) as listening:
        host, port = listening.sockets[0].getsockname()
        members = tuple(
            model.Member(
                vm=f"vm-{index:02}", failure_domain=f"{index % 4}", peer_address="127.0.0.1:9"
            )
            for index in range(40)
        )
        app = application.Application(name="test")
        app.add_part("membership", "view", lambda app: member_view)
        app.add_part("groups", "directory", lambda app: _EmptyPart())
        app.add_part("configuration", "state", lambda app: _EmptyPart())
        server_module.setup(app)
        links.setup(app)
        values = {"peers.heartbeat": 0.1, "peers.silence": 0.5}
        app.configure(config.Settings(values=values, source="test"))
        member_view = view.MemberView(me=members[0], clock=app.clock, sparse=True)
        member_view.replace(members)
        others = [member for member in members if member not in member_view.hubs]
        member_view = view.MemberView(me=others[0], clock=app.clock, sparse=True)
        listening_peer = model.Member(
            vm=others[1].vm, failure_domain=others[1].failure_domain, peer_address=f"{host}:{port}"
        )
        member_view.replace(
            tuple(
                listening_peer if member.vm == listening_peer.vm else member for member in members
            )
        )
        peer_links = app.part("peers", "links")
        task = asyncio.create_task(peer_links.run())
        try:
            yield peer_links, listening_peer.vm
        finally:
            task.cancel()
            await asyncio.wait({task})


async def test_request_opens_one_link_and_keeps_it():
    """Guards against requests that fail or open a link each because the peer is no neighbour."""
    peer = Peer()
    async with _links_on_demand(peer) as (peer_links, vm):
        for _ in range(3):
            message = messages.Leaving(vm="vm")
            assert await peer_links.request(vm, message, 2.0) == messages.Acknowledged()
        assert peer.connections == 1


async def test_silent_link_is_replaced():
    """Guards against a link on demand that is used for ever although its peer is silent."""
    peer = Peer()
    async with _links_on_demand(peer) as (peer_links, vm):
        message = messages.Leaving(vm="vm")
        await peer_links.request(vm, message, 2.0)
        peer.silent = True
        with pytest.raises(errors.PeerError):
            await peer_links.request(vm, message, 0.2)
        peer.silent = False
        assert await peer_links.request(vm, message, 2.0) == messages.Acknowledged()
        assert peer.connections == 2


async def test_unused_link_is_closed(monkeypatch):
    """Guards against links to all entry VMs that stay open after one change of a primary."""
    monkeypatch.setattr(links, "ON_DEMAND_IDLE_LIMIT", 0.2)
    peer = Peer()
    async with _links_on_demand(peer) as (peer_links, vm):
        await peer_links.request(vm, messages.Leaving(vm="vm"), 2.0)
        assert peer_links.open_connections == 1
        async with asyncio.timeout(5):
            while peer_links.open_connections:  # noqa: ASYNC110 - links have no event
                await asyncio.sleep(0.05)


async def test_unknown_entry_vm_is_refused():
    """Guards against a request that waits for an entry VM that is not in the member list."""
    async with _links_on_demand(Peer()) as (peer_links, _):
        with pytest.raises(errors.PeerError):
            await peer_links.request("vm-99", messages.Leaving(vm="vm"), 2.0)


async def test_links_open_again_after_a_restart():
    """Guards against links whose tasks have ended, and which no later request can use.

    ``run`` is called again after a failure, and its first call has cancelled the tasks.
    """
    peer = Peer()
    async with _links_on_demand(peer) as (peer_links, vm):
        message = messages.Leaving(vm="vm")
        await peer_links.request(vm, message, 2.0)
        first = asyncio.create_task(peer_links.run())
        await asyncio.sleep(0)
        first.cancel()
        await asyncio.wait({first})
        assert await peer_links.request(vm, message, 2.0) == messages.Acknowledged()
        assert peer.connections == 2
