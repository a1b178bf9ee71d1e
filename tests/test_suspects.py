from wigeonspool.agent import suspect_relay
from wigeonspool.model import messages


class TestSuspectRelay:
    def test_suspect_is_passed_on_once(self) -> None:
        relay = suspect_relay.SuspectRelay()
        told: list[messages.Message] = []
        for _ in range(3):
            relay.relay(0.0, messages.Suspect(7, ("t0",)), told.append)
        assert told == [messages.Suspect(7, ("t0",))]

    def test_new_crash_is_passed_on_with_all_known(self) -> None:
        relay = suspect_relay.SuspectRelay()
        told: list[messages.Message] = []
        relay.relay(0.0, messages.Suspect(7, ("t0",)), told.append)
        relay.relay(0.0, messages.Suspect(7, ("t1",)), told.append)
        assert told[1] == messages.Suspect(7, ("t0", "t1"))

    def test_rate_is_bounded(self) -> None:
        relay = suspect_relay.SuspectRelay()
        told: list[messages.Message] = []
        for number in range(100):
            relay.relay(0.5, messages.Suspect(number, ("t",)), told.append)
        assert len(told) == suspect_relay.MAX_RELAYED_PER_SECOND
        assert relay.dropped == 100 - suspect_relay.MAX_RELAYED_PER_SECOND
        relay.relay(2.0, messages.Suspect(99, ("t",)), told.append)
        assert len(told) == suspect_relay.MAX_RELAYED_PER_SECOND + 1

    def test_memory_is_bounded(self) -> None:
        relay = suspect_relay.SuspectRelay()
        for number in range(2 * suspect_relay.MAX_KNOWN_SUSPECTS):
            suspect = messages.Suspect(number, ("t",))
            relay.relay(float(number), suspect, lambda message: None)
        assert len(relay._known_targets) == suspect_relay.MAX_KNOWN_SUSPECTS
