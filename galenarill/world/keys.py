"""Team keys: secrets that callers present, kept only as digests."""

import hashlib
import hmac
import secrets

from galenarill.world.ids import KeyId

__all__ = [
    "new_key",
    "split_key",
    "digest_secret",
    "secret_matches",
]

KEY_PREFIX = "glk"
SECRET_BYTES = 24


def new_key() -> tuple[KeyId, str, str]:
    """Make a key.

    Returns:
        The key id, the text that the team presents, and the digest of its
        secret, which is all that the fleet keeps.

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
        text: What the caller presented.

    Returns:
        The id and the secret, or None if `text` has not the form of a key.
    """
    parts = text.split("_")
    if len(parts) != 3 or parts[0] != KEY_PREFIX or not all(parts):
        return None
    return KeyId(parts[1]), parts[2]


def digest_secret(secret: str) -> str:
    """Return the digest of `secret`, in hexadecimal.

    The secret has 192 random bits, so a plain hash needs no salt or stretching.
    """
    return hashlib.sha256(secret.encode()).hexdigest()


def secret_matches(secret: str, digest: str) -> bool:
    """Tell in constant time whether `secret` has `digest`."""
    return hmac.compare_digest(digest_secret(secret), digest)
