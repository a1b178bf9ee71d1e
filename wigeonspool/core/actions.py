"""Actions that the core returns to its driver.

The driver is a gateway or the virtual-time harness. The core never performs an
action itself, so that both run the same decisions.
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
    """Cancel a running attempt; its result is ignored.

    Attributes:
        request_id: Request of the attempt.
        target: Address of the target.
    """

    request_id: int
    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class Settle:
    """Report the end of a request to its caller.

    Attributes:
        request_id: Request that ended.
        failure: Why there is no response, or None if a target responded.
    """

    request_id: int
    failure: outcomes.Failure | None


Action = Send | Cancel | Settle
