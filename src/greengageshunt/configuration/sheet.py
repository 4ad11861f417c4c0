"""Sheets: CSV files of client accounts, keys and routes.

The format is described in docs/operators/sheet.md. A sheet contains digests of
keys, never a secret.
"""

import csv
import dataclasses
import io
import math
import re
from collections import abc
from typing import Any

from returns import result

from greengageshunt import model
from greengageshunt.configuration import keys

_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
_NUMBER_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
_PLACEHOLDER_PATTERN = re.compile(r"%%|%\([A-Za-z_][A-Za-z0-9_]*\)s")

WHOLE_ROW = "-"  # stands for the column in a problem that concerns the whole row


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class Problem:
    """An error in a sheet.

    Attributes:
        row: Number of the row as a spreadsheet shows it; the header is row 1.
        column: Name of the column, or ``WHOLE_ROW``.
        message: What was expected. Does not repeat a cell that may hold a secret.
    """

    row: int
    column: str
    message: str

    def __str__(self) -> str:
        return f"row {self.row}, column {self.column}: {self.message}"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sheet:
    """Content of a sheet.

    Attributes:
        accounts: Client accounts.
        keys: Keys.
        routes: Routes.
        rows: Row number of each account, key and route, by its kind and name, for error
            messages. Faulty rows are included.
    """

    accounts: tuple[model.ClientAccount, ...]
    keys: tuple[model.Key, ...]
    routes: tuple[model.Route, ...]
    rows: abc.Mapping[tuple[str, str], int]


# Returns the value of a cell; raises ValueError with a message of what was expected.
Parser = abc.Callable[[str], Any]


def _matching(pattern: re.Pattern[str], expected: str) -> Parser:
    def parse(text: str) -> str:
        if not pattern.fullmatch(text):
            raise ValueError(f"expected {expected}")
        return text

    return parse


def _key_id(text: str) -> str:
    if not keys.is_key_id(text):
        raise ValueError(f"expected {keys.KEY_ID_RULE}")
    return text


def _number(minimum: float, expected: str, *, exclusive: bool = False) -> Parser:
    def parse(text: str) -> float:
        value = float(text) if _NUMBER_PATTERN.fullmatch(text) else math.nan
        if not (value > minimum if exclusive else value >= minimum):
            raise ValueError(f"expected {expected}, such as 2.5")
        return value

    return parse


def _choice(values: abc.Mapping[str, Any]) -> Parser:
    def parse(text: str) -> Any:
        if text not in values:
            raise ValueError(f"expected one of {', '.join(values)}")
        return values[text]

    return parse


def _statement(text: str) -> str:
    if "%" in _PLACEHOLDER_PATTERN.sub("", text):
        raise ValueError("expected placeholders such as %(item)s, and %% for a percent sign")
    if "\0" in text:
        raise ValueError("expected SQL without NUL characters")
    return text


_YES_NO = _choice({"yes": True, "no": False})
_NAME_PARSER = _matching(_NAME_PATTERN, "1 to 64 letters, digits, dots, underscores or hyphens")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Column:
    """Use of a column in rows of one kind.

    Attributes:
        field: Field of the data class that the cell fills.
        parse: Parser of the cell.
        default: Value of an empty cell, or None if the cell must be filled.
    """

    field: str
    parse: Parser
    default: Any = None


# Columns of each kind of row, by name.
_COLUMNS_BY_KIND: dict[str, dict[str, Column]] = {
    "account": {
        "name": Column(field="name", parse=_NAME_PARSER),
        "rate": Column(field="rate", parse=_number(0, "a number above 0", exclusive=True)),
        "burst": Column(field="burst", parse=_number(1, "a number of at least 1")),
        "weight": Column(
            field="weight", parse=_number(0, "a number above 0", exclusive=True), default=1.0
        ),
    },
    "key": {
        "name": Column(field="key_id", parse=_key_id),
        "account": Column(field="account", parse=_NAME_PARSER),
        "digest": Column(
            field="digest",
            parse=_matching(
                _DIGEST_PATTERN, "a SHA-256 digest of 64 hexadecimal digits in lower case"
            ),
        ),
        "withdrawn": Column(field="withdrawn", parse=_YES_NO, default=False),
    },
    "route": {
        "name": Column(field="name", parse=_NAME_PARSER),
        "group": Column(field="group", parse=_NAME_PARSER),
        "access": Column(
            field="kind", parse=_choice({kind.value: kind for kind in model.RouteKind})
        ),
        "statement": Column(field="statement", parse=_statement),
        "staleness": Column(
            field="staleness", parse=_number(0, "seconds of at least 0"), default=0.0
        ),
        "open": Column(field="open", parse=_YES_NO, default=False),
        "repeatable": Column(field="repeatable", parse=_YES_NO, default=False),
        "priority": Column(
            field="priority",
            parse=_choice({priority.name.lower(): priority for priority in model.Priority}),
            default=model.Priority.NORMAL,
        ),
        "require_replicated": Column(field="require_replicated", parse=_YES_NO, default=False),
    },
}
_TYPE_BY_KIND = {"account": model.ClientAccount, "key": model.Key, "route": model.Route}

COLUMNS = tuple(
    dict.fromkeys(["kind", *(name for columns in _COLUMNS_BY_KIND.values() for name in columns)])
)

_Cells = dict[str, str]  # text of each cell of a row, by column


def parse(data: bytes) -> result.Result[Sheet, tuple[Problem, ...]]:
    """Return the content of a sheet, or all problems in it."""
    try:
        text = data.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        row = data.count(b"\n", 0, error.start) + 1
        return _failed([Problem(row=row, column=WHOLE_ROW, message="expected UTF-8 text")])
    problems: list[Problem] = []
    records = _read_rows(text, problems)
    entries: dict[str, list[Any]] = {kind: [] for kind in _COLUMNS_BY_KIND}
    rows: dict[tuple[str, str], int] = {}
    for row, cells in records:
        _add_row(row, cells, entries, rows, problems)
    sheet = Sheet(
        accounts=tuple(entries["account"]),
        keys=tuple(entries["key"]),
        routes=tuple(entries["route"]),
        rows=rows,
    )
    problems += _check_references(sheet)
    return _failed(problems) if problems else result.Success(sheet)


def _failed(problems: list[Problem]) -> result.Failure[tuple[Problem, ...]]:
    return result.Failure(tuple(sorted(problems)))


def _read_rows(text: str, problems: list[Problem]) -> list[tuple[int, _Cells]]:
    """Return the number and the cells of each row below the header; add problems to the list."""
    reader = csv.reader(io.StringIO(text, newline=""), strict=True)
    header: list[str] | None = None
    records = []
    row = 0
    try:
        for fields in reader:
            row += 1
            cells = [field.strip() for field in fields]
            if header is None:
                header = cells
                problems += _check_header(header)
            elif any(cells):
                problems += _check_width(row, cells, header)
                records.append((row, dict(zip(header, cells, strict=False))))
    except csv.Error as error:
        problems.append(Problem(row=row + 1, column=WHOLE_ROW, message=f"expected CSV: {error}"))
    if header is None and not problems:
        problems.append(Problem(row=1, column="kind", message="expected a header"))
    # With a faulty header, each row would repeat the same problem.
    return [] if any(problem.row == 1 for problem in problems) else records


def _check_header(header: list[str]) -> list[Problem]:
    problems = []
    for number, name in enumerate(header, start=1):
        if name not in COLUMNS:
            message = f"expected one of {', '.join(COLUMNS)}"
            problems.append(Problem(row=1, column=f"number {number}", message=message))
        elif name in header[: number - 1]:
            problems.append(Problem(row=1, column=name, message="expected the column once"))
    problems += [
        Problem(row=1, column=name, message="expected the column in the header")
        for name in ("kind", "name")
        if name not in header
    ]
    return problems


def _check_width(row: int, cells: list[str], header: list[str]) -> list[Problem]:
    if not any(cells[len(header) :]):
        return []
    message = f"expected {len(header)} cells, got {len(cells)}"
    return [Problem(row=row, column=WHOLE_ROW, message=message)]


def _add_row(
    row: int,
    cells: _Cells,
    entries: dict[str, list[Any]],
    rows: dict[tuple[str, str], int],
    problems: list[Problem],
) -> None:
    """Add a row's account, key or route to the entries of its kind, or its problems."""
    kind = cells.get("kind", "")
    columns = _COLUMNS_BY_KIND.get(kind)
    if columns is None:
        message = f"expected one of {', '.join(_COLUMNS_BY_KIND)}"
        problems.append(Problem(row=row, column="kind", message=message))
        return
    values, row_problems = _parse_cells(row, kind, cells, columns)
    name = cells.get("name", "")
    first_row = rows.setdefault((kind, name), row)
    if first_row != row:
        row_problems.append(
            Problem(row=row, column="name", message=f"the {kind} is already in row {first_row}")
        )
    problems += row_problems
    if not row_problems:
        entries[kind].append(_TYPE_BY_KIND[kind](**values))


def _parse_cells(
    row: int, kind: str, cells: _Cells, columns: dict[str, Column]
) -> tuple[dict[str, Any], list[Problem]]:
    """Return the field values of a row, and its problems."""
    values: dict[str, Any] = {}
    problems = []
    for name, column in columns.items():
        text = cells.get(name, "")
        if not text and column.default is not None:
            values[column.field] = column.default
            continue
        try:
            if not text:
                raise ValueError(f"a row of kind {kind} needs a value")
            values[column.field] = column.parse(text)
        except ValueError as error:
            problems.append(Problem(row=row, column=name, message=str(error)))
    for name, text in cells.items():
        if text and name != "kind" and name not in columns:
            message = f"expected an empty cell in a row of kind {kind}"
            problems.append(Problem(row=row, column=name, message=message))
    return values, problems


def _check_references(sheet: Sheet) -> list[Problem]:
    # A faulty account row counts as present, so that its keys do not report a missing account too.
    accounts = {name for kind, name in sheet.rows if kind == "account"}
    problems = [
        Problem(
            row=sheet.rows["key", key.key_id],
            column="account",
            message=f"the sheet has no account {key.account!r}",
        )
        for key in sheet.keys
        if key.account not in accounts
    ]
    for route in sheet.routes:
        row = sheet.rows["route", route.name]
        if route.staleness and route.kind is model.RouteKind.WRITE:
            message = "expected 0 or an empty cell for a write"
            problems.append(Problem(row=row, column="staleness", message=message))
        if route.require_replicated and route.kind is model.RouteKind.READ:
            message = "expected no or an empty cell for a read"
            problems.append(Problem(row=row, column="require_replicated", message=message))
    return problems


def merge(
    sheet: Sheet, current: model.Configuration
) -> result.Result[model.Configuration, tuple[Problem, ...]]:
    """Return the next version of the configuration, or the conflicts with the current one.

    The sheet replaces all accounts and routes. It adds and withdraws keys but removes none:
    a key that the sheet does not list, such as one issued since its export, stays, or is
    withdrawn if the sheet does not list its account. A withdrawn key stays withdrawn, and
    the account and digest of a key never change.
    """
    problems = []
    for key in sheet.keys:
        stored = current.keys_by_id.get(key.key_id)
        row = sheet.rows["key", key.key_id]
        if stored is None:
            continue
        if stored.withdrawn and not key.withdrawn:
            message = f"the key was withdrawn in or before version {current.version}"
            problems.append(Problem(row=row, column="withdrawn", message=message))
        if stored.digest != key.digest or stored.account != key.account:
            column = "digest" if stored.digest != key.digest else "account"
            message = f"the key exists with another {column}; use a new key id"
            problems.append(Problem(row=row, column=column, message=message))
    if problems:
        return _failed(problems)
    accounts = {account.name for account in sheet.accounts}
    listed = {key.key_id for key in sheet.keys}
    unlisted = tuple(
        key if key.account in accounts else dataclasses.replace(key, withdrawn=True)
        for key in current.keys
        if key.key_id not in listed
    )
    return result.Success(
        dataclasses.replace(
            current,
            version=current.version + 1,
            accounts=sheet.accounts,
            keys=(*sheet.keys, *unlisted),
            routes=sheet.routes,
        )
    )


def _format_cell(value: Any) -> str:
    """Return the text of a cell, in the form that the parser of its column accepts."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, model.Priority):
        return value.name.lower()
    if isinstance(value, float):
        return f"{value:.9f}".rstrip("0").rstrip(".")
    return str(value)


def render(configuration: model.Configuration) -> str:
    """Return a configuration as a sheet."""
    output = io.StringIO(newline="")
    writer = csv.DictWriter(output, COLUMNS, restval="", lineterminator="\n")
    writer.writeheader()
    entries_by_kind = (
        ("account", configuration.accounts),
        ("key", configuration.keys),
        ("route", configuration.routes),
    )
    for kind, entries in entries_by_kind:
        for entry in entries:
            cells = {
                name: _format_cell(getattr(entry, column.field))
                for name, column in _COLUMNS_BY_KIND[kind].items()
            }
            writer.writerow({"kind": kind, **cells})
    return output.getvalue()
