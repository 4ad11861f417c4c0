"""The stored configuration: one object for each version and one pointer row.

The pointer row names the object, because two planners may write objects for
the same version. The planner whose conditional write of the pointer row
succeeds determines the content of the version; the other object stays unused.
"""

import asyncio
import dataclasses
import hashlib
import uuid
from typing import Any

from returns import result

from greengageshunt import codec, errors, model
from greengageshunt.stores import writes

CONFIGURATION_ROW = "configuration/current"

OBJECT_WRITE_ATTEMPTS = 3
OBJECT_RETRY_DELAY = 0.2  # seconds between a failed write of an object and the next attempt


def default_object_name(version: int) -> str:
    """Return the name of a version's object for a pointer row that names no object."""
    return f"configuration/{version}"


# Number of earlier versions that the pointer row lists. A planner whose change is based on one of
# them can be shown what others changed since; for older versions this is not possible.
HISTORY_LENGTH = 50


@dataclasses.dataclass(frozen=True, kw_only=True)
class Earlier:
    """An earlier version, with the name of the object that holds it."""

    version: int
    object: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pointer:
    """Value of the pointer row.

    Attributes:
        version: Newest version.
        object: Name of the object that holds it; empty for the name by version.
        digest: SHA-256 digest of the object, in hexadecimal; empty to skip the check.
        earlier: Versions before it, the newest first, at most ``HISTORY_LENGTH``.
    """

    version: int
    object: str = ""
    digest: str = ""
    earlier: tuple[Earlier, ...] = ()

    @property
    def object_name(self) -> str:
        """Name of the object that holds the newest version."""
        return self.object or default_object_name(self.version)

    def pointer_to(self, version: int) -> "Pointer | None":
        """Return a pointer to this or an earlier version, or None if the row does not list it."""
        if version == self.version:
            return self
        matches = (entry for entry in self.earlier if entry.version == version)
        entry = next(matches, None)
        return Pointer(version=version, object=entry.object) if entry else None


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoredPointer:
    """The pointer row as it was read or written.

    Attributes:
        value: Value of the row.
        etag: Version of the row in the store, for a conditional write.
    """

    value: Pointer
    etag: str


async def read_pointer(platform: Any) -> StoredPointer | None:
    """Return the pointer row, or None before the first configuration.

    Raises:
        PlatformError: The platform did not answer.
        ValueError: The row is not a valid pointer.
    """
    row = await platform.get_row(CONFIGURATION_ROW)
    if row is None:
        return None
    return StoredPointer(value=codec.from_plain(row.value, Pointer), etag=row.etag)


async def load_configuration(platform: Any, pointer: Pointer) -> model.Configuration:
    """Return the configuration to which a pointer refers.

    Raises:
        PlatformError: The platform did not answer.
        ValueError: The object is missing, or its digest or version differs from the pointer's.
    """
    data = await platform.get_object(pointer.object_name)
    if data is None:
        raise ValueError(f"object of configuration version {pointer.version} is missing")
    if pointer.digest and hashlib.sha256(data).hexdigest() != pointer.digest:
        raise ValueError(
            f"digest of object {pointer.object_name!r} differs from the pointer's {pointer.digest}"
        )
    configuration = codec.from_json(data, model.Configuration)
    if configuration.version != pointer.version:
        raise ValueError(
            f"object {pointer.object_name!r} has version {configuration.version},"
            f" but the pointer row has {pointer.version}"
        )
    return configuration


async def publish_configuration(
    platform: Any, configuration: model.Configuration, base: StoredPointer | None
) -> result.Result[StoredPointer, writes.WriteConflict]:
    """Store a configuration and point to it, unless the pointer row has changed since it was read.

    Args:
        platform: Platform client.
        configuration: Configuration; its version is one above that of the base.
        base: Pointer row on which the configuration is based, or None for the first one.

    Returns:
        The new pointer row, or the conflict with another writer.

    Raises:
        PlatformError: The platform did not answer the write, and reading the row back failed
            too. The configuration may be in force.
    """
    data = codec.to_json(configuration).encode()
    name = f"{default_object_name(configuration.version)}/{uuid.uuid4().hex}"
    await _put_object(platform, name, data)
    earlier: tuple[Earlier, ...] = ()
    if base:
        previous = Earlier(version=base.value.version, object=base.value.object_name)
        earlier = (previous, *base.value.earlier)[:HISTORY_LENGTH]
    value = Pointer(
        version=configuration.version,
        object=name,
        digest=hashlib.sha256(data).hexdigest(),
        earlier=earlier,
    )
    etag = base.etag if base else None
    written = await writes.write_row(platform, CONFIGURATION_ROW, codec.to_plain(value), etag)
    return written.map(lambda row: StoredPointer(value=value, etag=row.etag))


async def _put_object(platform: Any, name: str, data: bytes) -> None:
    """Write an object; retrying is safe because no other writer uses its name."""
    for attempt in range(1, OBJECT_WRITE_ATTEMPTS + 1):
        try:
            await platform.put_object(name, data)
        except errors.PlatformError:
            if attempt == OBJECT_WRITE_ATTEMPTS:
                raise
            await asyncio.sleep(OBJECT_RETRY_DELAY)
        else:
            return
