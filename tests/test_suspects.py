from wigeonspool.agent import suspects
from wigeonspool.model import messages


class TestSuspectRelay:
    def test_suspect_is_passed_on_once(self) -> None:
        relay = suspects.SuspectRelay()
        told: list[messages.Message] = []
        for _ in range(3):
            relay.take(0.0, messages.Suspect(7, ("t0",)), told.append)
        assert told == [messages.Suspect(7, ("t0",))]

    def test_new_crash_is_passed_on_with_all_known(self) -> None:
        relay = suspects.SuspectRelay()
        told: list[messages.Message] = []
        relay.take(0.0, messages.Suspect(7, ("t0",)), told.append)
        relay.take(0.0, messages.Suspect(7, ("t1",)), told.append)
        assert told[1] == messages.Suspect(7, ("t0", "t1"))

    def test_rate_is_bounded(self) -> None:
        relay = suspects.SuspectRelay()
        told: list[messages.Message] = []
        for number in range(100):
            relay.take(0.5, messages.Suspect(number, ("t",)), told.append)
        assert len(told) == suspects.PASSED_PER_SECOND
        assert relay.dropped == 100 - suspects.PASSED_PER_SECOND
        relay.take(2.0, messages.Suspect(99, ("t",)), told.append)
        assert len(told) == suspects.PASSED_PER_SECOND + 1

    def test_memory_is_bounded(self) -> None:
        relay = suspects.SuspectRelay()
        for number in range(2 * suspects.KEPT_SUSPECTS):
            suspect = messages.Suspect(number, ("t",))
            relay.take(float(number), suspect, lambda message: None)
        assert len(relay._known) == suspects.KEPT_SUSPECTS
