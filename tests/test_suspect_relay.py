"""Tests of forwarding requests suspected of crashing targets."""

from wigeonspool.agent import suspect_relay
from wigeonspool.model import messages


class TestSuspectRelay:
    def test_suspect_is_forwarded_once(self) -> None:
        relay = suspect_relay.SuspectRelay()
        sent: list[messages.Message] = []
        for _ in range(3):
            relay.relay(0.0, messages.Suspect(7, ("t0",)), sent.append)
        assert sent == [messages.Suspect(7, ("t0",))]

    def test_new_target_is_forwarded_with_earlier_ones(self) -> None:
        relay = suspect_relay.SuspectRelay()
        sent: list[messages.Message] = []
        relay.relay(0.0, messages.Suspect(7, ("t0",)), sent.append)
        relay.relay(0.0, messages.Suspect(7, ("t1",)), sent.append)
        assert sent[1] == messages.Suspect(7, ("t0", "t1"))

    # Guards against a request that gateways refuse, since crashes from before
    # its last answer are forwarded together with later ones.
    def test_answered_suspect_is_forwarded_and_dropped(self) -> None:
        relay = suspect_relay.SuspectRelay()
        sent: list[messages.Message] = []
        answer = messages.Suspect(7, ("t0",), True)
        relay.relay(0.0, answer, sent.append)
        assert sent == []
        relay.relay(0.0, messages.Suspect(7, ("t0",)), sent.append)
        for _ in range(2):
            relay.relay(0.0, answer, sent.append)
        relay.relay(0.0, messages.Suspect(7, ("t1",)), sent.append)
        assert sent[1:] == [answer, messages.Suspect(7, ("t1",))]

    def test_answers_are_not_limited(self) -> None:
        relay = suspect_relay.SuspectRelay()
        sent: list[messages.Message] = []
        count = suspect_relay.MAX_RELAYED_PER_SECOND
        for number in range(count):
            relay.relay(0.5, messages.Suspect(number, ("t",)), sent.append)
        for number in range(count):
            answer = messages.Suspect(number, ("t",), True)
            relay.relay(0.5, answer, sent.append)
        assert len(sent) == 2 * count

    def test_rate_is_limited(self) -> None:
        relay = suspect_relay.SuspectRelay()
        sent: list[messages.Message] = []
        for number in range(100):
            relay.relay(0.5, messages.Suspect(number, ("t",)), sent.append)
        assert len(sent) == suspect_relay.MAX_RELAYED_PER_SECOND
        assert relay.dropped == 100 - suspect_relay.MAX_RELAYED_PER_SECOND
        relay.relay(2.0, messages.Suspect(99, ("t",)), sent.append)
        assert len(sent) == suspect_relay.MAX_RELAYED_PER_SECOND + 1

    def test_number_of_stored_suspects_is_limited(self) -> None:
        relay = suspect_relay.SuspectRelay()
        for number in range(2 * suspect_relay.MAX_STORED_SUSPECTS):
            suspect = messages.Suspect(number, ("t",))
            relay.relay(float(number), suspect, lambda message: None)
        assert (
            len(relay._forwarded_targets) == suspect_relay.MAX_STORED_SUSPECTS
        )
