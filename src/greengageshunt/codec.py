"""Conversion between frozen data classes and plain values for JSON and CBOR."""

import dataclasses
import json
from typing import Any, TypeVar

import cattrs
import cattrs.gen
import cbor2

from greengageshunt import model

_T = TypeVar("_T")

Rows = tuple[tuple[model.Value, ...], ...]

_OMITTED = "omit_if_default"  # key in the metadata of a field

_VALUE_TYPES = frozenset({str, int, float, bool, type(None)})


def _structure_value(value: Any, _: Any) -> model.Value:
    if type(value) in _VALUE_TYPES:
        return value
    raise TypeError(f"expected a string, number, boolean or null, got {type(value).__name__}")


def _structure_rows(value: Any, _: Any) -> Rows:
    """Check rows as a whole; a call for each value takes most of the time of an answer."""
    rows = tuple(map(tuple, value))
    for row in rows:
        for wrong_type in set(map(type, row)) - _VALUE_TYPES:
            raise TypeError(
                f"expected a string, number, boolean or null, got {wrong_type.__name__}"
            )
    return rows


def added_field(default: Any) -> Any:
    """Return a field that is left out of the plain value while it has its default.

    Processes of an older build reject unknown fields. They accept a message or row as long as the
    field has its default, for example during an upgrade.
    """
    return dataclasses.field(default=default, metadata={_OMITTED: True})


def _added_fields(kind: Any) -> dict[str, Any]:
    if not dataclasses.is_dataclass(kind):
        return {}
    fields = (field for field in dataclasses.fields(kind) if field.metadata.get(_OMITTED))
    return {field.name: cattrs.gen.override(omit_if_default=True) for field in fields}


def _create_converter(*, detailed: bool) -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True, detailed_validation=detailed)
    converter.register_structure_hook(model.Value, _structure_value)
    converter.register_structure_hook_func(lambda kind: kind == Rows, _structure_rows)
    converter.register_unstructure_hook_func(lambda kind: kind == Rows, lambda rows: rows)
    converter.register_unstructure_hook_factory(
        lambda kind: bool(_added_fields(kind)),
        lambda kind: cattrs.gen.make_dict_unstructure_fn(kind, converter, **_added_fields(kind)),
    )
    return converter


_converter = _create_converter(detailed=False)

# Collects the reasons of a validation error. It is slower, so it runs only after a failure.
_detailed_converter = _create_converter(detailed=True)


def to_plain(value: Any) -> Any:
    """Return a data class as nested dictionaries and lists."""
    return _converter.unstructure(value)


def from_plain(plain: Any, kind: type[_T]) -> _T:
    """Return a data class from nested dictionaries and lists.

    Raises:
        ValueError: The plain value does not have the fields of the data class.
    """
    try:
        return _converter.structure(plain, kind)
    except Exception:
        return _structure_with_reasons(plain, kind)


def _structure_with_reasons(plain: Any, kind: type[_T]) -> _T:
    try:
        return _detailed_converter.structure(plain, kind)
    except (cattrs.BaseValidationError, TypeError, KeyError) as error:
        reasons = "; ".join(cattrs.transform_error(error))
        raise ValueError(f"invalid {kind.__name__}: {reasons}") from error


def to_json(value: Any) -> str:
    """Return a data class as a JSON document."""
    return json.dumps(to_plain(value), sort_keys=True)


def from_json(text: str | bytes, kind: type[_T]) -> _T:
    """Return a data class from a JSON document.

    Raises:
        ValueError: The text is not JSON or does not match the data class.
    """
    return from_plain(json.loads(text), kind)


def to_cbor(value: Any) -> bytes:
    """Return a data class as CBOR."""
    return cbor2.dumps(to_plain(value))


def from_cbor(data: bytes, kind: type[_T]) -> _T:
    """Return a data class from CBOR.

    Raises:
        ValueError: The bytes are not CBOR or do not match the data class.
    """
    try:
        plain = cbor2.loads(data)
    except (cbor2.CBORDecodeError, EOFError) as error:
        raise ValueError(f"invalid CBOR: {error}") from error
    return from_plain(plain, kind)
