"""Load pattern: every entry VM of a large fleet learns of a newer configuration at once."""

import asyncio
import types

from greengageshunt import application
from greengageshunt.configuration import exchange
from greengageshunt.peers import messages


class _Links:
    """Counts the requests to peers."""

    def __init__(self) -> None:
        self.requests = 0

    async def request(self, vm, message, timeout):
        """Wait like a peer that is busy."""
        self.requests += 1
        await asyncio.Event().wait()


async def _requests_after(seconds: float, *, own_version: int = 3, full_mesh: bool = False) -> int:
    """Return the requests of an entry VM that hears of version 4 for some seconds."""
    links = _Links()
    app = application.Application(name="vm-1", clock=lambda: 0.0)
    app.add_event("peer-answered")
    app.add_part("configuration", "state", lambda app: types.SimpleNamespace(version=own_version))
    app.add_part("membership", "view", lambda app: types.SimpleNamespace(full_mesh=full_mesh))
    app.add_part("peers", "links", lambda app: links)
    app.add_part(
        "peers", "server", lambda app: types.SimpleNamespace(add_handler=lambda *handler: None)
    )
    exchanged = exchange.ConfigurationExchange(app=app)
    ack = types.SimpleNamespace(vm="hub-1", configuration_version=4)
    for sent_at in (100.0, 100.0 + seconds):
        app.events.emit("peer-answered", messages.PeerAnswered(ack=ack, sent_at=sent_at))
        await asyncio.sleep(0)
    for task in exchanged._tasks.values():
        task.cancel()
    return links.requests


async def test_entry_vms_of_a_large_fleet_read_the_platform_first():
    """Guards against hubs that encode the configuration for all entry VMs of a domain at once.

    With 195 entry VMs nothing else was answered for 3 s after a change.
    """
    assert await _requests_after(exchange.FETCH_DELAY / 2) == 0


async def test_entry_vm_that_the_platform_rejects_asks_its_peers():
    """Guards against a configuration that never reaches an entry VM cut off from the platform."""
    assert await _requests_after(exchange.FETCH_DELAY) == 1


async def test_small_fleets_and_starting_processes_ask_at_once():
    """Guards against a later adoption where no crowd asks."""
    assert await _requests_after(0.1, full_mesh=True) == 1
    assert await _requests_after(0.1, own_version=0) == 1
