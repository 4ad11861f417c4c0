"""Encoding and decoding of the line protocol."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from greengageshunt import errors, model
from greengageshunt.platform import framing, wire
from greengageshunt.pooling import statements

Kind = statements.Kind


@pytest.mark.parametrize(
    ("text", "kind"),
    [
        ("BEGIN", Kind.BEGIN),
        ("BEGIN READ", Kind.BEGIN_READ),
        ("COMMIT", Kind.COMMIT),
        ("ROLLBACK", Kind.ROLLBACK),
        ("READ 1a4", Kind.READ),
        ("WRITE 1a4 some data", Kind.WRITE),
        ("SET zone far north", Kind.SET),
        ("PREPARE s1 WRITE q2c", Kind.PREPARE),
        ("EXECUTE s1 1a4 data", Kind.EXECUTE),
        ("EXECUTE s1 1a4", Kind.EXECUTE),
        ("CLOSE s1", Kind.CLOSE),
        ("STATUS", Kind.MALFORMED),
        ("STEPDOWN 9", Kind.MALFORMED),
        ("AFTER 1.1 READ a", Kind.MALFORMED),
        ("RESET", Kind.MALFORMED),
        ("BEGIN WRITE", Kind.MALFORMED),
        ("READ", Kind.MALFORMED),
    ],
)
def test_statement_has_its_kind_and_unchanged_text(text, kind):
    """Guards against callers that send commands of this system to targets.

    It also guards against a statement that reaches the target with another text.
    """
    statement = wire.decode_statement("id", text)
    assert (statement.kind, statement.text) == (kind, text)


@settings(max_examples=500, derandomize=True, deadline=None)
@given(line=st.binary(max_size=200))
def test_any_bytes_are_a_statement_or_an_error(line):
    """Guards against input of a caller that raises any error other than ``WireError``."""
    try:
        statement = wire.decode_query(line)
    except framing.WireError:
        return
    assert statement is None or statement.id


@settings(max_examples=200, derandomize=True, deadline=None)
@given(message=st.text(max_size=80))
def test_error_text_stays_in_one_line(message):
    """Guards against line breaks in an error message that start further protocol messages."""
    refusal = errors.Refusal(
        code="BUSY", message=message, outcome=errors.Outcome.NOT_RUN, step="x", retry_after=0.25
    )
    encoded = wire.encode_answer(statements.CallerAnswer(refusal=refusal))
    assert encoded.count(b"\n") == 2
    assert b"retry after 250 ms\r\nREADY I -\r\n" in encoded


def test_position_is_decoded_and_encoded():
    """Guards against a position that is not decoded into numbers or is encoded wrongly."""
    assert wire.decode_position("3.1207") == model.Position(term=3, offset=1207)
    assert wire.decode_position("-") is None
    after = model.Position(term=3, offset=9)
    assert wire.encode_query("a", "READ x", after) == b"QUERY a AFTER 3.9 READ x\r\n"
    with pytest.raises(framing.WireError):
        wire.decode_position("3.x")
