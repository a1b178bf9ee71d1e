"""Forwards messages that are meant for the whole fleet."""

from collections.abc import Callable

from wigeonspool.agent import probe_relay
from wigeonspool.agent import suspect_relay
from wigeonspool.model import messages
from wigeonspool.model import probe_messages

RelayedMessage = (
    messages.Suspect | probe_messages.ProbeRequest | probe_messages.ProbeResult
)


class MessageRelay:
    """Forwards each kind of message to the processes that need it."""

    def __init__(
        self,
        now: Callable[[], float],
        send_all: Callable[[messages.Message], None],
        send_upstream: Callable[[messages.Message], None],
        request_probes: Callable[[probe_messages.ProbeRequest], None],
    ) -> None:
        """Creates a relay that has forwarded nothing.

        Args:
            now: Clock of this process, in seconds.
            send_all: Sends a message to all connected processes.
            send_upstream: Sends a message to the agents that are followed.
            request_probes: Handles a request for probes on this agent.
        """
        self._now = now
        self._send_all = send_all
        self._send_upstream = send_upstream
        self._request_probes = request_probes
        self._suspect_relay = suspect_relay.SuspectRelay()
        self._probe_relay = probe_relay.ProbeRelay()

    def relay(self, message: RelayedMessage) -> None:
        """Forwards a message unless it is a duplicate or over a limit."""
        now = self._now()
        if isinstance(message, messages.Suspect):
            self._suspect_relay.relay(now, message, self._send_all)
        elif isinstance(message, probe_messages.ProbeRequest):
            self._request_probes(message)
            self._probe_relay.relay_request(now, message, self._send_upstream)
        else:
            self._probe_relay.relay_result(now, message, self._send_all)

    def count_dropped(self) -> int:
        """Counts probe targets and results that the rate limits dropped."""
        relay = self._probe_relay
        return relay.request_limit.dropped + relay.result_limit.dropped
