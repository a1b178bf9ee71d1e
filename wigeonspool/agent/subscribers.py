"""The processes that follow an agent, and the traffic of closed streams."""

import dataclasses

from wigeonspool.model import messages
from wigeonspool.wire import streams


@dataclasses.dataclass(slots=True, eq=False)
class Subscriber:
    """A process that follows this agent.

    Attributes:
        hello: Hello with which it opened its stream.
        stream: Stream to the process.
        generation: Newest generation that was sent to it.
        digest: Digest of this generation.
        expires_at: Deadline for its next message, in seconds on this process's
            clock.
        report: Latest report, if it is a gateway.
        last_pulse: Last synchronization marker sent to it that was not empty.
    """

    hello: messages.Hello
    stream: streams.Stream
    generation: int
    digest: str
    expires_at: float
    report: messages.GatewayReport | None = None
    last_pulse: messages.Pulse | None = None


@dataclasses.dataclass(slots=True)
class Traffic:
    """Bytes exchanged with other VMs on closed streams."""

    sent_bytes: int = 0
    received_bytes: int = 0

    def add(self, stream: streams.Stream) -> None:
        """Adds the bytes of a closed stream."""
        self.sent_bytes += stream.sent_bytes
        self.received_bytes += stream.received_bytes
