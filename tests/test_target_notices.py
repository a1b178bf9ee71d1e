"""What targets state about themselves, without a network or a clock."""

import itertools
import math

import multidict
import pytest

from wigeonspool.core import target_notices
from wigeonspool.model import fleet
from wigeonspool.model import protocols
from wigeonspool.platform import http_protocol


def build_entry(
    identity: str = "t-1",
    started_at_ms: int = 1_000,
    state: fleet.TargetState = fleet.TargetState.SERVING,
    address: str = "10.0.0.1:80",
    warmup_seconds: float = 0.0,
) -> fleet.TargetEntry:
    return fleet.TargetEntry(
        identity, "s", address, "z", 4, state, warmup_seconds, started_at_ms
    )


def read_notice(status: int, **fields: str) -> protocols.TargetNotice:
    """Reads a notice; underscores in names stand for hyphens."""
    headers = multidict.CIMultiDict(
        {name.replace("_", "-"): value for name, value in fields.items()}
    )
    return http_protocol.read_notice(
        status, multidict.CIMultiDictProxy(headers)
    )


class TestNoticeFields:
    @pytest.mark.parametrize("status", [200, 204, 400, 421, 429, 500, 503, 504])
    def test_leaving_counts_with_every_status(self, status: int) -> None:
        notice = read_notice(status, Server_Leaving="1")
        assert notice == protocols.TargetNotice(True, None, "")

    @pytest.mark.parametrize("value", ["0", "", "true", "11", "1, 1", "yes"])
    def test_other_values_of_leaving_mean_nothing(self, value: str) -> None:
        notice = read_notice(200, Server_Leaving=value)
        assert not notice.leaving
        assert notice.problem == f"Server-Leaving: {value}"

    def test_response_without_the_fields_states_nothing(self) -> None:
        assert read_notice(503) == protocols.TargetNotice(False, None, "")

    @pytest.mark.parametrize(
        ("value", "seconds"),
        [
            ("2", 2.0),
            ("0", 0.0),
            ("0.25", 0.25),
            ("1.2345678901234567", 1.2345678901234567),
            ("100000000", 1e8),
        ],
    )
    def test_seconds_and_fractions_count(
        self, value: str, seconds: float
    ) -> None:
        notice = read_notice(503, Retry_After=value)
        assert notice == protocols.TargetNotice(False, seconds, "")

    @pytest.mark.parametrize(
        "value",
        [
            "-1",
            "nan",
            "inf",
            "Infinity",
            "soon",
            "",
            "1_0",
            "1e400",
            "9" * 400,
            "Fri, 31 Dec 1999 23:59:59 GMT",
            "\u0662",
        ],
    )
    def test_values_that_are_no_seconds_are_ignored(self, value: str) -> None:
        notice = read_notice(503, Retry_After=value)
        assert not notice.leaving
        assert notice.retry_after_seconds is None
        assert notice.problem == f"Retry-After: {value[:64]}"

    @pytest.mark.parametrize("status", [200, 429, 500, 301])
    def test_retry_after_counts_only_in_a_refusal(self, status: int) -> None:
        notice = read_notice(status, Retry_After="2")
        assert notice == protocols.TargetNotice(False, None, "")

    def test_both_may_be_stated(self) -> None:
        notice = read_notice(503, Server_Leaving="1", Retry_After="0.5")
        assert notice == protocols.TargetNotice(True, 0.5, "")


class TestLeaving:
    def test_target_that_leaves_gets_nothing_more(self) -> None:
        table = target_notices.NoticeTable("vm-1")
        entry = build_entry()
        assert table.may_send(0.0, entry)
        assert table.record_leaving(0.0, entry)
        assert not table.record_leaving(1.0, entry)
        for now in (0.0, 10.0, 1e9):
            assert not table.may_send(now, entry)
            assert not table.admit(now, entry)

    # Failure: an entry that is rewritten after the notice undoes it.
    def test_rewritten_entry_of_the_same_start_does_not_undo_it(self) -> None:
        table = target_notices.NoticeTable("vm-1")
        table.record_leaving(0.0, build_entry())
        for entry in (
            build_entry(),
            build_entry(state=fleet.TargetState.DRAINING),
            build_entry(address="10.0.0.2:80"),
            build_entry(warmup_seconds=3.0),
        ):
            assert not table.may_send(1.0, entry)

    def test_new_start_ends_it(self) -> None:
        table = target_notices.NoticeTable("vm-1")
        table.record_leaving(0.0, build_entry(started_at_ms=1_000))
        assert table.may_send(1.0, build_entry(started_at_ms=2_000))
        assert table.admit(1.0, build_entry(started_at_ms=2_000))
        assert not table.may_send(1.0, build_entry(started_at_ms=1_000))

    def test_new_start_may_leave_too(self) -> None:
        table = target_notices.NoticeTable("vm-1")
        table.record_leaving(0.0, build_entry(started_at_ms=1_000))
        assert table.record_leaving(1.0, build_entry(started_at_ms=2_000))
        assert not table.may_send(1.0, build_entry(started_at_ms=2_000))

    def test_other_targets_are_not_affected(self) -> None:
        table = target_notices.NoticeTable("vm-1")
        table.record_leaving(0.0, build_entry("t-1"))
        assert table.may_send(0.0, build_entry("t-2"))

    def test_starts_without_a_time_are_told_apart_by_address(self) -> None:
        table = target_notices.NoticeTable("vm-1")
        table.record_leaving(0.0, build_entry(started_at_ms=0))
        assert not table.may_send(1.0, build_entry(started_at_ms=0))
        other = build_entry(started_at_ms=0, address="10.0.0.2:80")
        assert table.may_send(1.0, other)


class TestDecline:
    def test_target_gets_nothing_until_the_end(self) -> None:
        table = target_notices.NoticeTable("vm-1")
        entry = build_entry()
        assert table.record_declined(10.0, entry, 12.0)
        for now in (10.0, 10.4, 11.0, 11.999):
            assert not table.may_send(now, entry)
            assert not table.admit(now, entry)
        assert table.may_send(12.0, entry)

    def test_small_values_hold_too(self) -> None:
        table = target_notices.NoticeTable("vm-1")
        entry = build_entry()
        table.record_declined(10.0, entry, 10.05)
        assert not table.admit(10.049, entry)
        assert table.may_send(10.05, entry)
        assert table.admit(10.1, entry)

    def test_zero_changes_nothing(self) -> None:
        table = target_notices.NoticeTable("vm-1")
        entry = build_entry()
        assert not table.record_declined(10.0, entry, 10.0)
        assert table.may_send(10.0, entry)
        assert table.admit(10.0, entry)

    def test_later_end_replaces_the_first(self) -> None:
        table = target_notices.NoticeTable("vm-1")
        entry = build_entry()
        table.record_declined(10.0, entry, 12.0)
        assert table.record_declined(10.2, entry, 15.0)
        assert not table.may_send(14.9, entry)
        assert table.may_send(15.0, entry)

    def test_earlier_end_does_not_shorten(self) -> None:
        table = target_notices.NoticeTable("vm-1")
        entry = build_entry()
        table.record_declined(10.0, entry, 12.0)
        assert not table.record_declined(10.2, entry, 11.0)
        assert not table.may_send(11.9, entry)
        assert table.find_declined_until(10.3, entry) == 12.0

    def test_very_long_value_is_kept_as_said(self) -> None:
        table = target_notices.NoticeTable("vm-1")
        entry = build_entry()
        table.record_declined(10.0, entry, 10.0 + 1e8)
        assert not table.may_send(1e8, entry)
        assert table.find_declined_until(1e8, entry) == 10.0 + 1e8

    def test_new_start_ends_it(self) -> None:
        table = target_notices.NoticeTable("vm-1")
        table.record_declined(10.0, build_entry(started_at_ms=1_000), 1e6)
        assert table.may_send(11.0, build_entry(started_at_ms=2_000))
        assert table.admit(11.0, build_entry(started_at_ms=2_000))

    # Failure: a late response of the start before makes a VM forget what the
    # new start of a target stated.
    def test_late_notice_of_an_earlier_start_does_not_end_it(self) -> None:
        table = target_notices.NoticeTable("vm-1")
        old_start = build_entry(started_at_ms=1_000)
        new_start = build_entry(started_at_ms=2_000)
        table.record_declined(10.0, new_start, 20.0)
        table.record_leaving(11.0, old_start)
        table.record_problem(11.0, old_start, "Retry-After: soon")
        assert not table.may_send(12.0, new_start)
        assert not table.is_leaving(new_start)
        assert table.is_leaving(old_start)

    def test_end_of_the_decline_does_not_undo_leaving(self) -> None:
        table = target_notices.NoticeTable("vm-1")
        entry = build_entry()
        table.record_declined(10.0, entry, 12.0)
        table.record_leaving(11.0, entry)
        assert not table.may_send(20.0, entry)


def count_admitted(
    table: target_notices.NoticeTable,
    entry: fleet.TargetEntry,
    start: float,
    seconds: float,
) -> int:
    """Returns how many of many requests are admitted from a time on."""
    steps = int(seconds / 0.001)
    return sum(
        table.admit(start + index * 0.001, entry)
        for index in range(steps)
        for _ in range(3)
    )


class TestReturn:
    # Failure: all queued requests go to a target in the moment in which it
    # accepts requests again.
    def test_few_requests_are_sent_at_first(self) -> None:
        table = target_notices.NoticeTable("vm-1")
        entry = build_entry()
        table.record_declined(0.0, entry, 2.0)
        latest_start = 2.0 + target_notices.RETURN_SPREAD_SECONDS
        assert count_admitted(table, entry, 2.0, 0.05) <= 1
        assert 1 <= count_admitted(table, entry, latest_start, 0.1) <= 8

    def test_requests_are_not_limited_after_the_return(self) -> None:
        table = target_notices.NoticeTable("vm-1")
        entry = build_entry()
        table.record_declined(0.0, entry, 2.0)
        done_at = (
            2.0
            + target_notices.RETURN_SPREAD_SECONDS
            + target_notices.RETURN_SECONDS
        )
        assert all(table.admit(done_at, entry) for _ in range(5_000))

    def test_vms_begin_to_return_at_different_times(self) -> None:
        entry = build_entry()
        first_times = []
        for index in range(40):
            table = target_notices.NoticeTable(f"vm-{index}")
            table.record_declined(0.0, entry, 2.0)
            wanted_at = table.find_wanted_at(0.0, [entry])
            assert wanted_at is not None
            first_times.append(wanted_at)
        limit = 2.0 + target_notices.RETURN_SPREAD_SECONDS
        assert all(2.0 <= at <= limit for at in first_times)
        for begin, end in itertools.pairwise(
            [2.0, 2.0625, 2.125, 2.1875, 2.25]
        ):
            assert 2 <= sum(begin <= at < end for at in first_times) <= 20

    def test_return_begins_at_the_same_time_in_each_process(self) -> None:
        entry = build_entry()
        tables = [target_notices.NoticeTable("vm-1") for _ in range(2)]
        for table in tables:
            table.record_declined(0.0, entry, 2.0)
        first, second = (t.find_wanted_at(0.0, [entry]) for t in tables)
        assert first == second

    def test_new_decline_ends_the_return(self) -> None:
        table = target_notices.NoticeTable("vm-1")
        entry = build_entry()
        table.record_declined(0.0, entry, 2.0)
        assert table.admit(2.5, entry)
        table.record_declined(2.51, entry, 4.5)
        assert count_admitted(table, entry, 2.51, 1.98) == 0
        assert count_admitted(table, entry, 4.5, 0.05) <= 1


class TestWantedAt:
    def test_is_none_while_a_target_wants_requests(self) -> None:
        table = target_notices.NoticeTable("vm-1")
        entries = [build_entry("t-1"), build_entry("t-2")]
        assert table.find_wanted_at(0.0, entries) is None
        table.record_declined(0.0, entries[0], 5.0)
        assert table.find_wanted_at(0.0, entries) is None
        assert table.find_wanted_at(0.0, []) is None

    def test_is_the_earliest_end(self) -> None:
        table = target_notices.NoticeTable("vm-1")
        entries = [build_entry(f"t-{index}") for index in range(3)]
        table.record_declined(0.0, entries[0], 5.0)
        table.record_declined(0.0, entries[1], 3.0)
        table.record_leaving(0.0, entries[2])
        wanted_at = table.find_wanted_at(0.0, entries)
        assert wanted_at is not None
        assert 3.0 <= wanted_at <= 3.0 + target_notices.RETURN_SPREAD_SECONDS

    def test_is_infinite_if_all_targets_leave(self) -> None:
        table = target_notices.NoticeTable("vm-1")
        entries = [build_entry(f"t-{index}") for index in range(3)]
        for entry in entries:
            table.record_leaving(0.0, entry)
        assert table.find_wanted_at(0.0, entries) == math.inf

    def test_follows_the_limit_during_the_return(self) -> None:
        table = target_notices.NoticeTable("vm-1")
        entry = build_entry()
        table.record_declined(0.0, entry, 2.0)
        now = 2.0 + target_notices.RETURN_SPREAD_SECONDS
        admitted = sum(table.admit(now, entry) for _ in range(1_000))
        assert 1 <= admitted < 20
        wanted_at = table.find_wanted_at(now, [entry])
        assert wanted_at is not None
        assert now < wanted_at < now + target_notices.RETURN_SECONDS
        assert table.admit(wanted_at, entry)


class TestRetryAt:
    # Failure: all callers that were refused return in the same moment.
    def test_callers_return_at_different_times_after_the_end(self) -> None:
        times = [
            target_notices.find_retry_at(10.0, 12.0, index / 100)
            for index in range(100)
        ]
        assert min(times) >= 12.0
        assert max(times) - min(times) > 1.0
        assert len(set(times)) == 100

    def test_spread_is_bounded(self) -> None:
        latest = target_notices.find_retry_at(0.0, 1e6, 1.0)
        assert latest <= 1e6 + target_notices.MAX_RETRY_SPREAD_SECONDS

    def test_callers_return_soon_if_all_targets_leave(self) -> None:
        for fraction in (0.0, 0.5, 1.0):
            retry_at = target_notices.find_retry_at(10.0, math.inf, fraction)
            assert 10.0 < retry_at < 11.0


class TestBound:
    def test_number_of_targets_is_bounded(self) -> None:
        table = target_notices.NoticeTable("vm-1")
        for index in range(target_notices.MAX_TARGETS + 100):
            table.record_leaving(float(index), build_entry(f"t-{index}"))
        assert len(table) == target_notices.MAX_TARGETS
        newest = build_entry(f"t-{target_notices.MAX_TARGETS + 99}")
        assert table.is_leaving(newest)

    def test_notices_without_effect_are_dropped_first(self) -> None:
        table = target_notices.NoticeTable("vm-1")
        table.record_leaving(0.0, build_entry("leaves"))
        for index in range(target_notices.MAX_TARGETS - 1):
            table.record_declined(0.0, build_entry(f"t-{index}"), 0.5)
        table.record_declined(100.0, build_entry("declines"), 200.0)
        assert len(table) == 2
        assert table.is_leaving(build_entry("leaves"))
        assert not table.may_send(100.0, build_entry("declines"))

    def test_problem_is_new_only_once(self) -> None:
        table = target_notices.NoticeTable("vm-1")
        entry = build_entry()
        assert table.record_problem(0.0, entry, "Retry-After: soon")
        assert not table.record_problem(1.0, entry, "Retry-After: soon")
        assert table.record_problem(2.0, entry, "Retry-After: later")
        assert table.may_send(3.0, entry)
