"""Authentication of the sender of a Hello.

The VM list lags, so it cannot distinguish a new VM from a foreign process. A
process of the fleet instead proves that it has one of the keys in the
settings.
"""

import dataclasses
import hashlib
import hmac

from wigeonspool.model import messages


def _compute_proof(hello: messages.Hello, key: str) -> str:
    """Returns the HMAC of a Hello under a key."""
    text = "\0".join(
        (hello.process, hello.role, hello.incarnation, hello.vm)
    ).encode()
    return hmac.new(key.encode(), text, hashlib.sha256).hexdigest()


def sign_hello(hello: messages.Hello, keys: list[str]) -> messages.Hello:
    """Returns a Hello with its proof.

    Args:
        hello: Hello without a proof.
        keys: Keys of the fleet; the last one signs.
    """
    return dataclasses.replace(hello, proof=_compute_proof(hello, keys[-1]))


def verify_hello(hello: messages.Hello, keys: list[str]) -> bool:
    """Returns True if the Hello is signed with one of the keys."""
    return any(
        hmac.compare_digest(_compute_proof(hello, key), hello.proof)
        for key in keys
    )
