"""Tells the answer to a statement from repeated answers to earlier ones.

An answer does not name its statement, and a target may send a whole answer a second time, at any
later moment, on the connection of the first one. So what arrives after a statement can belong to
an earlier statement of the same connection.

Each statement is answered in turn, so an answer that differs from all earlier ones of its
connection is the answer to the oldest statement that awaits one. Signatures differ; errors and
answers without a signature may not. Once an answer with a new signature arrives, each statement
before it has got its own answer.

This assumes of a target that it sends an answer at most twice, whole, without lines of another one
inside, on the connection of the statement, gives no two statements the same signature, and does not
end a transaction by itself.
"""

import dataclasses
import enum

from greengageshunt import model
from greengageshunt.pooling import statements

# Codes of errors that set-up statements can't get.
_STATEMENT_CODES = frozenset(
    {statements.Code.LAGGING, statements.Code.READ_ONLY, statements.Code.NO_STATEMENT}
)


class Kind(enum.Enum):
    """What the success of a statement looks like."""

    SIGNED = "signed"
    BEGIN = "begin"
    SETUP = "setup"
    STATUS = "status"


class Origin(enum.Enum):
    """Where an answer comes from.

    Attributes:
        OWN: It is the answer to the awaited statement.
        REPEATED: It repeats an earlier answer, or belongs to an earlier statement to which such an
            answer was attributed.
        DISPUTED: It is an error that may belong to an earlier statement. If it does, the answer to
            the awaited one arrives before ``disputed_answers`` more answers without a signature.
        SETTLED: The disputed error is the answer to the awaited statement.
        UNCERTAIN: It may belong to the awaited statement or not, and nothing can tell.
    """

    OWN = "own"
    REPEATED = "repeated"
    DISPUTED = "disputed"
    SETTLED = "settled"
    UNCERTAIN = "uncertain"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Awaited:
    """The statement whose answer is due next.

    Attributes:
        statement_id: Id of the statement.
        kind: What its success looks like.
        state: State of the transaction after its success.
        settle_errors: Whether it matters if an error belongs to the statement.
    """

    statement_id: str
    kind: Kind
    state: statements.TransactionState
    settle_errors: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class UnexpectedAnswer:
    """An answer of a target that was not taken for that to the awaited statement."""

    target: str
    origin: Origin


class AnswerHistory:
    """Answers that arrived on one connection."""

    def __init__(self) -> None:
        self._ids_by_signature: dict[str, str] = {}
        self._errors: set[tuple[str, str]] = set()
        self._begin_positions: set[model.Position | None] = set()
        self._unsigned = 0
        # Whether the last answers without a signature may be repeated ones.
        self._unproven = False
        self._disputed_answers = 0

    @property
    def size(self) -> int:
        """Number of signatures and errors that are kept."""
        return len(self._ids_by_signature) + len(self._errors)

    @property
    def has_errors(self) -> bool:
        """Whether an error has arrived, so that the next one can be a repeated one."""
        return bool(self._errors)

    @property
    def unsigned(self) -> int:
        """Number of answers without a signature, each of which may arrive once more."""
        return self._unsigned

    @property
    def disputed_answers(self) -> int:
        """Answers without a signature after which a disputed error is settled; 0 without one."""
        return self._disputed_answers

    def may_begin(self, position: model.Position | None) -> bool:
        """Return whether an answer to ``BEGIN`` would differ from all earlier ones.

        Args:
            position: Log position that the target named last. It may have moved since, to one at
                which no transaction of this connection has begun.
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
        if self._disputed_answers and not answer.code and not answer.signed:
            self._disputed_answers -= 1
            return Origin.REPEATED if self._disputed_answers else Origin.SETTLED
        if answer.code:
            return self._judge_error(awaited, answer)
        if awaited.kind is Kind.SIGNED:
            return self._judge_signed(awaited, answer)
        if answer.signed:
            return (
                Origin.REPEATED if answer.signature in self._ids_by_signature else Origin.UNCERTAIN
            )
        return self._judge_unsigned(awaited, answer)

    def _judge_unrequested(self, answer: statements.TargetAnswer) -> Origin:
        if answer.code:
            known = (answer.code, answer.message) in self._errors
        elif answer.signed:
            known = answer.signature in self._ids_by_signature
        else:
            known = self._unsigned > 0
        return Origin.REPEATED if known else Origin.UNCERTAIN

    def _judge_error(self, awaited: Awaited, answer: statements.TargetAnswer) -> Origin:
        error = (answer.code, answer.message)
        if error in self._errors or self._disputed_answers:
            return Origin.UNCERTAIN
        if not self._unproven or answer.code in _STATEMENT_CODES:
            self._errors.add(error)
            self._unproven = False
            return Origin.OWN
        if not awaited.settle_errors:
            return Origin.UNCERTAIN
        # Each earlier answer without a signature, or its repetition, may still arrive.
        self._disputed_answers = self._unsigned + 1
        return Origin.DISPUTED

    def _judge_signed(self, awaited: Awaited, answer: statements.TargetAnswer) -> Origin:
        if not answer.signed:
            return Origin.REPEATED if self._unsigned else Origin.UNCERTAIN
        known_id = self._ids_by_signature.get(answer.signature)
        if known_id is not None:
            # A caller may use an id again, and a target may derive the signature from it.
            return Origin.UNCERTAIN if known_id == awaited.statement_id else Origin.REPEATED
        if answer.state is not awaited.state:
            return Origin.UNCERTAIN
        self._ids_by_signature[answer.signature] = awaited.statement_id
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
        elif self._unsigned:
            self._unproven = True
        if answer.state is statements.TransactionState.OPEN:
            self._begin_positions.add(answer.position)
        self._unsigned += 1
        return Origin.OWN
