"""Errors of the system; each carries the step and the peer at which it arose."""

import dataclasses
import enum


class Outcome(enum.StrEnum):
    """Whether a request that ended with an error took effect."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    COMMITTED = "committed"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refusal:
    """An expected error that is returned to a caller.

    Attributes:
        code: Stable, machine-readable code, such as ``rate_exceeded``.
        message: Human-readable description.
        outcome: Whether the request ran.
        step: Step of the request path at which the refusal arose.
        peer: Entry VM, target or platform address concerned, or an empty string.
        retry_after: Seconds after which a retry may succeed, or None.
    """

    code: str
    message: str
    outcome: Outcome
    step: str
    peer: str = ""
    retry_after: float | None = None


class GreengageshuntError(Exception):
    """Base of all errors raised by the system.

    Attributes:
        step: Step at which the error arose.
        peer: Entry VM, target or platform address concerned, or an empty string.
    """

    def __init__(self, message: str, *, step: str, peer: str = "") -> None:
        super().__init__(message)
        self.step = step
        self.peer = peer


class RefusedError(GreengageshuntError):
    """Carries a refusal through code that cannot return a result."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message, step=refusal.step, peer=refusal.peer)
        self.refusal = refusal


class SettingsError(GreengageshuntError):
    """A settings file is missing, malformed or has a wrong key or value."""

    def __init__(self, message: str, *, peer: str = "") -> None:
        super().__init__(message, step="settings", peer=peer)


class IncompleteSettingsError(SettingsError):
    """A settings file is missing or ends early, as while another process writes it."""


class RegistryError(GreengageshuntError):
    """A plug-in is invalid or registers a name twice, or an unknown name is requested."""

    def __init__(self, message: str) -> None:
        super().__init__(message, step="registry")


class PlatformError(GreengageshuntError):
    """The platform's store did not respond, or responded with an error.

    Attributes:
        effect_unknown: Whether a write may have taken effect.
    """

    def __init__(self, message: str, *, step: str, peer: str, effect_unknown: bool) -> None:
        super().__init__(message, step=step, peer=peer)
        self.effect_unknown = effect_unknown


class HistoryLostError(PlatformError):
    """The store no longer holds all changes since the version that a reader has."""

    def __init__(self, message: str, *, step: str, peer: str) -> None:
        super().__init__(message, step=step, peer=peer, effect_unknown=False)


class TargetError(GreengageshuntError):
    """A target did not respond, closed the connection or rejected a statement.

    Attributes:
        sent: Whether the statement may have reached the target.
        code: SQLSTATE of the target's response, or an empty string if there was none.
    """

    def __init__(self, message: str, *, step: str, peer: str, sent: bool, code: str = "") -> None:
        super().__init__(message, step=step, peer=peer)
        self.sent = sent
        self.code = code


class UncertainAnswerError(TargetError):
    """A target answered, but its answer may belong to another statement."""


class PeerError(GreengageshuntError):
    """A peer link failed before the response arrived.

    Attributes:
        sent: Whether the request may have reached the peer.
    """

    def __init__(self, message: str, *, step: str, peer: str, sent: bool) -> None:
        super().__init__(message, step=step, peer=peer)
        self.sent = sent


class InvariantError(GreengageshuntError):
    """An invariant does not hold; raised only with the setting ``invariants.strict``."""

    def __init__(self, message: str, *, step: str) -> None:
        super().__init__(message, step=step)
