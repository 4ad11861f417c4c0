"""Copies of the store's sections: their rows, version and confirmation."""

import itertools

from hypothesis import given, settings
from hypothesis import strategies as st

from greengageshunt.coordination import records, view


def _row(key: str, version: int) -> records.ControlRow:
    return records.ControlRow(key=key, version=version, value="{}")


def _changes(**fields: object) -> records.Changes:
    defaults = {"is_snapshot": False, "rows": (), "removed": (), "version": 1, "as_of": 0.0}
    return records.Changes(**{**defaults, **fields})


def test_late_answer_does_not_restore_an_older_state():
    """Guards against a slow answer that arrives after a newer one and reverts rows."""
    newer = view.apply(view.EMPTY_COPY, _changes(rows=(_row("a", 5),), version=5, as_of=2.0))
    assert view.apply(newer, _changes(is_snapshot=True, rows=(_row("a", 3),), version=3)) is newer


def test_full_read_keeps_rows_above_its_version():
    """Guards against a full read that drops a newer row which a peer sent during the read."""
    copy = view.SectionCopy(rows={"a": _row("a", 9)}, version=4, as_of=1.0)
    read = view.apply(copy, _changes(is_snapshot=True, rows=(_row("a", 2),), version=6, as_of=2.0))
    assert read.rows["a"].version == 9
    assert (read.version, read.as_of) == (6, 2.0)


def test_removed_row_disappears():
    """Guards against an entry that stays in use after its row was removed from the store."""
    copy = view.apply(view.EMPTY_COPY, _changes(rows=(_row("a", 1), _row("b", 2)), version=2))
    assert set(view.apply(copy, _changes(removed=("a",), version=3)).rows) == {"b"}


def test_peer_with_other_rows_confirms_nothing():
    """Guards against a confirmation by a peer whose rows differ."""
    copy = view.SectionCopy(rows={"a": _row("a", 1)}, version=1, as_of=1.0)
    peer_copy = view.SectionCopy(rows={"a": _row("a", 2)}, version=2, as_of=9.0)
    assert view.confirm(copy, peer_copy.digest, peer_copy.version, peer_copy.as_of) is copy
    assert view.confirm(copy, copy.digest, 7, 9.0).as_of == 9.0


def test_confirmation_never_goes_back():
    """Guards against an older confirmation that shortens a lease or extends it again."""
    copy = view.SectionCopy(rows={"a": _row("a", 1)}, version=3, as_of=5.0)
    assert view.confirm(copy, copy.digest, 1, 2.0) == copy


_WRITES = st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), min_size=1, max_size=12)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(writes=_WRITES, data=st.data())
def test_copy_equals_the_store_at_its_version(writes, data):
    """Guards against a copy with rows of two versions when answers arrive out of order."""
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
    copy = view.EMPTY_COPY
    for after, changes in data.draw(st.permutations(answers)):
        if after <= copy.version:
            copy = view.apply(copy, changes)
            versions = {key: row.version for key, row in copy.rows.items()}
            assert versions == states[copy.version]
