"""Assignment tokens, which name the gateway that owns a caller's keys.

Tokens are signed, so a caller cannot choose the owner itself. Idempotency keys
begin with the assignment identity of their token, so a key can never be
submitted to two owners.
"""

import dataclasses
import secrets
from typing import Final

import itsdangerous

from wigeonspool.model import errors

SALT: Final = "wigeonspool.assignment"
ASSIGNMENT_ID_BYTES: Final = 9
# Base64 encodes three bytes as four characters.
ASSIGNMENT_ID_CHARS: Final = ASSIGNMENT_ID_BYTES * 4 // 3
FIELD_COUNT: Final = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """Content of a token.

    Attributes:
        assignment_id: Prefix of all keys that are used with the token.
        caller: Name of the caller that the token was issued to.
        owner: Name of the gateway that may run requests with these keys.
        incarnation: Incarnation of that gateway.
        address: host:port of that gateway.
        expires_at: Time after which no request with the token is run, in
            seconds since the epoch.
    """

    assignment_id: str
    caller: str
    owner: str
    incarnation: str
    address: str
    expires_at: float


class TokenSigner:
    """Signs and verifies tokens."""

    __slots__ = ("_serializer",)

    def __init__(self, keys: list[str]) -> None:
        """Creates a signer.

        Args:
            keys: Keys that are accepted; the last one signs.
        """
        self._serializer = itsdangerous.URLSafeSerializer(keys, salt=SALT)

    def sign(self, assignment: Assignment) -> str:
        """Returns the signed token of an assignment."""
        fields = dataclasses.astuple(assignment)
        return str(self._serializer.dumps(fields))

    def verify(self, token: str) -> Assignment:
        """Returns the content of a token; does not check its expiry.

        Raises:
            TokenError: If the token is forged, damaged or signed with a key
                that is not accepted.
        """
        try:
            fields = self._serializer.loads(token)
        except (itsdangerous.BadData, ValueError) as error:
            raise errors.TokenError("signature does not match") from error
        if not isinstance(fields, list) or len(fields) != FIELD_COUNT:
            raise errors.TokenError("fields do not match")
        if not all(isinstance(field, str) for field in fields[:-1]):
            raise errors.TokenError("a field is not text")
        if not isinstance(fields[-1], float):
            raise errors.TokenError("expiry is not a number")
        return Assignment(*fields)


def create_assignment_id() -> str:
    """Returns a new random identity, unique among all assignments."""
    return secrets.token_urlsafe(ASSIGNMENT_ID_BYTES)
