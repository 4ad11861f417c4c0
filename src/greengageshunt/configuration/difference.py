"""Differences between two configurations."""

import dataclasses
from collections import abc
from typing import Any

from greengageshunt import codec, model


@dataclasses.dataclass(frozen=True, kw_only=True)
class FieldChange:
    """A field whose value differs between two configurations.

    Attributes:
        field: Name of the field.
        before: Value in the first configuration.
        after: Value in the second configuration.
    """

    field: str
    before: Any
    after: Any


@dataclasses.dataclass(frozen=True, kw_only=True)
class Change:
    """A client account, key or route that differs between two configurations.

    Attributes:
        kind: ``account``, ``key`` or ``route``.
        name: Name of the account or route, or key id.
        action: ``added``, ``removed`` or ``changed``.
        fields: Fields that differ; empty unless the action is ``changed``.
    """

    kind: str
    name: str
    action: str
    fields: tuple[FieldChange, ...] = ()

    def __str__(self) -> str:
        mark = {"added": "+", "removed": "-", "changed": "~"}[self.action]
        details = ", ".join(
            f"{change.field} {change.before!r} -> {change.after!r}" for change in self.fields
        )
        return f"{mark} {self.kind} {self.name}" + (f": {details}" if details else "")


def compare(before: model.Configuration, after: model.Configuration) -> tuple[Change, ...]:
    """Return the changes from one configuration to another, by kind and then by name."""
    return (
        *_compare("account", before.accounts_by_name, after.accounts_by_name),
        *_compare("key", before.keys_by_id, after.keys_by_id),
        *_compare("route", before.routes_by_name, after.routes_by_name),
    )


def _compare(
    kind: str, before: abc.Mapping[str, Any], after: abc.Mapping[str, Any]
) -> list[Change]:
    changes = []
    for name in sorted(before.keys() | after.keys()):
        if name not in before:
            changes.append(Change(kind=kind, name=name, action="added"))
        elif name not in after:
            changes.append(Change(kind=kind, name=name, action="removed"))
        elif before[name] != after[name]:
            fields = _compare_fields(before[name], after[name])
            changes.append(Change(kind=kind, name=name, action="changed", fields=fields))
    return changes


def _compare_fields(before: Any, after: Any) -> tuple[FieldChange, ...]:
    old, new = codec.to_plain(before), codec.to_plain(after)
    return tuple(
        FieldChange(field=field, before=old[field], after=new[field])
        for field in old
        if old[field] != new[field]
    )
