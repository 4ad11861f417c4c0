"""Tells the answer to a statement from repeated answers to earlier ones.

An answer does not name its statement, and a target may send a whole answer a second time, at any
later moment, on the connection of the first one. So what arrives after a statement can belong to
an earlier statement of the same connection.

Each statement is answered in turn, so an answer that differs from all earlier ones of its
connection is the answer to the oldest statement that awaits one. Signatures differ; errors and
answers without a signature may not. Once an answer with a new signature arrives, each statement
before it has got its own answer.

This assumes of a target that it sends an answer at most twice, byte for byte, without lines of
another one inside, on the connection of the statement, gives no two statements the same signature,
and does not end a transaction by itself.
"""

import collections
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


# Most answers that are awaited to settle an error.
SETTLING_LIMIT = 64

# Answers that may still arrive above which another connection is used, so that its set-up and the
# settling of an error stay within the limit.
REUSE_LIMIT = 32


class Origin(enum.Enum):
    """Where an answer comes from.

    Attributes:
        OWN: It is the answer to the awaited statement.
        REPEATED: It repeats an earlier answer, or belongs to an earlier statement to which such an
            answer was attributed.
        DISPUTED: It is an error that may belong to an earlier statement. If it does, the answer to
            the awaited one arrives among the next ``settling_answers`` answers.
        SETTLING: It is one of these, and more are needed.
        SETTLED: It is the last of these, and the disputed error is the answer to the awaited
            statement.
        UNCERTAIN: It may belong to the awaited statement or not, and nothing can tell.
    """

    OWN = "own"
    REPEATED = "repeated"
    DISPUTED = "disputed"
    SETTLING = "settling"
    SETTLED = "settled"
    UNCERTAIN = "uncertain"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Awaited:
    """The statement whose answer is due next.

    Attributes:
        statement_id: Id of the statement.
        kind: What its success looks like.
        state: State of the transaction after its success.
        settle_errors: Whether harmless statements may follow to settle whose error it got.
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
        self._errors: dict[tuple[str, str], collections.Counter[model.Position | None]] = {}
        self._begin_positions: set[model.Position | None] = set()
        self._newest: model.Position | None = None
        # Positions of answers without a signature: those before the last answer that proves that
        # all statements had got their own ones, and those since.
        self._proven: collections.Counter[model.Position | None] = collections.Counter()
        self._unproven: list[model.Position | None] = []
        self._settling_answers = 0
        self._settling_errors: set[tuple[str, str]] = set()

    @property
    def size(self) -> int:
        """Number of signatures and errors that are kept."""
        return len(self._ids_by_signature) + len(self._errors)

    @property
    def earlier(self) -> int:
        """Most answers without a signature that may arrive in front of the next one.

        A repeated answer names the position of its first copy, so one from before the newest
        position is recognized.
        """
        return len(self._unproven) + self._count_recent(self._proven)

    @property
    def outstanding(self) -> int:
        """Most answers without a signature and errors that may arrive in front of the next one."""
        return self.earlier + sum(map(self._count_recent, self._errors.values()))

    @property
    def settling_answers(self) -> int:
        """Answers that are still needed to settle a disputed error; 0 without one."""
        return self._settling_answers

    def may_begin(self, position: model.Position | None) -> bool:
        """Return whether an answer to ``BEGIN`` would differ from all earlier ones.

        Args:
            position: Log position that the target named last. It may have moved since, to one at
                which no transaction of this connection has begun.
        """
        return position not in self._begin_positions

    def judge(self, awaited: Awaited | None, answer: statements.TargetAnswer) -> Origin:
        """Return where an answer comes from, and record it.

        Args:
            awaited: Statement whose answer is due next, or None if none is.
            answer: The answer.
        """
        if not answer.code and not answer.signature:
            # The answer to STARTUP is a READY alone.
            return Origin.REPEATED
        if self._is_recognized(answer):
            return Origin.REPEATED
        if awaited is None:
            origin = self._judge_unrequested(answer)
        elif self._settling_answers and not answer.signed:
            origin = self._judge_settling(answer)
        elif answer.code:
            origin = self._judge_error(awaited, answer)
        elif awaited.kind is Kind.SIGNED:
            origin = self._judge_signed(awaited, answer)
        else:
            origin = self._judge_unsigned(awaited, answer)
        if origin is Origin.OWN and answer.position is not None:
            self._newest = max(answer.position, self._newest or answer.position)
        return origin

    def _is_recognized(self, answer: statements.TargetAnswer) -> bool:
        """Return whether an answer repeats one from before the newest position."""
        position = answer.position
        if answer.signed or position is None or self._newest is None or position >= self._newest:
            return False
        if answer.code:
            return position in self._errors.get((answer.code, answer.message), ())
        return position in self._proven or position in self._unproven

    def _judge_unrequested(self, answer: statements.TargetAnswer) -> Origin:
        if answer.code:
            known = (answer.code, answer.message) in self._errors
        elif answer.signed:
            known = answer.signature in self._ids_by_signature
        else:
            known = self._saw_unsigned
            self._note_skipped(answer)
        return Origin.REPEATED if known else Origin.UNCERTAIN

    def _judge_settling(self, answer: statements.TargetAnswer) -> Origin:
        if answer.code:
            self._note_error(answer)
            self._settling_errors.add((answer.code, answer.message))
        self._unproven.append(answer.position)
        self._settling_answers -= 1
        if self._settling_answers:
            return Origin.SETTLING
        # The answer is one of the errors that arrived; they must all mean the same.
        codes = {code for code, _ in self._settling_errors}
        agree = len(self._settling_errors) == 1 or codes <= statements.NOT_RUN
        return Origin.SETTLED if agree else Origin.UNCERTAIN

    def _judge_error(self, awaited: Awaited, answer: statements.TargetAnswer) -> Origin:
        error = (answer.code, answer.message)
        seen = error in self._errors
        outstanding = self.outstanding
        self._note_error(answer)
        if not seen and (not self._unproven or answer.code in _STATEMENT_CODES):
            self._prove()
            return Origin.OWN
        if not awaited.settle_errors or outstanding > SETTLING_LIMIT:
            return Origin.UNCERTAIN
        self._settling_answers = max(1, outstanding)
        self._settling_errors = {error}
        return Origin.DISPUTED

    def _judge_signed(self, awaited: Awaited, answer: statements.TargetAnswer) -> Origin:
        if not answer.signed:
            known = self._saw_unsigned
            self._note_skipped(answer)
            return Origin.REPEATED if known else Origin.UNCERTAIN
        known_id = self._ids_by_signature.get(answer.signature)
        if known_id is not None:
            # A caller may use an id again, and a target may derive the signature from it.
            return Origin.UNCERTAIN if known_id == awaited.statement_id else Origin.REPEATED
        if answer.state is not awaited.state:
            return Origin.UNCERTAIN
        self._ids_by_signature[answer.signature] = awaited.statement_id
        self._settling_answers = 0
        self._prove()
        return Origin.OWN

    def _judge_unsigned(self, awaited: Awaited, answer: statements.TargetAnswer) -> Origin:
        if answer.signed:
            known = answer.signature in self._ids_by_signature
            return Origin.REPEATED if known else Origin.UNCERTAIN
        if answer.state is not awaited.state or bool(answer.rows) != (awaited.kind is Kind.STATUS):
            known = self._saw_unsigned
            self._note_skipped(answer)
            return Origin.REPEATED if known else Origin.UNCERTAIN
        if awaited.kind is Kind.STATUS and self._saw_unsigned:
            return Origin.UNCERTAIN
        if awaited.kind is Kind.BEGIN and not self.may_begin(answer.position):
            return Origin.UNCERTAIN
        fresh = not self._unproven and not self._proven[answer.position]
        # A transaction is open and began at no earlier answer, so BEGIN has got its own.
        self._unproven.append(answer.position)
        if fresh or awaited.kind is Kind.BEGIN:
            self._prove()
        if answer.state is statements.TransactionState.OPEN:
            self._begin_positions.add(answer.position)
        return Origin.OWN

    @property
    def _saw_unsigned(self) -> bool:
        return bool(self._unproven or self._proven)

    def _count_recent(self, counts: collections.Counter[model.Position | None]) -> int:
        """Return the sum of the counts for positions that are not before the newest one."""
        newest = self._newest
        return sum(
            count
            for position, count in counts.items()
            if position is None or newest is None or position >= newest
        )

    def _prove(self) -> None:
        """Record that each statement so far has got its own answer."""
        self._proven.update(self._unproven)
        self._unproven.clear()

    def _note_error(self, answer: statements.TargetAnswer) -> None:
        counts = self._errors.setdefault((answer.code, answer.message), collections.Counter())
        counts[answer.position] += 1

    def _note_skipped(self, answer: statements.TargetAnswer) -> None:
        """Record an answer without a signature, which may be the first of two."""
        if self._unproven:
            self._unproven.append(answer.position)
        else:
            self._proven[answer.position] += 1
