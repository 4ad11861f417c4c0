"""Stores the log and the data of one target stand-in in a SQLite file."""

import bisect
import dataclasses
import json
import pathlib
import sqlite3

from greengageshunt import model
from greengageshunt.standins import wire

_LOG_SCHEMA = """
CREATE TABLE IF NOT EXISTS ggs_log (
    log_offset INTEGER PRIMARY KEY, term INTEGER NOT NULL, statements TEXT NOT NULL
);
CREATE TABLE IF NOT EXISTS ggs_meta (name TEXT PRIMARY KEY, value TEXT NOT NULL);
"""


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogEntry:
    """One committed transaction in the replication log.

    Attributes:
        offset: Position of the entry in the log, from 1.
        term: Term of the primary that committed it.
        statements: Writing statements of the transaction, in order.
    """

    offset: int
    term: int
    statements: tuple[str, ...]


def translate_error(error: sqlite3.Error) -> wire.StatementError:
    """Return the error with the SQLSTATE that PostgreSQL has for an error of SQLite."""
    text = str(error)
    if "UNIQUE constraint" in text:
        return wire.StatementError("23505", text)
    if isinstance(error, sqlite3.IntegrityError):
        return wire.StatementError("23000", text)
    if "locked" in text or "busy" in text:
        return wire.StatementError("40001", text)
    return wire.StatementError("42601", text)


def run(connection: sqlite3.Connection, statement: str) -> wire.ResultSet:
    """Run one statement and return all its rows.

    Raises:
        StatementError: The statement failed.
    """
    try:
        cursor = connection.execute(statement)
        rows = tuple(tuple(row) for row in cursor.fetchall())
    except sqlite3.Error as error:
        raise translate_error(error) from error
    verb = statement.lstrip().split(None, 1)[0].upper()
    columns = tuple(column[0] for column in cursor.description or ())
    count = len(rows) if columns else max(cursor.rowcount, 0)
    tag = f"INSERT 0 {count}" if verb == "INSERT" else f"{verb} {count}"
    return wire.ResultSet(columns=columns, rows=rows, tag=tag)


class Storage:
    """Stores the log of committed transactions and the data that results from it."""

    def __init__(self, *, path: pathlib.Path, schema: tuple[str, ...]) -> None:
        self._path = path
        self._schema = schema
        self._log_connection = self.connect()
        self._log_connection.executescript(_LOG_SCHEMA)
        for statement in schema:
            self._log_connection.execute(statement)
        rows = self._log_connection.execute("SELECT * FROM ggs_log ORDER BY log_offset")
        self._entries: list[LogEntry] = []
        self._history: list[model.TermStart] = []
        for offset, term, statements in rows:
            entry = LogEntry(offset=offset, term=term, statements=tuple(json.loads(statements)))
            self._append_to_memory(entry)

    @property
    def offset(self) -> int:
        """Offset of the last log entry, or 0 for an empty log."""
        return len(self._entries)

    @property
    def history(self) -> tuple[model.TermStart, ...]:
        """Start of each term that has entries in the log, in ascending order."""
        return tuple(self._history)

    def connect(self) -> sqlite3.Connection:
        """Open a connection on which only SQL statements begin and end transactions."""
        connection = sqlite3.connect(self._path, isolation_level=None, timeout=0)
        connection.execute("PRAGMA journal_mode=WAL")
        connection.execute("PRAGMA synchronous=OFF")
        return connection

    def meta(self, name: str, default: str) -> str:
        """Return a stored value that is not part of the log."""
        row = self._log_connection.execute(
            "SELECT value FROM ggs_meta WHERE name = ?", (name,)
        ).fetchone()
        return row[0] if row else default

    def set_meta(self, **values: str) -> None:
        """Store values that are not part of the log, in one atomic statement."""
        self._log_connection.execute(
            "INSERT OR REPLACE INTO ggs_meta SELECT key, value FROM json_each(?)",
            (json.dumps(values),),
        )

    def entries_after(self, offset: int, limit: int) -> list[LogEntry]:
        """Return up to ``limit`` entries that follow an offset."""
        return self._entries[offset : offset + limit]

    def term_at(self, offset: int) -> int:
        """Return the term of the entry at an offset, or 0 for offset 0."""
        return self._entries[offset - 1].term if offset else 0

    def common_offset(self, other: tuple[model.TermStart, ...], other_offset: int) -> int:
        """Return the last offset up to which another log has the same entries as this one.

        Args:
            other: Term starts of the other log, in ascending order.
            other_offset: Offset of the last entry of the other log.
        """
        starts = [start.first_offset for start in other]
        offset = min(self.offset, other_offset)
        while offset:
            index = bisect.bisect_right(starts, offset) - 1
            if index >= 0 and other[index].term == self.term_at(offset):
                return offset
            offset -= 1
        return 0

    def append(self, connection: sqlite3.Connection, term: int, statements: list[str]) -> int:
        """Commit an open transaction together with its log entry.

        Returns the offset of the entry.
        """
        entry = LogEntry(offset=self.offset + 1, term=term, statements=tuple(statements))
        connection.execute(
            "INSERT INTO ggs_log VALUES (?, ?, ?)",
            (entry.offset, term, json.dumps(statements)),
        )
        connection.execute("COMMIT")
        self._append_to_memory(entry)
        return entry.offset

    def open_term(self, term: int) -> None:
        """Append the first entry of a term and store that this target is its primary.

        Both happen in one transaction. So a process that is killed meanwhile restarts
        as the primary of the term with its first entry, or in its former role.
        """
        self._log_connection.execute("BEGIN IMMEDIATE")
        self.set_meta(role=model.Role.PRIMARY, open="1")
        self.append(self._log_connection, term, [])

    def _append_to_memory(self, entry: LogEntry) -> None:
        self._entries.append(entry)
        if not self._history or self._history[-1].term != entry.term:
            self._history.append(model.TermStart(term=entry.term, first_offset=entry.offset))

    def apply(self, entry: LogEntry) -> None:
        """Run the statements of a log entry of the upstream and commit them.

        Raises:
            ValueError: The entry does not follow the last one, or a statement failed.
        """
        if entry.offset != self.offset + 1:
            raise ValueError(f"entry {entry.offset} does not follow offset {self.offset}")
        self._log_connection.execute("BEGIN IMMEDIATE")
        try:
            for statement in entry.statements:
                self._log_connection.execute(statement)
            self.append(self._log_connection, entry.term, list(entry.statements))
        except sqlite3.Error as error:
            self._log_connection.execute("ROLLBACK")
            raise ValueError(f"entry {entry.offset} cannot be applied: {error}") from error

    def truncate(self, offset: int) -> None:
        """Delete the entries after an offset and rebuild the data from the log.

        This runs in one transaction. So a process that is killed meanwhile keeps all
        entries that it has acknowledged.
        """
        remaining = self._entries[:offset]
        self._log_connection.execute("BEGIN IMMEDIATE")
        self._log_connection.execute("DELETE FROM ggs_log WHERE log_offset > ?", (offset,))
        tables = self._log_connection.execute(
            "SELECT name FROM sqlite_master WHERE type = 'table'"
            " AND name NOT IN ('ggs_meta', 'ggs_log') AND name NOT LIKE 'sqlite_%'"
        ).fetchall()
        for (name,) in tables:
            self._log_connection.execute(f'DROP TABLE "{name}"')
        statements = [statement for entry in remaining for statement in entry.statements]
        for statement in [*self._schema, *statements]:
            self._log_connection.execute(statement)
        self._log_connection.execute("COMMIT")
        self._entries = []
        self._history = []
        for entry in remaining:
            self._append_to_memory(entry)
