"""Digests of the keys by which callers identify their client account."""

import hashlib
import secrets
from typing import Final

DIGEST_BYTES: Final = 16
# Differs between processes, so that callers cannot compute digests.
_SALT: Final = secrets.token_bytes(16)


def digest_key(key: bytes) -> bytes:
    """Returns the digest of a key of a client account.

    Keys are compared by their digests, so that the time of a comparison does
    not depend on how much of a key is right. Digests of different processes
    differ.
    """
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES, salt=_SALT).digest()
