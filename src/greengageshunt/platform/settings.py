"""Reads the platform's settings file as settings of the product."""

import pathlib
from collections import abc

from greengageshunt import config, errors

# Milliseconds in the file, seconds in the product.
_MILLISECONDS = 0.001

_BLANKS = " \t"

# Port of the metrics page; `metrics` in deploy/system.toml names it too.
METRICS_PORT = 9464

# Setting of the product: (field of the file, factor from its unit to that of the setting).
_NUMERIC_FIELDS = {
    "stop.grace": ("bounds.grace-s", 1.0),
    "limits.tolerance": ("bounds.quota-tolerance", 1.0),
    "limits.slack": ("bounds.quota-slack", 1.0),
    "limits.window": ("bounds.quota-window-s", 1.0),
}


def read_text(path: pathlib.Path) -> str:
    """Return the text of a settings file.

    Raises:
        IncompleteSettingsError: The file cannot be opened, or ends within a character.
        SettingsError: The file is not UTF-8 text.
    """
    try:
        content = path.read_bytes()
    except OSError as error:
        raise errors.IncompleteSettingsError(f"{path}: cannot be read: {error.strerror}") from error
    try:
        return content.decode()
    except UnicodeDecodeError as error:
        at_end = error.end == len(content)
        kind = errors.IncompleteSettingsError if at_end else errors.SettingsError
        raise kind(f"{path}: expected UTF-8 text: {error.reason}") from error


def decode_fields(text: str, source: str) -> dict[str, str]:
    """Return the fields of lines of the form ``a.b=value``.

    A line ends at LF, or CR LF. Blanks around names and values do not count; any other white space
    does.

    Args:
        text: Text of the file.
        source: Name of the file for error messages.

    Raises:
        IncompleteSettingsError: The last line is not terminated and has no ``=``.
        SettingsError: Another line has no ``=``.
    """
    fields = {}
    lines = text.split("\n")
    for number, line in enumerate(lines, start=1):
        content = line.removesuffix("\r").strip(_BLANKS)
        if not content or content.startswith("#"):
            continue
        name, separator, value = content.partition("=")
        if not separator:
            terminated = number < len(lines)
            kind = errors.SettingsError if terminated else errors.IncompleteSettingsError
            raise kind(f"{source}:{number}: expected name=value, got {content!r}")
        fields[name.strip(_BLANKS)] = value.strip(_BLANKS)
    return fields


def _required(fields: abc.Mapping[str, str], name: str, source: str) -> str:
    if not fields.get(name):
        raise errors.IncompleteSettingsError(
            f"{source}: {name}: missing or empty; expected a value", peer=source
        )
    return fields[name]


def _checked(
    fields: abc.Mapping[str, str],
    name: str,
    source: str,
    check: abc.Callable[[str], str | None],
) -> str:
    value = _required(fields, name, source)
    expectation = check(value)
    if expectation:
        raise errors.SettingsError(
            f"{source}: {name}: expected {expectation}, got {value!r}", peer=source
        )
    return value


def _non_negative_number(fields: abc.Mapping[str, str], name: str, source: str) -> float:
    value = _required(fields, name, source)
    try:
        number = float(value)
    except ValueError:
        number = -1.0
    if not 0 <= number < float("inf"):
        raise errors.SettingsError(
            f"{source}: {name}: expected a number of at least 0, got {value!r}", peer=source
        )
    return number


def _peer_port(fields: abc.Mapping[str, str], source: str) -> int:
    name = "internal-port-range"
    value = _required(fields, name, source)
    first, _, last = value.partition(",")
    if not (first.isdigit() and last.isdigit() and 0 < int(first) < int(last) <= 65535):
        raise errors.SettingsError(
            f"{source}: {name}: expected two ports FIRST,LAST with FIRST < LAST, got {value!r}",
            peer=source,
        )
    return int(first)


def values_of(fields: abc.Mapping[str, str], source: str) -> dict[str, object]:
    """Convert fields of the platform's file to values of the product's settings.

    Args:
        fields: Fields of the file; unknown ones have no effect.
        source: Name of the file for error messages.

    Raises:
        SettingsError: Names the file, the field and what was expected.
    """
    address = _required(fields, "ip", source)
    values: dict[str, object] = {
        # The name is sent in a header with each order to change a primary.
        "vm.name": _checked(fields, "node-name", source, config.is_name),
        "vm.failure_domain": _required(fields, "zone", source),
        "vm.peer_address": f"{address}:{_peer_port(fields, source)}",
        "metrics.address": f"{address}:{METRICS_PORT}",
        "sessions.address": _checked(fields, "listen.front", source, config.is_address),
        "readiness.address": _checked(fields, "listen.ready", source, config.is_address),
        "store.address": _checked(fields, "platform.address", source, config.is_address),
        "duties.address": _checked(fields, "cloud.address", source, config.is_address),
    }
    for key, (name, factor) in _NUMERIC_FIELDS.items():
        values[key] = _non_negative_number(fields, name, source) * factor
    return values


def load(
    path: pathlib.Path,
    declared: abc.Mapping[str, config.Setting],
    defaults: abc.Mapping[str, object],
) -> config.Settings:
    """Read and check the platform's settings file.

    Args:
        path: The file.
        declared: Settings of the product.
        defaults: Values of settings for which the platform has no field.

    Raises:
        IncompleteSettingsError: The file is missing, or ends before all fields are there.
        SettingsError: Names the file, the field and what was expected.
    """
    source = str(path)
    text = read_text(path)
    terminated = text.endswith("\n")
    try:
        values = {**defaults, **values_of(decode_fields(text, source), source)}
    except errors.SettingsError as error:
        if terminated or isinstance(error, errors.IncompleteSettingsError):
            raise
        # The wrong value may be that of the last line, which is cut.
        raise errors.IncompleteSettingsError(str(error), peer=source) from error
    checked = {}
    for key, setting in declared.items():
        if key in values:
            checked[key] = config.check_value(setting, values[key], source)
        elif setting.required:
            raise errors.SettingsError(
                f"{source}: {key}: required, but the platform's file has no field for this setting"
            )
        else:
            checked[key] = setting.default
    return config.Settings(values=checked, source=source, terminated=terminated)
