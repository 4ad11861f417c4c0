"""Copies of the store: what they hold, and as of when."""

import itertools

from hypothesis import given, settings
from hypothesis import strategies as st

from greengageshunt.coordination import records, view


def _row(key: str, version: int) -> records.ControlRow:
    return records.ControlRow(key=key, version=version, value="{}")


def _changes(**fields: object) -> records.Changes:
    defaults = {"whole": False, "rows": (), "removed": (), "version": 1, "as_of": 0.0}
    return records.Changes(**{**defaults, **fields})


def test_late_answer_does_not_bring_back_an_older_state():
    """Guards against a slow answer that overtakes a newer one and reverts rows."""
    newer = view.apply(view.EMPTY, _changes(rows=(_row("a", 5),), version=5, as_of=2.0))
    assert view.apply(newer, _changes(whole=True, rows=(_row("a", 3),), version=3)) is newer


def test_whole_reading_keeps_rows_above_its_version():
    """Guards against a reading that drops a row which a peer passed on meanwhile."""
    copy = view.Copy(rows={"a": _row("a", 9)}, version=4, as_of=1.0)
    read = view.apply(copy, _changes(whole=True, rows=(_row("a", 2),), version=6, as_of=2.0))
    assert read.rows["a"].version == 9
    assert (read.version, read.as_of) == (6, 2.0)


def test_removed_row_disappears():
    """Guards against a removed entry that is used on."""
    copy = view.apply(view.EMPTY, _changes(rows=(_row("a", 1), _row("b", 2)), version=2))
    assert set(view.apply(copy, _changes(removed=("a",), version=3)).rows) == {"b"}


def test_peer_with_other_rows_confirms_nothing():
    """Guards against a confirmation by a peer that holds another state."""
    mine = view.Copy(rows={"a": _row("a", 1)}, version=1, as_of=1.0)
    other = view.Copy(rows={"a": _row("a", 2)}, version=2, as_of=9.0)
    assert view.confirm(mine, other.digest, other.version, other.as_of) is mine
    assert view.confirm(mine, mine.digest, 7, 9.0).as_of == 9.0


def test_confirmation_never_goes_back():
    """Guards against an older confirmation that ends a permission early or revives it."""
    mine = view.Copy(rows={"a": _row("a", 1)}, version=3, as_of=5.0)
    assert view.confirm(mine, mine.digest, 1, 2.0) == mine


_WRITES = st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), min_size=1, max_size=12)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(writes=_WRITES, data=st.data())
def test_copy_equals_the_store_at_its_version(writes, data):
    """Guards against a copy that mixes states, in whatever order answers come."""
    states: list[dict[str, int]] = [{}]
    for version, (key, delete) in enumerate(writes, start=1):
        state = dict(states[-1])
        state.pop(key, None)
        if not delete:
            state[key] = version
        states.append(state)
    answers = []
    for after, version in itertools.combinations(range(len(states)), 2):
        touched = {key for key, _ in writes[after:version]}
        state = states[version]
        rows = tuple(_row(key, state[key]) for key in sorted(touched) if key in state)
        removed = tuple(sorted(touched - set(state)))
        answers.append((after, _changes(rows=rows, removed=removed, version=version)))
    copy = view.EMPTY
    for after, changes in data.draw(st.permutations(answers)):
        if after <= copy.version:
            copy = view.apply(copy, changes)
            shown = {key: row.version for key, row in copy.rows.items()}
            assert shown == states[copy.version]
