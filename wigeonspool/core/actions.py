"""What the core asks its driver to do.

The driver is a gateway, or the virtual-time harness. The core never performs
an action itself, so both run the same decisions.
"""

import dataclasses

from wigeonspool.model import outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a request to a target.

    Attributes:
        request_id: Request to send.
        target: Address of the target.
    """

    request_id: int
    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel a running attempt; its result no longer matters."""

    request_id: int
    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class Settle:
    """Tell the caller how its request ended.

    Attributes:
        request_id: Request that ended.
        failure: Why it was not answered, or None if it was.
    """

    request_id: int
    failure: outcomes.Failure | None


Action = Send | Cancel | Settle
