"""Signed session tokens, which carry the log positions that a session has seen.

The caller sends its token with each request, so that any entry VM can continue the session.
"""

import base64
import binascii
import dataclasses
import hashlib
import hmac

from returns import result

from greengageshunt import codec, errors, model

# Length to which the HMAC-SHA-256 signature is truncated.
_SIGNATURE_BYTES = 16


@dataclasses.dataclass(frozen=True, kw_only=True)
class Session:
    """Content of a session token.

    Attributes:
        account: Client account for which the token was issued.
        positions: Newest log position read or written, by group.
    """

    account: str
    positions: dict[str, model.Position]


def merge(session: Session, group: str, position: model.Position) -> Session:
    """Return the session with a seen position of a group added, unless it has a newer one."""
    known = session.positions.get(group)
    newest = position if known is None else max(known, position)
    return dataclasses.replace(session, positions={**session.positions, group: newest})


def _sign(payload: bytes, secret: str) -> bytes:
    digest = hmac.new(bytes.fromhex(secret), payload, hashlib.sha256).digest()
    return digest[:_SIGNATURE_BYTES]


def encode(session: Session, secret: str) -> str:
    """Return the signed token of a session.

    Args:
        session: Content of the token.
        secret: Signing key, in hexadecimal.
    """
    payload = codec.to_cbor(session)
    return base64.urlsafe_b64encode(_sign(payload, secret) + payload).decode().rstrip("=")


def _invalid(message: str) -> result.Failure[errors.Refusal]:
    return result.Failure(
        errors.Refusal(
            code="token_invalid",
            message=message,
            outcome=errors.Outcome.NOT_RUN,
            step="session",
        )
    )


def decode(token: str, account: str, secret: str) -> result.Result[Session, errors.Refusal]:
    """Verify a token and return its content; an empty token starts a new session.

    Args:
        token: Text that the caller sent.
        account: Client account whose key the request carries.
        secret: Signing key, in hexadecimal.
    """
    if not token:
        return result.Success(Session(account=account, positions={}))
    try:
        data = base64.urlsafe_b64decode(token + "=" * (-len(token) % 4))
        signature, payload = data[:_SIGNATURE_BYTES], data[_SIGNATURE_BYTES:]
        if not hmac.compare_digest(signature, _sign(payload, secret)):
            return _invalid("the signature of the session token is invalid")
        session = codec.from_cbor(payload, Session)
    except (binascii.Error, ValueError):
        return _invalid("the session token is malformed")
    if session.account != account:
        return _invalid("the session token belongs to another client account")
    return result.Success(session)
