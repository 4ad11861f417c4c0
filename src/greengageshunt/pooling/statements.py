"""Frozen types of statements and their answers, as sessions and target connections see them."""

import dataclasses
import enum

from greengageshunt import errors, model


class Kind(enum.Enum):
    """What a statement does."""

    BEGIN = "begin"
    BEGIN_READ = "begin_read"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    READ = "read"
    WRITE = "write"
    SET = "set"
    PREPARE = "prepare"
    EXECUTE = "execute"
    CLOSE = "close"
    MALFORMED = "malformed"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Statement:
    """One statement of a caller.

    Attributes:
        id: Id that the caller chose.
        kind: What it does.
        text: Text as the caller sent it.
        name: Name of a session variable or of a prepared statement.
        value: Value that ``SET`` assigns to the variable.
        shape: Kind and shape that ``PREPARE`` names, as one text.
        arguments: Text after the name of the prepared statement in ``EXECUTE``.
    """

    id: str
    kind: Kind
    text: str
    name: str = ""
    value: str = ""
    shape: str = ""
    arguments: str = ""


class TransactionState(enum.Enum):
    """State of a session's transaction."""

    NONE = "none"
    OPEN = "open"
    FAILED = "failed"


class Code(enum.StrEnum):
    """Codes of errors that callers receive."""

    BUSY = "BUSY"
    ABORTED = "ABORTED"
    DENIED = "DENIED"
    FAILED = "FAILED"
    INDOUBT = "INDOUBT"
    LAGGING = "LAGGING"
    MALFORMED = "MALFORMED"
    MISROUTED = "MISROUTED"
    CONNECTION_LIMIT = "CONNLIMIT"
    NO_DATABASE = "NODB"
    NO_STATEMENT = "NOSTMT"
    READ_ONLY = "READONLY"
    TIMEOUT = "TIMEOUT"


# Signature in the answer to a statement that needs none, such as ``SET``.
NO_SIGNATURE = "-"

# Codes with which a target shows that it did not run the statement.
NOT_RUN = frozenset(
    {
        Code.BUSY,
        Code.NO_STATEMENT,
        Code.LAGGING,
        Code.READ_ONLY,
        Code.MISROUTED,
        Code.CONNECTION_LIMIT,
    }
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class TargetAnswer:
    """Complete answer of a target to one statement.

    Attributes:
        rows: Rows as the target sent them, not decoded.
        signature: Proof that the target ran the statement, ``-`` for a statement without one, or
            empty after an error.
        code: Code of an error, or an empty string.
        message: Text of an error.
        state: State of the connection's transaction after the statement.
        position: Log position of the target, or None if it sent none.
    """

    rows: tuple[bytes, ...]
    signature: str
    code: str
    message: str
    state: TransactionState
    position: model.Position | None

    @property
    def signed(self) -> bool:
        """Whether the answer proves that the target ran a read, a write or a commit."""
        return self.signature not in ("", NO_SIGNATURE)


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerAnswer:
    """Answer to one statement of a caller.

    Attributes:
        rows: Rows as the target sent them, not decoded.
        signature: Signature of the target, or ``-`` if no target ran the statement.
        refusal: Error instead of a success, or None.
        state: State of the session's transaction after the statement.
    """

    rows: tuple[bytes, ...] = ()
    signature: str = NO_SIGNATURE
    refusal: errors.Refusal | None = None
    state: TransactionState = TransactionState.NONE
