"""The stored configuration: one object for each version and one pointer row.

The pointer row names the object, because two planners may write objects for
the same version; only the one whose conditional write of the pointer succeeds
determines the content of the version.
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

OBJECT_ATTEMPTS = 3
RETRY_DELAY = 0.2  # seconds


def configuration_object(version: int) -> str:
    """Return the name of a version's object if the pointer row names none."""
    return f"configuration/{version}"


# Earlier versions that the pointer row still names, to show what others changed.
HISTORY_LENGTH = 50


@dataclasses.dataclass(frozen=True, kw_only=True)
class Earlier:
    """An earlier version and the name of its object."""

    version: int
    object: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pointer:
    """Value of the pointer row.

    Attributes:
        version: Newest version.
        object: Name of the object that holds it.
        digest: SHA-256 digest of the object, in hexadecimal, or an empty string.
        earlier: The versions before it, the newest first.
    """

    version: int
    object: str = ""
    digest: str = ""
    earlier: tuple[Earlier, ...] = ()

    @property
    def object_name(self) -> str:
        """Name of the object."""
        return self.object or configuration_object(self.version)

    def at(self, version: int) -> "Pointer | None":
        """Return a pointer to this or an earlier version, or None if it is not kept."""
        if version == self.version:
            return self
        found = (entry for entry in self.earlier if entry.version == version)
        entry = next(found, None)
        return Pointer(version=version, object=entry.object) if entry else None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Stored:
    """The pointer row as it was read.

    Attributes:
        value: Value of the row.
        etag: Version of the row, for a conditional write.
    """

    value: Pointer
    etag: str


async def read(platform: Any) -> Stored | None:
    """Return the pointer row, or None.

    Raises:
        PlatformError: The platform did not answer.
        ValueError: The row is not a pointer.
    """
    row = await platform.get_row(CONFIGURATION_ROW)
    if row is None:
        return None
    return Stored(value=codec.from_plain(row.value, Pointer), etag=row.etag)


async def load(platform: Any, pointer: Pointer) -> model.Configuration:
    """Return the configuration that a pointer names.

    Raises:
        PlatformError: The platform did not answer.
        ValueError: The object is missing or is not what the pointer says.
    """
    data = await platform.get_object(pointer.object_name)
    if data is None:
        raise ValueError(f"configuration {pointer.version} has no object")
    if pointer.digest and hashlib.sha256(data).hexdigest() != pointer.digest:
        raise ValueError(f"object {pointer.object_name!r} does not have the pointer's digest")
    configuration = codec.from_json(data, model.Configuration)
    if configuration.version != pointer.version:
        raise ValueError(
            f"object {pointer.object_name!r} has version {configuration.version},"
            f" the pointer says {pointer.version}"
        )
    return configuration


async def publish(
    platform: Any, configuration: model.Configuration, base: Stored | None
) -> result.Result[Stored, writes.Conflict]:
    """Make a configuration the current one unless another was stored since.

    Args:
        platform: Platform client.
        configuration: Configuration, one version above the base.
        base: Pointer row on which the configuration is based.

    Returns:
        The new pointer row, or the conflict with another writer.

    Raises:
        PlatformError: The platform did not answer, and reading the row back failed
            too, so the configuration may be stored.
    """
    data = codec.to_json(configuration).encode()
    name = f"{configuration_object(configuration.version)}/{uuid.uuid4().hex}"
    await _put_object(platform, name, data)
    earlier: tuple[Earlier, ...] = ()
    if base:
        last = Earlier(version=base.value.version, object=base.value.object_name)
        earlier = (last, *base.value.earlier)[:HISTORY_LENGTH]
    value = Pointer(
        version=configuration.version,
        object=name,
        digest=hashlib.sha256(data).hexdigest(),
        earlier=earlier,
    )
    etag = base.etag if base else None
    written = await writes.write_row(platform, CONFIGURATION_ROW, codec.to_plain(value), etag)
    return written.map(lambda row: Stored(value=value, etag=row.etag))


async def _put_object(platform: Any, name: str, data: bytes) -> None:
    """Write an object under a name that nobody else uses, so that it may be repeated."""
    for attempt in range(1, OBJECT_ATTEMPTS + 1):
        try:
            await platform.put_object(name, data)
        except errors.PlatformError:
            if attempt == OBJECT_ATTEMPTS:
                raise
            await asyncio.sleep(RETRY_DELAY)
        else:
            return
