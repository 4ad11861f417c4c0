"""Sheets: invalid ones give problems with row and column, valid ones survive a round trip."""

import dataclasses

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns import pipeline

from greengageshunt import model
from greengageshunt.configuration import difference, sheet, state

VALID = """kind,name,rate,burst,weight,account,digest,withdrawn,group,access,statement,staleness
account,bintang-glue,50,100,2,,,,,,,
key,bintang-1,,,,bintang-glue,{digest},no,,,,
route,booking.browse,,,,,,,order-desk-1,read,SELECT id FROM bookings,5
""".format(digest="ab" * 32)

NAMES = st.from_regex(r"[A-Za-z0-9][A-Za-z0-9._-]{0,20}", fullmatch=True)
KEY_IDS = st.from_regex(r"[A-Za-z0-9][A-Za-z0-9_-]{0,20}", fullmatch=True)
AMOUNTS = st.integers(1_000, 10**8).map(lambda value: value / 1000)
STATEMENTS = (
    st.text(st.characters(codec="utf-8", exclude_characters="%\0"), min_size=1)
    .map(lambda text: f"SELECT '{text}', %(item)s, 5 %% 3")
    .filter(lambda text: text.strip() == text)
)
CELLS = st.one_of(
    st.sampled_from(
        [
            "",
            "account",
            "key",
            "route",
            "read",
            "yes",
            "-1",
            "nan",
            "1e9",
            "0",
            "=1",
            '"',
            "ab" * 32,
        ]
    ),
    st.text(max_size=8),
)


@st.composite
def configurations(draw: st.DrawFn) -> model.Configuration:
    """Draw a configuration."""
    accounts = draw(
        st.lists(
            st.builds(model.ClientAccount, name=NAMES, weight=AMOUNTS, rate=AMOUNTS, burst=AMOUNTS),
            unique_by=lambda account: account.name,
            min_size=1,
            max_size=4,
        )
    )
    names = st.sampled_from([account.name for account in accounts])
    digests = st.binary(min_size=32, max_size=32).map(bytes.hex)
    keys = st.builds(
        model.Key, key_id=KEY_IDS, account=names, digest=digests, withdrawn=st.booleans()
    )
    reads = st.builds(
        model.Route,
        name=NAMES,
        group=NAMES,
        kind=st.just(model.RouteKind.READ),
        statement=STATEMENTS,
        staleness=AMOUNTS,
        open=st.booleans(),
        repeatable=st.booleans(),
        priority=st.sampled_from(model.Priority),
    )
    writes = st.builds(
        model.Route,
        name=NAMES,
        group=NAMES,
        kind=st.just(model.RouteKind.WRITE),
        statement=STATEMENTS,
        require_replicated=st.booleans(),
    )
    return model.Configuration(
        version=1,
        accounts=tuple(accounts),
        keys=tuple(draw(st.lists(keys, unique_by=lambda key: key.key_id, max_size=4))),
        routes=tuple(
            draw(st.lists(reads | writes, unique_by=lambda route: route.name, max_size=4))
        ),
        token_secret="5e",
    )


@given(configuration=configurations())
@settings(max_examples=60, deadline=None, derandomize=True)
def test_export_and_load_change_nothing(configuration):
    """Guards against an export or a load that loses or alters a part of the configuration."""
    parsed = sheet.parse(sheet.render(configuration).encode())
    assert pipeline.is_successful(parsed), parsed
    base = dataclasses.replace(configuration, version=1)
    merged = sheet.merge(parsed.unwrap(), base).unwrap()
    assert difference.compare(base, merged) == ()
    assert merged.version == 2


@given(data=st.binary(max_size=200))
@settings(max_examples=200, deadline=None, derandomize=True)
def test_any_bytes_give_errors_with_row_and_column(data):
    """Guards against a traceback instead of problems for a file that is not a sheet."""
    _check_problems(sheet.parse(data))


@given(
    rows=st.lists(st.lists(CELLS, max_size=14), max_size=4),
    row=st.integers(0, 3),
    column=st.integers(0, 11),
    cell=CELLS,
)
@settings(max_examples=200, deadline=None, derandomize=True)
def test_broken_cells_give_errors_with_row_and_column(rows, row, column, cell):
    """Guards against a traceback, and against problems without a row and a column."""
    lines = [line.split(",") for line in VALID.splitlines()]
    lines[row][column] = cell
    text = "\n".join(",".join(cells) for cells in [*lines, *rows])
    _check_problems(sheet.parse(text.encode("utf-8", "surrogatepass")))


def _check_problems(parsed) -> None:
    if pipeline.is_successful(parsed):
        return
    problems = parsed.failure()
    assert problems
    for problem in problems:
        assert problem.row >= 1
        assert problem.column
        assert problem.message


def _edit(old: str, new: str) -> bytes:
    assert old in VALID
    return VALID.replace(old, new).encode()


@pytest.mark.parametrize(
    ("data", "row", "column"),
    [
        (b"", 1, "kind"),
        (b"\xff\xfe", 1, "-"),
        (_edit("rate,", "rat,"), 1, "number 3"),
        (_edit("burst,", "rate,"), 1, "rate"),
        (_edit(",50,", ",fast,"), 2, "rate"),
        (_edit(",50,", ",0,"), 2, "rate"),
        (_edit(",50,", ",inf,"), 2, "rate"),
        (_edit(",50,", ",,"), 2, "rate"),
        (_edit("100,2,,", "100,2,x,"), 2, "account"),
        (_edit("account,bint", "acount,bint"), 2, "kind"),
        (_edit("ab" * 32, "bintang-1.the-secret"), 3, "digest"),
        (_edit("key,bintang-1", "key,bintang.1"), 3, "name"),
        (_edit(",bintang-glue,ab", ",other,ab"), 3, "account"),
        (_edit(",read,", ",reads,"), 4, "access"),
        (_edit(",read,", ",write,"), 4, "staleness"),
        (_edit("SELECT id", "SELECT %s"), 4, "statement"),
        (_edit("bookings,5", "bookings,5,6"), 4, "-"),
        (_edit("SELECT id", '"SELECT id'), 4, "-"),
        ((VALID + "account,bintang-glue,1,1\n").encode(), 5, "name"),
    ],
)
def test_errors_name_row_and_column(data, row, column):
    """Guards against problems at the wrong cell, and against messages that repeat a secret."""
    problems = sheet.parse(data).failure()
    assert (row, column) in {(problem.row, problem.column) for problem in problems}
    assert not any("the-secret" in str(problem) for problem in problems)


def test_merge_keeps_what_the_sheet_does_not_know():
    """Guards against an older sheet that removes newer keys or reinstates withdrawn ones."""
    content = sheet.parse(VALID.encode()).unwrap()
    first = sheet.merge(content, state.EMPTY_CONFIGURATION).unwrap()
    issued = model.Key(key_id="issued", account="bintang-glue", digest="cd" * 32)
    orphan = model.Key(key_id="orphan", account="gone", digest="ef" * 32)
    current = dataclasses.replace(first, keys=(*first.keys, issued, orphan))
    merged = sheet.merge(content, current).unwrap()
    assert merged.keys_by_id["issued"] == issued
    assert merged.keys_by_id["orphan"].withdrawn

    withdrawn = tuple(dataclasses.replace(key, withdrawn=True) for key in first.keys)
    problems = sheet.merge(content, dataclasses.replace(first, keys=withdrawn)).failure()
    assert [(problem.row, problem.column) for problem in problems] == [(3, "withdrawn")]
