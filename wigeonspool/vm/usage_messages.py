"""Datagrams between VMs about the quotas of client accounts."""

from collections.abc import Iterable
from typing import Annotated, Final

import msgspec

# Fits into one packet on usual links.
MAX_DATAGRAM_BYTES: Final = 1200
MAX_NAME_BYTES: Final = 200
# Size of a message without its entries, and of an entry without its name.
HEAD_BYTES: Final = 64
ENTRY_BYTES: Final = 24

_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_BYTES)]
_Time = Annotated[float, msgspec.Meta(ge=0, le=1e12)]
_Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=10**9)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=100_000)]
_Incarnation = Annotated[int, msgspec.Meta(ge=0, lt=2**32)]


class Want(msgspec.Struct, array_like=True, frozen=True):
    """Tokens that a VM requests for an account.

    Attributes:
        account: Name of the account.
        waiting: Requests that wait.
        ahead: Expected requests.
    """

    account: _Name
    waiting: _Count
    ahead: _Count = 0


class Granted(msgspec.Struct, array_like=True, frozen=True):
    """Tokens that a coordinator grants for an account.

    Attributes:
        account: Name of the account.
        granted: Tokens.
        refused: Waiting requests that get none.
        retry_ms: Time after which the first of them should return.
    """

    account: _Name
    granted: _Count
    refused: _Count = 0
    retry_ms: _Milliseconds = 0


# No account is listed twice, and each entry has at least four bytes.
_Wants = Annotated[tuple[Want, ...], msgspec.Meta(max_length=300)]
_Grants = Annotated[tuple[Granted, ...], msgspec.Meta(max_length=300)]


class TokenRequest(msgspec.Struct, array_like=True, tag=0, frozen=True):
    """Requests tokens from a coordinator.

    Attributes:
        sent_at: Clock of the sender, which identifies the message.
        wants: Tokens that are requested.
    """

    sent_at: _Time
    wants: _Wants = ()


class Delegation(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """Asks a coordinator for its clock, and delegates a share to it.

    Attributes:
        sent_at: Clock of the sender, which identifies the message.
        wants: Tokens that are requested.
        incarnation: Process of the coordinator whose clock is echoed, or 0.
        clock: Clock value of its latest reply, or 0.
        seconds: Time after that clock value at which the delegation of the
            sender's share ends; 0 if it is not delegated.
        term: Identifies the time of the sender with this coordinator.
        starting: Starting tokens that the share brings; see
            `usage_limits.StartingTokens`.
    """

    sent_at: _Time
    wants: _Wants = ()
    incarnation: _Incarnation = 0
    clock: _Time = 0.0
    seconds: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    term: _Time = 0.0
    starting: Annotated[int, msgspec.Meta(ge=0, le=2)] = 0


class TokenReply(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """Replies to a request for tokens.

    Attributes:
        sent_at: Clock value of the request.
        shares: Number of shares that are delegated to the coordinator.
        grants: Tokens, for each account of the request.
    """

    sent_at: _Time
    shares: _Count
    grants: _Grants = ()


class DelegationReply(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """Replies to a delegation.

    Attributes:
        sent_at: Clock value of the delegation.
        shares: Number of shares that are delegated to the coordinator.
        grants: Tokens, for each account of the message.
        incarnation: Process of the coordinator.
        clock: Clock of the coordinator.
        is_leaving: True if it stops soon.
    """

    sent_at: _Time
    shares: _Count
    grants: _Grants
    incarnation: _Incarnation
    clock: _Time
    is_leaving: bool = False


Request = TokenRequest | Delegation
Reply = TokenReply | DelegationReply
Message = TokenRequest | Delegation | TokenReply | DelegationReply

_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Returns a message as a datagram."""
    return _ENCODER.encode(message)


def decode(data: bytes) -> Message | None:
    """Returns the message in a datagram, or None if it is not valid."""
    if len(data) > MAX_DATAGRAM_BYTES:
        return None
    try:
        return _DECODER.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        # Datagrams of other programs may arrive at this port.
        return None


def split_wants(wants: Iterable[Want]) -> list[tuple[Want, ...]]:
    """Returns wants in groups of which each fits into one datagram.

    The reply to each group fits into one datagram, too.
    """
    groups: list[list[Want]] = []
    size = MAX_DATAGRAM_BYTES
    for want in wants:
        entry_bytes = ENTRY_BYTES + len(want.account.encode())
        size += entry_bytes
        if size > MAX_DATAGRAM_BYTES:
            groups.append([])
            size = HEAD_BYTES + entry_bytes
        groups[-1].append(want)
    return [tuple(group) for group in groups]
