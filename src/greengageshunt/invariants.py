"""Invariants that are checked inside the running program."""

import collections
import logging
from typing import Any

from greengageshunt import application, config, errors

logger = logging.getLogger(__name__)


class Invariants:
    """Counts checks and violations of named invariants.

    Each violation is counted and logged. With ``strict``, as in tests, it also raises
    an error; otherwise the program continues.
    """

    def __init__(self, *, strict: bool) -> None:
        self._strict = strict
        self._checks: collections.Counter[str] = collections.Counter()
        self._violations: collections.Counter[str] = collections.Counter()

    @property
    def checks(self) -> dict[str, int]:
        """Number of checks by invariant."""
        return dict(self._checks)

    @property
    def violations(self) -> dict[str, int]:
        """Number of violations by invariant."""
        return dict(self._violations)

    def check(self, name: str, holds: bool, **details: Any) -> None:
        """Record one check of an invariant.

        Args:
            name: Name of the invariant.
            holds: Whether it holds.
            **details: Values for the log line and the error of a violation.

        Raises:
            InvariantError: The invariant does not hold, and checks are strict.
        """
        self._checks[name] += 1
        if holds:
            return
        self._violations[name] += 1
        logger.error("invariant violated", extra={"invariant": name, "details": details})
        if self._strict:
            raise errors.InvariantError(f"invariant {name!r} violated: {details}", step=name)


def setup(app: application.Application) -> None:
    """Register the invariant checks."""
    app.add_setting(
        config.Setting(
            key="invariants.strict",
            kind=bool,
            default=False,
            doc="Whether a violated invariant raises an error; for tests.",
        )
    )
    app.add_part(
        "invariants", "default", lambda app: Invariants(strict=app.settings["invariants.strict"])
    )
