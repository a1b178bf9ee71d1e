"""Passes on what all processes of the fleet should hear."""

from collections.abc import Callable

from wigeonspool.agent import measurements as measurement_relays
from wigeonspool.agent import suspects
from wigeonspool.model import measurements
from wigeonspool.model import messages

Passed = messages.Suspect | measurements.ProbeRequest | measurements.ProbeResult


class Relay:
    """Takes messages that are passed on, each to whom it concerns."""

    def __init__(
        self,
        now: Callable[[], float],
        send_all: Callable[[messages.Message], None],
        send_up: Callable[[messages.Message], None],
        want: Callable[[measurements.ProbeRequest], None],
    ) -> None:
        """Prepares a relay that passed on nothing.

        Args:
            now: Clock of this process, in seconds.
            send_all: Sends a message to all that are connected.
            send_up: Sends a message to the agents that are followed.
            want: Takes a wish for targets to be measured.
        """
        self._now = now
        self._send_all = send_all
        self._send_up = send_up
        self._want = want
        self._suspects = suspects.SuspectRelay()
        self._measurements = measurement_relays.MeasurementRelay()

    def take(self, message: Passed) -> None:
        """Passes a message on, unless that was done."""
        now = self._now()
        if isinstance(message, messages.Suspect):
            self._suspects.take(now, message, self._send_all)
        elif isinstance(message, measurements.ProbeRequest):
            self._want(message)
            self._measurements.take_request(now, message, self._send_up)
        else:
            self._measurements.take_result(now, message, self._send_all)

    def count_dropped(self) -> int:
        """Returns the wishes and results that were too many to pass on."""
        relay = self._measurements
        return relay.requests.dropped + relay.results.dropped
