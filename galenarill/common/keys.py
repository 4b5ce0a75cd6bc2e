"""Team keys: secrets presented by callers, stored only as digests."""

import hashlib
import hmac
import secrets

from galenarill.common.ids import KeyId

__all__ = [
    "new_key",
    "split_key",
    "digest_secret",
    "secret_matches",
]

KEY_PREFIX = "glk"
SECRET_BYTES = 24


def new_key() -> tuple[KeyId, str, str]:
    """Generate a key.

    Returns:
        The key id, the key text for the team, and the digest of its secret.
        The fleet stores the digest, never the secret.

    Example:
        >>> key_id, text, digest = new_key()
        >>> split_key(text)[0] == key_id
        True
        >>> secret_matches(split_key(text)[1], digest)
        True
    """
    key_id = KeyId(secrets.token_hex(6))
    secret = secrets.token_urlsafe(SECRET_BYTES).replace("_", "-")
    return key_id, f"{KEY_PREFIX}_{key_id}_{secret}", digest_secret(secret)


def split_key(text: str) -> tuple[KeyId, str] | None:
    """Split a presented key into its id and secret.

    Args:
        text: Key text presented by the caller.

    Returns:
        The id and the secret, or None if `text` is not a well-formed key.
    """
    parts = text.split("_")
    if len(parts) != 3 or parts[0] != KEY_PREFIX or not all(parts):
        return None
    return KeyId(parts[1]), parts[2]


def digest_secret(secret: str) -> str:
    """Return the SHA-256 digest of `secret` in hexadecimal.

    The secret has 192 random bits, so neither salt nor key stretching is
    needed.
    """
    return hashlib.sha256(secret.encode()).hexdigest()


def secret_matches(secret: str, digest: str) -> bool:
    """Return whether `secret` has `digest`, in constant time."""
    return hmac.compare_digest(digest_secret(secret), digest)
