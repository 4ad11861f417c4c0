"""Attribution of answers to statements on connections whose targets repeat answers."""

import dataclasses
import random

import pytest

from greengageshunt import model
from greengageshunt.pooling import answers, statements

NONE, OPEN = statements.TransactionState.NONE, statements.TransactionState.OPEN
Kind, Origin = answers.Kind, answers.Origin


def _answer(signature="", *, code="", state=NONE, rows=(), offset=1):
    return statements.TargetAnswer(
        rows=rows,
        signature="" if code else signature,
        code=code,
        message="t-1" if code else "",
        state=state,
        position=model.Position(term=1, offset=offset),
    )


def _awaited(kind, state=NONE, statement_id="1", settle_errors=False):
    return answers.Awaited(
        statement_id=statement_id, kind=kind, state=state, settle_errors=settle_errors
    )


READ, OTHER_READ = _awaited(Kind.SIGNED), _awaited(Kind.SIGNED, statement_id="2")
WRITE = _awaited(Kind.SIGNED, settle_errors=True)
BEGIN, SET, STATUS = _awaited(Kind.BEGIN, OPEN), _awaited(Kind.SETUP), _awaited(Kind.STATUS)
BUSY, STARTED, SET_DONE = _answer(code="BUSY"), _answer(), _answer("-")
STATUS_ROW = _answer("-", rows=(b"ROW primary 1 1.1",))
TWO_SETS = [(SET, SET_DONE), (SET, SET_DONE)]


@pytest.mark.parametrize(
    ("earlier", "awaited", "answer", "origin"),
    [
        ([], READ, _answer("a"), Origin.OWN),
        ([(READ, _answer("a"))], OTHER_READ, _answer("a"), Origin.REPEATED),
        ([(READ, _answer("a"))], READ, _answer("a"), Origin.UNCERTAIN),
        ([(READ, _answer("a"))], None, _answer("a"), Origin.REPEATED),
        ([], None, _answer("a"), Origin.UNCERTAIN),
        ([], READ, STARTED, Origin.REPEATED),
        ([(SET, SET_DONE)], READ, SET_DONE, Origin.REPEATED),
        ([], READ, SET_DONE, Origin.UNCERTAIN),
        ([], READ, _answer("a", state=OPEN), Origin.UNCERTAIN),
        ([], READ, BUSY, Origin.OWN),
        ([(READ, BUSY)], READ, BUSY, Origin.UNCERTAIN),
        ([(READ, BUSY)], WRITE, BUSY, Origin.DISPUTED),
        ([(READ, BUSY), (READ, _answer("a", offset=2))], WRITE, BUSY, Origin.REPEATED),
        ([(READ, BUSY)], None, BUSY, Origin.REPEATED),
        ([(READ, BUSY)], READ, _answer(code="LAGGING"), Origin.OWN),
        ([(SET, SET_DONE)], READ, BUSY, Origin.OWN),
        (TWO_SETS, READ, BUSY, Origin.UNCERTAIN),
        (TWO_SETS, READ, _answer(code="LAGGING"), Origin.OWN),
        (TWO_SETS, WRITE, BUSY, Origin.DISPUTED),
        ([(READ, BUSY), *TWO_SETS], WRITE, BUSY, Origin.DISPUTED),
        ([*TWO_SETS, (READ, _answer("a", offset=2))], SET, SET_DONE, Origin.REPEATED),
        ([*TWO_SETS, (READ, _answer("a"))], WRITE, BUSY, Origin.OWN),
        ([(READ, _answer("a"))], SET, _answer("a"), Origin.REPEATED),
        ([], SET, _answer("a"), Origin.UNCERTAIN),
        ([(SET, SET_DONE)], SET, SET_DONE, Origin.OWN),
        ([(SET, SET_DONE)], BEGIN, SET_DONE, Origin.REPEATED),
        ([(SET, SET_DONE)], BEGIN, _answer("-", state=OPEN), Origin.OWN),
        ([(BEGIN, _answer("-", state=OPEN))], BEGIN, _answer("-", state=OPEN), Origin.UNCERTAIN),
        (
            [(BEGIN, _answer("-", state=OPEN))],
            BEGIN,
            _answer("-", state=OPEN, offset=2),
            Origin.OWN,
        ),
        ([], STATUS, STATUS_ROW, Origin.OWN),
        ([(STATUS, STATUS_ROW)], STATUS, STATUS_ROW, Origin.UNCERTAIN),
        ([(SET, SET_DONE)], SET, STATUS_ROW, Origin.REPEATED),
    ],
)
def test_answer_is_attributed(earlier, awaited, answer, origin):
    """Guards against a repeated answer that passes for the answer to another statement."""
    history = answers.AnswerHistory()
    for statement, received in earlier:
        assert history.judge(statement, received) is Origin.OWN
    assert history.judge(awaited, answer) is origin


class _RepeatingTarget:
    """Answers statements in turn, and sends each answer once more at any later moment."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._copies: list[statements.TargetAnswer] = [STARTED]
        self._count = 0

    def stream(self, awaited: answers.Awaited):
        """Yield (whether it is the own answer, answer) until the own one, copies before it."""
        while self._copies and self._rng.random() < 0.4:
            yield False, self._copies.pop(self._rng.randrange(len(self._copies)))
        self._count += 1
        if self._rng.random() < 0.3:
            codes = ["BUSY", "FAILED", *(["LAGGING"] if awaited.kind is Kind.SIGNED else [])]
            own = _answer(code=self._rng.choice(codes), offset=self._count // 3)
        elif awaited.kind is Kind.SIGNED:
            own = _answer(f"s{self._count}", state=awaited.state, offset=self._count // 3)
        else:
            rows = (b"ROW primary",) if awaited.kind is Kind.STATUS else ()
            own = _answer("-", state=awaited.state, rows=rows, offset=self._count // 3)
        if self._rng.random() < 0.6:
            self._copies.append(own)
        yield True, own


class _Connection:
    """A connection to a target that repeats answers, and the attribution of what arrives."""

    def __init__(self, *, rng: random.Random) -> None:
        self.history = answers.AnswerHistory()
        self._target = _RepeatingTarget(rng=rng)
        self._pending: list[tuple[bool, statements.TargetAnswer]] = []
        self.ended = False

    def send(self, awaited: answers.Awaited) -> statements.TargetAnswer:
        """Send a statement; return the answer that the target gives to it."""
        self._pending.extend(self._target.stream(awaited))
        return self._pending[-1][1]

    def receive(self, awaited: answers.Awaited) -> tuple[Origin, statements.TargetAnswer | None]:
        """Return what decides the statement: the last origin, and the answer it was given."""
        disputed = None
        while self._pending:
            _, answer = self._pending.pop(0)
            origin = self.history.judge(awaited, answer)
            if origin is Origin.DISPUTED:
                disputed = answer
                for _ in range(self.history.settling_answers):
                    self.send(SET)
            if origin in (Origin.OWN, Origin.UNCERTAIN):
                # The answers to the harmless statements may still arrive.
                self.ended = origin is Origin.UNCERTAIN or disputed is not None
                return origin, answer
            if origin is Origin.SETTLED:
                return origin, disputed
        return Origin.UNCERTAIN, None


@pytest.mark.parametrize("seed", range(400))
def test_no_repeated_answer_passes_for_another_ones(seed):
    """Guards against combinations of repeated answers and errors that are attributed wrongly."""
    rng = random.Random(seed)
    connection = _Connection(rng=rng)
    for number in range(14):
        awaited = rng.choice([READ, WRITE, WRITE, WRITE, SET, BEGIN])
        if awaited is SET:
            commands = rng.randrange(1, 4)
            padding = connection.history.earlier + commands - 1
            given = [connection.send(SET) for _ in range(commands + padding)]
            received = [connection.receive(SET) for _ in given]
            if any(origin is not Origin.OWN or answer.code for origin, answer in received):
                return
            assert not any(answer.code for answer in given[:commands])
            continue
        awaited = dataclasses.replace(awaited, statement_id=str(number))
        given = connection.send(awaited)
        origin, answer = connection.receive(awaited)
        if origin is Origin.UNCERTAIN:
            return
        if answer.code:
            # A settled error may be another one that means the same.
            not_run = {answer.code, given.code} <= statements.NOT_RUN
            assert not_run or answer.code == given.code, (awaited, answer, given)
        else:
            assert answer == given, (awaited, answer, given)
        if connection.ended:
            return


@pytest.mark.parametrize(
    ("following", "origins"),
    [
        ([SET_DONE] * 2 + [_answer("w")], [Origin.SETTLING] * 2 + [Origin.OWN]),
        ([SET_DONE] * 3, [Origin.SETTLING] * 2 + [Origin.SETTLED]),
        ([SET_DONE, BUSY, SET_DONE], [Origin.SETTLING] * 2 + [Origin.SETTLED]),
        ([SET_DONE, _answer(code="FAILED"), SET_DONE], [Origin.SETTLING] * 2 + [Origin.UNCERTAIN]),
    ],
)
def test_error_after_set_up_is_settled_by_what_follows(following, origins):
    """Guards against the error of a set-up statement that stands for a write that ran."""
    history = answers.AnswerHistory()
    for _ in range(3):
        history.judge(SET, SET_DONE)
    assert history.judge(WRITE, BUSY) is Origin.DISPUTED
    assert history.settling_answers == 3
    assert [history.judge(WRITE, answer) for answer in following] == origins
