"""Registry of plug-in parts by role and name."""

from collections import abc
from typing import Any

from greengageshunt import errors

Factory = abc.Callable[..., Any]


class Registry:
    """Maps a role and a name to the factory of a part."""

    def __init__(self) -> None:
        self._factories: dict[str, dict[str, Factory]] = {}

    @property
    def roles(self) -> tuple[str, ...]:
        """Roles that have at least one part, sorted."""
        return tuple(sorted(self._factories))

    def add(self, role: str, name: str, factory: Factory) -> None:
        """Add a part.

        Raises:
            RegistryError: The role already has a part of this name.
        """
        parts = self._factories.setdefault(role, {})
        if name in parts:
            raise errors.RegistryError(f"{role} {name!r} is already registered")
        parts[name] = factory

    def names(self, role: str) -> tuple[str, ...]:
        """Return the names registered for a role, in order of registration."""
        return tuple(self._factories.get(role, {}))

    def get(self, role: str, name: str) -> Factory:
        """Return the factory of a part.

        Raises:
            RegistryError: No part of this role has this name.
        """
        parts = self._factories.get(role, {})
        if name not in parts:
            known = ", ".join(sorted(parts)) or "none"
            raise errors.RegistryError(f"unknown {role} {name!r}; registered: {known}")
        return parts[name]
