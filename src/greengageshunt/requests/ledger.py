"""Request ids and outcomes, stored at the target in the write's own transaction."""

import json
from collections import abc
from typing import Any

from greengageshunt import codec, errors, model
from greengageshunt.routing import history

UNIQUE_VIOLATION = "23505"

# Table that each group must have; see docs/platform.md.
SCHEMA = """CREATE TABLE IF NOT EXISTS ggs_requests (
    account TEXT NOT NULL,
    request_id TEXT NOT NULL,
    state TEXT NOT NULL,
    answer TEXT NOT NULL,
    PRIMARY KEY (account, request_id)
)"""

_INSERT = (
    "INSERT INTO ggs_requests (account, request_id, state, answer)"
    " VALUES (%(account)s, %(request_id)s, %(state)s, '')"
)
_COMPLETE = (
    "UPDATE ggs_requests SET answer = %(answer)s"
    " WHERE account = %(account)s AND request_id = %(request_id)s"
)
_LOOK_UP = (
    "SELECT state, answer FROM ggs_requests"
    " WHERE account = %(account)s AND request_id = %(request_id)s"
)


def _key(work: model.Work) -> dict[str, model.Value]:
    return {"account": work.account, "request_id": work.request_id}


def _parameters(work: model.Work) -> abc.Mapping[str, model.Value]:
    return {**work.parameters, "account": work.account}


def _answer(target: str, statement: Any, status: model.TargetStatus) -> model.Answer:
    return model.Answer(
        columns=statement.columns,
        rows=statement.rows,
        row_count=statement.row_count,
        position=history.last_position(status),
        target=target,
    )


async def read(connection: Any, work: model.Work, now: float) -> model.Answer:
    """Run a reading statement.

    The status is read first, so that the position is not newer than the rows.

    Raises:
        TargetError: The target rejected the statement or the connection failed.
    """
    status, statement = await connection.run_after_status(
        "read", work.statement, _parameters(work), now
    )
    return _answer(connection.target.name, statement, status)


async def write(connection: Any, work: model.Work, now: float) -> model.Answer:
    """Run a writing statement and store its request id in the same transaction.

    Returns:
        The answer, or that of the earlier run of the same request id.

    Raises:
        RefusedError: A refusal was stored under the request id.
        TargetError: The target rejected a statement or the connection failed; without
            a code, the transaction may have committed.
    """
    try:
        if not await _claim(connection, work, "done"):
            return await look_up(connection, work, now)
        (statement,) = await connection.run("write", work.statement, _parameters(work))
        stored = {
            "columns": statement.columns,
            "rows": statement.rows,
            "row_count": statement.row_count,
        }
        answer = json.dumps(codec.to_plain(stored))
        await connection.run("store-answer", _COMPLETE, {**_key(work), "answer": answer})
        status = await connection.commit(now)
    except errors.TargetError as error:
        if error.code:
            await connection.run("rollback", "ROLLBACK")
        raise
    return _answer(connection.target.name, statement, status)


async def _claim(connection: Any, work: model.Work, state: str) -> bool:
    """Open a transaction and insert a request id; return False if it exists."""
    try:
        await connection.run("claim", f"BEGIN; {_INSERT}", {**_key(work), "state": state})
    except errors.TargetError as error:
        if error.code != UNIQUE_VIOLATION:
            raise
        await connection.run("rollback", "ROLLBACK")
        return False
    return True


async def look_up(connection: Any, work: model.Work, now: float) -> model.Answer:
    """Return the stored answer of a request id.

    Raises:
        RefusedError: The request did not run: a refusal or nothing is stored.
        TargetError: The connection failed.
    """
    status, found = await connection.run_after_status("look-up", _LOOK_UP, _key(work), now)
    if not found.rows or found.rows[0][0] == "refused":
        raise errors.RefusedError(
            errors.Refusal(
                code="request_refused" if found.rows else "request_unknown",
                message=f"request {work.request_id!r} did not run",
                outcome=errors.Outcome.NOT_RUN,
                step="look-up",
                peer=connection.target.name,
            )
        )
    stored = json.loads(str(found.rows[0][1]))
    return model.Answer(
        columns=tuple(stored["columns"]),
        rows=tuple(tuple(row) for row in stored["rows"]),
        row_count=stored["row_count"],
        position=history.last_position(status),
        target=connection.target.name,
        repeated=True,
    )
