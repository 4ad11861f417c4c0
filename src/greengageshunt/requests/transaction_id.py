"""Transaction ids: signed tokens that identify an open transaction and its owner."""

import base64
import binascii
import dataclasses
import hashlib
import hmac

from returns import result

from greengageshunt import codec, errors

_SIGNATURE_BYTES = 16

# Prefix of the signed bytes. Session tokens are signed with the same key, and without
# the prefix a session token could pass as a transaction id.
_SIGNATURE_CONTEXT = b"transaction\0"


@dataclasses.dataclass(frozen=True, kw_only=True)
class TransactionId:
    """Content of a transaction id.

    Attributes:
        number: Identifier of the transaction, unique at its owner.
        vm: Entry VM that owned the primary when the transaction began, and runs it.
        group: Group of the transaction.
        target: Primary of the group.
        term: Term in which the transaction must commit.
        account: Client account that may use the transaction.
    """

    number: str
    vm: str
    group: str
    target: str
    term: int
    account: str


def _sign(payload: bytes, secret: str) -> bytes:
    digest = hmac.new(bytes.fromhex(secret), _SIGNATURE_CONTEXT + payload, hashlib.sha256).digest()
    return digest[:_SIGNATURE_BYTES]


def encode(content: TransactionId, secret: str) -> str:
    """Return the signed text of a transaction id.

    Args:
        content: Content to sign.
        secret: Signing key, in hexadecimal.
    """
    payload = codec.to_cbor(content)
    return base64.urlsafe_b64encode(_sign(payload, secret) + payload).decode().rstrip("=")


def decode(text: str, account: str, secret: str) -> result.Result[TransactionId, errors.Refusal]:
    """Verify a transaction id and return its content.

    Args:
        text: Text that the caller sent.
        account: Client account whose key came with the request.
        secret: Signing key, in hexadecimal.
    """
    try:
        data = base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
        signature, payload = data[:_SIGNATURE_BYTES], data[_SIGNATURE_BYTES:]
        if not hmac.compare_digest(signature, _sign(payload, secret)):
            return _invalid()
        content = codec.from_cbor(payload, TransactionId)
    except (binascii.Error, ValueError):
        return _invalid()
    # The same refusal as for a wrong signature, so that a caller cannot find out whether
    # an id of another account is valid.
    return result.Success(content) if content.account == account else _invalid()


def _invalid() -> result.Failure[errors.Refusal]:
    return result.Failure(
        errors.Refusal(
            code="transaction_invalid",
            message="the transaction id is not valid for this client account",
            outcome=errors.Outcome.NOT_RUN,
            step="transaction",
        )
    )
