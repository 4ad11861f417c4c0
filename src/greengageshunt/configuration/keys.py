"""Keys of client accounts: creation and verification.

A caller sends a key as ``<key id>.<secret>``; only a digest of the secret is stored.
"""

import hashlib
import hmac
import re
import secrets

from returns import result

from greengageshunt import errors, model

_SECRET_BYTES = 24

KEY_ID_RULE = "1 to 64 letters, digits, underscores or hyphens"

# Without dots, because a dot separates the key id from the secret.
_KEY_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,63}")


def is_key_id(text: str) -> bool:
    """Return whether a text may be a key id."""
    return _KEY_ID.fullmatch(text) is not None


def sha256_hex(secret: str) -> str:
    """Return the SHA-256 digest of a secret, in hexadecimal, as a configuration stores it.

    A secret may contain lone surrogates: a caller's may not be UTF-8, and JSON allows them.
    """
    return hashlib.sha256(secret.encode("utf-8", "surrogatepass")).hexdigest()


def create_key(key_id: str, account: str) -> tuple[model.Key, str]:
    """Create a key with a new random secret.

    Returns:
        The key, and the text that the caller sends. The secret in that text is not stored.
    """
    secret = secrets.token_urlsafe(_SECRET_BYTES)
    key = model.Key(key_id=key_id, account=account, digest=sha256_hex(secret))
    return key, f"{key_id}.{secret}"


def _refuse(code: str, message: str) -> result.Failure[errors.Refusal]:
    return result.Failure(
        errors.Refusal(
            code=code, message=message, outcome=errors.Outcome.NOT_RUN, step="authenticate"
        )
    )


def authenticate(
    configuration: model.Configuration, route: model.Route, key: str
) -> result.Result[str, errors.Refusal]:
    """Return the client account for which a request runs.

    Args:
        configuration: Configuration in force.
        route: Route of the request.
        key: Text that the caller sent, or an empty string.

    Returns:
        Name of the client account, or an empty string for an open route without a key.
    """
    if not key:
        if route.open:
            return result.Success("")
        return _refuse("key_missing", f"route {route.name!r} needs a key")
    key_id, _, secret = key.partition(".")
    stored = configuration.keys_by_id.get(key_id)
    expected = stored.digest if stored else sha256_hex("")
    # Compares digests for unknown key ids too, so that the response time does not reveal which
    # key ids exist.
    matches = hmac.compare_digest(sha256_hex(secret), expected)
    if stored is None or not matches:
        return _refuse("key_unknown", "the key is unknown")
    if stored.withdrawn:
        return _refuse("key_withdrawn", "the key is withdrawn")
    if stored.account not in configuration.accounts_by_name:
        return _refuse("account_unknown", "the key's client account does not exist")
    return result.Success(stored.account)
