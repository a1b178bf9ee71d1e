"""Assignment tokens: which gateway is home for a caller's keys.

A token is signed, so that a caller cannot name a home of its choice. Keys of
non-idempotent requests begin with the token's identity; thus a key can never
be presented under two homes.
"""

import dataclasses
import secrets
from typing import Final

import itsdangerous

from wigeonspool.model import errors

SALT: Final = "wigeonspool.assignment"
ASSIGNMENT_ID_BYTES: Final = 9
# Base64 gives four characters for three bytes.
ASSIGNMENT_ID_CHARS: Final = ASSIGNMENT_ID_BYTES * 4 // 3
FIELD_COUNT: Final = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """What a token says.

    Attributes:
        assignment_id: Prefix of all keys that are used with it.
        caller: Name of the caller that it was issued to.
        owner: Name of the gateway that may run its requests.
        incarnation: Run of that gateway.
        address: host:port of that gateway.
        expires_at: Wall clock after which nothing runs under it, in seconds
            since the epoch.
    """

    assignment_id: str
    caller: str
    owner: str
    incarnation: str
    address: str
    expires_at: float


class TokenSigner:
    """Signs and checks tokens with a small set of keys."""

    __slots__ = ("_serializer",)

    def __init__(self, keys: list[str]) -> None:
        """Prepares the signer.

        Args:
            keys: Accepted keys; the last one signs.
        """
        self._serializer = itsdangerous.URLSafeSerializer(keys, salt=SALT)

    def sign(self, assignment: Assignment) -> str:
        """Returns the token of an assignment."""
        fields = dataclasses.astuple(assignment)
        return str(self._serializer.dumps(fields))

    def verify(self, token: str) -> Assignment:
        """Returns what a token says.

        Raises:
            TokenError: If the token is forged or damaged.
        """
        try:
            fields = self._serializer.loads(token)
        except (itsdangerous.BadData, ValueError) as error:
            raise errors.TokenError("signature does not match") from error
        if not isinstance(fields, list) or len(fields) != FIELD_COUNT:
            raise errors.TokenError("fields do not match")
        if not all(isinstance(text, str) for text in fields[:-1]):
            raise errors.TokenError("a field is not text")
        if not isinstance(fields[-1], float):
            raise errors.TokenError("expiry is not a number")
        return Assignment(*fields)


def create_assignment_id() -> str:
    """Returns a new identity that no other assignment has."""
    return secrets.token_urlsafe(ASSIGNMENT_ID_BYTES)
