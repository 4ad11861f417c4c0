"""Tells the answer to a statement from repeated answers to earlier ones.

An answer does not name its statement, and a target may send a whole answer a second time, at any
later moment, on the connection of the first one. So what arrives after a statement can belong to
an earlier statement of the same connection.

Each statement is answered in turn, so an answer that differs from all earlier ones of its
connection is the answer to the oldest statement that awaits one. Signatures differ; errors and
answers without a signature may not. Once an answer with a new signature arrives, each statement
before it has got its own answer.
"""

import dataclasses
import enum

from greengageshunt import model
from greengageshunt.pooling import statements


class Kind(enum.Enum):
    """What the success of a statement looks like."""

    SIGNED = "signed"
    BEGIN = "begin"
    SETUP = "setup"
    STATUS = "status"


class Origin(enum.Enum):
    """Where an answer comes from."""

    OWN = "own"
    REPEATED = "repeated"
    UNCERTAIN = "uncertain"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Awaited:
    """The statement whose answer is due next.

    Attributes:
        kind: What its success looks like.
        state: State of the transaction after its success.
    """

    kind: Kind
    state: statements.TransactionState


@dataclasses.dataclass(frozen=True, kw_only=True)
class UnexpectedAnswer:
    """An answer of a target that may not belong to the statement that awaited one."""

    target: str
    origin: Origin


class AnswerHistory:
    """Answers that arrived on one connection."""

    def __init__(self) -> None:
        self._signatures: set[str] = set()
        self._errors: set[tuple[str, str]] = set()
        self._begin_positions: set[model.Position | None] = set()
        self._unsigned = 0
        self._unproven = False

    @property
    def size(self) -> int:
        """Number of signatures that are kept."""
        return len(self._signatures)

    @property
    def has_errors(self) -> bool:
        """Whether an error has arrived, so that the next one can be a repeated one."""
        return bool(self._errors)

    @property
    def unsigned(self) -> int:
        """Number of answers without a signature, each of which may arrive once more."""
        return self._unsigned

    def may_begin(self, position: model.Position | None) -> bool:
        """Return whether an answer to ``BEGIN`` would differ from all earlier ones.

        Args:
            position: Log position of the target, or a later one.
        """
        return position not in self._begin_positions

    def judge(self, awaited: Awaited | None, answer: statements.TargetAnswer) -> Origin:
        """Return where an answer comes from, and record it if it is the awaited one.

        Args:
            awaited: Statement whose answer is due next, or None if none is.
            answer: The answer.
        """
        if not answer.code and not answer.signature:
            # The answer to STARTUP is a READY alone.
            return Origin.REPEATED
        if awaited is None:
            return self._judge_unrequested(answer)
        if answer.code:
            return self._judge_error(answer)
        if awaited.kind is Kind.SIGNED:
            return self._judge_signed(awaited, answer)
        if answer.signed:
            return Origin.REPEATED if answer.signature in self._signatures else Origin.UNCERTAIN
        return self._judge_unsigned(awaited, answer)

    def _judge_unrequested(self, answer: statements.TargetAnswer) -> Origin:
        if answer.code:
            known = (answer.code, answer.message) in self._errors
        elif answer.signed:
            known = answer.signature in self._signatures
        else:
            known = self._unsigned > 0
        return Origin.REPEATED if known else Origin.UNCERTAIN

    def _judge_error(self, answer: statements.TargetAnswer) -> Origin:
        error = (answer.code, answer.message)
        if self._unproven or error in self._errors:
            return Origin.UNCERTAIN
        self._errors.add(error)
        return Origin.OWN

    def _judge_signed(self, awaited: Awaited, answer: statements.TargetAnswer) -> Origin:
        if not answer.signed:
            return Origin.REPEATED if self._unsigned else Origin.UNCERTAIN
        if answer.signature in self._signatures:
            return Origin.REPEATED
        if answer.state is not awaited.state:
            return Origin.UNCERTAIN
        self._signatures.add(answer.signature)
        self._unproven = False
        return Origin.OWN

    def _judge_unsigned(self, awaited: Awaited, answer: statements.TargetAnswer) -> Origin:
        if answer.state is not awaited.state or bool(answer.rows) != (awaited.kind is Kind.STATUS):
            return Origin.REPEATED if self._unsigned else Origin.UNCERTAIN
        if awaited.kind is Kind.STATUS and self._unsigned:
            return Origin.UNCERTAIN
        if awaited.kind is Kind.BEGIN:
            if not self.may_begin(answer.position):
                return Origin.UNCERTAIN
            # No earlier answer shows an open transaction at this position, so the transaction is
            # open, and each statement before BEGIN has got its own answer.
            self._unproven = False
        else:
            self._unproven = True
        if answer.state is statements.TransactionState.OPEN:
            self._begin_positions.add(answer.position)
        self._unsigned += 1
        return Origin.OWN
