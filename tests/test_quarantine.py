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

    # Guards against a request that is refused since two targets crashed for
    # reasons of their own while they ran it.
    def test_answered_request_is_not_suspected_for_one_failure(self) -> None:
        table = quarantine.QuarantineTable()
        table.record_answer(7)
        table.record_crash(10.0, 7, "t0", started_at=9.0)
        table.record_crash(10.1, 7, "t1", started_at=9.5)
        assert not table.list_suspects()
        table.record_crash(12.0, 7, "t2", started_at=11.0)
        table.record_crash(13.0, 7, "t3", started_at=12.5)
        assert table.is_refused(13.0, 7)

    def test_reports_of_one_failure_count_only_without_an_answer(self) -> None:
        answered, other = (
            quarantine.QuarantineTable(),
            (quarantine.QuarantineTable()),
        )
        answered.record_answer(7)
        for table in (answered, other):
            table.merge_report(1.0, 7, "t0")
            table.merge_report(1.5, 7, "t1")
        assert not answered.list_suspects()
        assert other.is_refused(1.5, 7)

    def test_number_of_stored_answers_is_limited(self) -> None:
        table = quarantine.QuarantineTable()
        for fingerprint in range(1, quarantine.MAX_ANSWERED + 2):
            table.record_answer(fingerprint)
        table.record_crash(1.0, 1, "t0")
        table.record_crash(1.0, 2, "t0")
        assert table.is_suspect(1)
        assert not table.is_suspect(2)

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
