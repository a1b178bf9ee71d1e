"""Digests of the keys by which callers identify their client account."""

import hashlib
import os
import re
from typing import Final

DIGEST_BYTES: Final = 16
# Visible ASCII characters, so that a key fits into one header field.
_KEY: Final = re.compile("[!-~]{1,1024}")
# Differs between processes, so that callers cannot compute digests.
_SALT: Final = os.urandom(16)


def encode_key(text: str) -> bytes | None:
    """Returns a key as bytes, or None if a text is not a valid key.

    Configurations and requests are read by the same rule, so that each key of a
    configuration can be used.
    """
    return None if _KEY.fullmatch(text) is None else text.encode()


def digest_key(key: bytes) -> bytes:
    """Returns the digest of a key of a client account.

    Keys are compared by their digests, so that the time of a comparison does
    not depend on how much of a key is right. Digests of different processes
    differ.
    """
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES, salt=_SALT).digest()
