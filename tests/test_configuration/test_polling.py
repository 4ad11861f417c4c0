"""Which configuration, confirmation and member list the poller adopts from the platform."""

import hashlib
import json
from typing import Any

import pytest

from greengageshunt import application, codec, invariants, model
from greengageshunt.configuration import pointer, state
from greengageshunt.groups import directory
from greengageshunt.membership import view
from greengageshunt.stores import polling, rows

ME = model.Member(vm="vm-1", failure_domain="klang", peer_address="127.0.0.1:1")
OTHER = model.Member(vm="vm-2", failure_domain="klang", peer_address="127.0.0.1:2")


class Platform:
    """A platform whose rows, objects and member list a test sets."""

    def __init__(self) -> None:
        self.row: dict[str, Any] | None = None
        self.objects: dict[str, bytes] = {}
        self.vms: tuple[model.Member, ...] = ()

    def store(self, version: int, stored_version: int, digest: str = "") -> None:
        """Store a pointer to ``version`` and an object that holds ``stored_version``."""
        data = json.dumps(
            {"version": stored_version, "accounts": [], "keys": [], "routes": []}
            | {"token_secret": ""}
        ).encode()
        value = pointer.Pointer(
            version=version, object="o", digest=digest or hashlib.sha256(data).hexdigest()
        )
        self.row = codec.to_plain(value)
        self.objects["o"] = data

    async def get_row(self, key: str) -> rows.Row | None:
        """Return the pointer row."""
        return None if self.row is None else rows.Row(key=key, value=self.row, etag="1")

    async def get_object(self, name: str) -> bytes | None:
        """Return an object, or None."""
        return self.objects.get(name)

    async def list_vms(self) -> tuple[model.Member, ...]:
        """Return the member list."""
        return self.vms


@pytest.fixture
def platform() -> Platform:
    """Return a platform."""
    return Platform()


@pytest.fixture
def poller(platform) -> polling.PlatformPoller:
    """Return a poller of the platform."""
    app = application.Application(name="test")
    app.add_part("invariants", "default", lambda app: invariants.Invariants(strict=True))
    app.add_event("members-changed")
    for module in (state, directory):
        module.setup(app)
    app.add_part("membership", "view", lambda app: view.MemberView(me=ME))
    app.selected = lambda role: platform
    return polling.PlatformPoller(app=app)


async def test_pointer_confirms_only_the_version_in_force(poller, platform):
    """Guards against an old or missing pointer row that confirms the newer version in force."""
    assert not await poller._read_configuration(0.0)
    platform.store(2, 2)
    assert await poller._read_configuration(0.0)
    platform.store(1, 1)
    assert not await poller._read_configuration(0.0)
    assert poller._configuration.version == 2


@pytest.mark.parametrize(("stored", "digest"), [(2, ""), (3, "ab" * 32)])
async def test_damaged_object_is_not_adopted(poller, platform, stored, digest):
    """Guards against adopting a damaged object, or that of a planner whose pointer write lost."""
    platform.store(3, stored, digest)
    with pytest.raises(ValueError, match="object"):
        await poller._read_configuration(0.0)
    assert poller._configuration.version == 0


async def test_list_is_not_replaced_by_nothing_or_an_older_one(poller, platform):
    """Guards against an empty list, which makes one VM a majority, and against late answers."""
    assert not await poller._read_vms(0.0)
    assert not poller._view.list_read
    platform.vms = (ME, OTHER)
    assert await poller._read_vms(2.0)
    platform.vms = (ME,)
    assert not await poller._read_vms(1.0)
    assert poller._view.members == (ME, OTHER)
