"""Declared settings, read from TOML files and checked before a daemon starts."""

import asyncio
import dataclasses
import logging
import pathlib
import tomllib
from collections import abc
from typing import Any

from greengageshunt import clock as clock_module
from greengageshunt import errors

logger = logging.getLogger(__name__)

# Reads a settings file and checks it against the declared settings.
Load = abc.Callable[[pathlib.Path, abc.Mapping[str, "Setting"]], "Settings"]

# Seconds for which an incomplete settings file is read again. Whoever replaces it takes up to some
# seconds; after that, the program's end shows the operator that the file stays incomplete.
COMPLETION_TIMEOUT = 10.0

# Seconds between two reads of a file that may be incomplete.
COMPLETION_INTERVAL = 0.1

_NO_DEFAULT = object()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Setting:
    """Declaration of one setting.

    Attributes:
        key: Dotted key; the part before the last dot names the TOML table.
        kind: Expected Python type: str, int, float, bool or list (of strings).
        doc: One sentence for the settings reference, with the unit.
        default: Value if the file has no entry. A setting without a default is required.
        check: Returns a description of valid values if the value is invalid, or None.
    """

    key: str
    kind: type
    doc: str
    default: Any = _NO_DEFAULT
    check: abc.Callable[[Any], str | None] | None = None

    @property
    def required(self) -> bool:
        """Whether the file must contain the key."""
        return self.default is _NO_DEFAULT


class Settings:
    """Values of all declared settings of one program.

    Args:
        values: Values by dotted key.
        source: Path of the file from which the values were read.
        terminated: Whether the file's last line is terminated. If not, its value may be cut.
    """

    def __init__(
        self, *, values: abc.Mapping[str, Any], source: str, terminated: bool = True
    ) -> None:
        self._values = dict(values)
        self._source = source
        self._terminated = terminated

    @property
    def terminated(self) -> bool:
        """Whether the file's last line is terminated."""
        return self._terminated

    @property
    def values(self) -> abc.Mapping[str, Any]:
        """Values by dotted key."""
        return self._values

    @property
    def source(self) -> str:
        """Path of the file from which the values were read."""
        return self._source

    def __getitem__(self, key: str) -> Any:
        if key not in self._values:
            raise errors.SettingsError(f"{self._source}: setting {key!r} is not declared")
        return self._values[key]


def is_address(value: str) -> str | None:
    """Return None for ``host:port`` with an IPv4 host, or a description of valid values."""
    host, separator, port = value.rpartition(":")
    octets = host.split(".")
    host_ok = len(octets) == 4 and all(octet.isdigit() and int(octet) <= 255 for octet in octets)
    port_ok = port.isdigit() and 0 < int(port) <= 65535
    if separator and host_ok and port_ok:
        return None
    return 'an address such as "127.0.0.1:7000"'


def is_name(value: str) -> str | None:
    """Return None for a name that fits into an HTTP header, or a description of valid values."""
    has_control_character = any(ord(character) < 0x20 or character == "\x7f" for character in value)
    if not has_control_character and value == value.strip(" "):
        return None
    return "a name without control characters, and without blanks at its ends"


def is_positive(value: float) -> str | None:
    """Return None for a number above zero, or a description of valid values."""
    return None if value > 0 else "a number above 0"


def flatten(table: abc.Mapping[str, Any], prefix: str = "") -> dict[str, Any]:
    """Return a nested TOML table as a flat mapping with dotted keys."""
    flat: dict[str, Any] = {}
    for key, value in table.items():
        if isinstance(value, dict):
            flat.update(flatten(value, f"{prefix}{key}."))
        else:
            flat[f"{prefix}{key}"] = value
    return flat


def _describe_kind(kind: type) -> str:
    names = {str: "a string", int: "an integer", float: "a number", bool: "true or false"}
    return names.get(kind, "a list of strings")


def _matches_kind(kind: type, value: Any) -> bool:
    if kind is float:
        return isinstance(value, int | float) and not isinstance(value, bool)
    if kind is int:
        return isinstance(value, int) and not isinstance(value, bool)
    if kind is list:
        return isinstance(value, list) and all(isinstance(element, str) for element in value)
    return isinstance(value, kind)


def check_value(declared: Setting, value: Any, source: str) -> Any:
    """Return the value of a setting in its declared type.

    Raises:
        SettingsError: The value has a wrong type or violates the setting's check.
    """
    if not _matches_kind(declared.kind, value):
        expected = _describe_kind(declared.kind)
        raise errors.SettingsError(
            f"{source}: {declared.key}: expected {expected}, got {value!r}", peer=source
        )
    value = float(value) if declared.kind is float else value
    expectation = declared.check(value) if declared.check else None
    if expectation:
        raise errors.SettingsError(
            f"{source}: {declared.key}: expected {expectation}, got {value!r}", peer=source
        )
    return value


def parse(text: str, declared: abc.Mapping[str, Setting], source: str) -> Settings:
    """Check TOML text against the declared settings.

    Args:
        text: TOML document.
        declared: Settings by dotted key.
        source: File name for error messages.

    Raises:
        SettingsError: The text is not TOML, or a key is unknown, missing or has an invalid
            value; the message names the file, the key and the valid values.
    """
    try:
        entries = flatten(tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        raise errors.SettingsError(f"{source}: expected TOML: {error}", peer=source) from error
    for key in entries:
        if key not in declared:
            raise errors.SettingsError(f"{source}: {key}: unknown setting", peer=source)
    values = {}
    for key, setting in declared.items():
        if key in entries:
            values[key] = check_value(setting, entries[key], source)
        elif setting.required:
            expected = _describe_kind(setting.kind)
            raise errors.SettingsError(
                f"{source}: {key}: missing; expected {expected}: {setting.doc}", peer=source
            )
        else:
            values[key] = setting.default
    return Settings(values=values, source=source)


def load(path: pathlib.Path, declared: abc.Mapping[str, Setting]) -> Settings:
    """Read and check a settings file.

    Raises:
        SettingsError: The file cannot be read or does not match the declarations.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise errors.SettingsError(f"{path}: cannot be read: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise errors.SettingsError(f"{path}: expected UTF-8 text: {error.reason}") from error
    return parse(text, declared, str(path))


async def load_when_complete(
    load: Load,
    path: pathlib.Path,
    declared: abc.Mapping[str, Setting],
    *,
    clock: clock_module.Clock,
) -> Settings:
    """Read a settings file; read it again while it is missing or ends early.

    The file may be replaced at any moment, and a reader may find it between two writes.

    Args:
        load: Reads and checks the file.
        path: The file.
        declared: Settings by dotted key.
        clock: Clock of the program.

    Raises:
        IncompleteSettingsError: The file is still incomplete after ``COMPLETION_TIMEOUT`` seconds.
        SettingsError: The file is complete and has a wrong value.
    """
    started_at = clock()
    reported = False
    previous: Settings | None = None
    while True:
        try:
            settings = load(path, declared)
        except errors.IncompleteSettingsError as error:
            if clock() - started_at > COMPLETION_TIMEOUT:
                raise
            if not reported:
                logger.warning("settings file incomplete", extra={"reason": str(error)})
            reported = True
        else:
            # Only a second read tells whether an unterminated last line is cut.
            unchanged = previous is not None and settings.values == previous.values
            if settings.terminated or unchanged:
                if reported:
                    waited = round(clock() - started_at, 3)
                    logger.info("settings file complete", extra={"waited": waited})
                return settings
            previous = settings
        await asyncio.sleep(COMPLETION_INTERVAL)
