"""What an agent keeps of each process that follows it."""

import dataclasses

from wigeonspool.model import messages
from wigeonspool.wire import streams


@dataclasses.dataclass(slots=True, eq=False)
class Subscriber:
    """A process that follows this agent.

    Attributes:
        hello: What it opened its stream with.
        stream: Its stream.
        generation: Newest generation that was sent to it.
        digest: Digest of the chain of changes there.
        silence_deadline: Deadline, on this process's clock, by which it must
            have sent something.
        report: Latest report, if it is a gateway.
        last_pulse: Last pulse that told it of a digest.
    """

    hello: messages.Hello
    stream: streams.Stream
    generation: int
    digest: str
    silence_deadline: float
    report: messages.GatewayReport | None = None
    last_pulse: messages.Pulse | None = None


@dataclasses.dataclass(slots=True)
class Traffic:
    """Bytes exchanged with other VMs, without those of open streams."""

    sent_bytes: int = 0
    received_bytes: int = 0

    def add(self, stream: streams.Stream) -> None:
        """Counts a stream that ended."""
        self.sent_bytes += stream.sent_bytes
        self.received_bytes += stream.received_bytes
