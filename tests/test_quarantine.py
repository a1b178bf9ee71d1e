"""The quarantine of requests that crash their targets."""

from wigeonspool.core import quarantine


class TestQuarantineTable:
    def test_request_running_at_two_crashes_is_refused(self) -> None:
        table = quarantine.QuarantineTable()
        table.record_crash(0.0, 7, "t0")
        assert not table.is_refused(0.0, 7)
        table.record_crash(1.0, 7, "t1")
        assert table.is_refused(1.0, 7)

    def test_two_broken_connections_of_one_target_count_once(self) -> None:
        table = quarantine.QuarantineTable()
        table.record_crash(0.0, 7, "t0")
        table.record_crash(1.0, 7, "t0")
        assert not table.is_refused(1.0, 7)

    def test_answered_request_is_no_longer_a_suspect(self) -> None:
        table = quarantine.QuarantineTable()
        table.record_crash(0.0, 7, "t0")
        table.remove_suspect(7)
        table.record_crash(1.0, 7, "t1")
        assert not table.is_refused(1.0, 7)

    def test_mass_crash_makes_no_further_suspects(self) -> None:
        table = quarantine.QuarantineTable()
        for index in range(10):
            table.record_crash(0.001 * index, index % 2 + 1, f"t{index}")
        assert not table.is_refused(1.0, 1)
        assert not table.is_refused(1.0, 2)

    def test_suspect_reported_by_another_gateway_is_merged(self) -> None:
        reporting = quarantine.QuarantineTable()
        reporting.record_crash(0.0, 7, "t0")
        table = quarantine.QuarantineTable()
        for suspect in reporting.list_suspects():
            table.merge(0.5, *suspect)
        table.record_crash(1.0, 7, "t1")
        assert table.is_refused(1.0, 7)

    def test_suspect_expires(self) -> None:
        table = quarantine.QuarantineTable()
        table.record_crash(0.0, 7, "t0")
        table.record_crash(1.0, 7, "t1")
        later = 2.0 + quarantine.SUSPECT_TTL_SECONDS
        assert not table.is_refused(later, 7)
