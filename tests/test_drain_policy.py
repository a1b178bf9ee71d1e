"""Tests until when requests may start while a VM prepares to stop."""

import math

import pytest

from wigeonspool.core import drain_policy

STARTED_AT = 100.0
GRACE_SECONDS = 10.0
SCHEDULE = drain_policy.build_schedule(STARTED_AT, GRACE_SECONDS)
SHORT_SECONDS = 0.1
LONG_SECONDS = 3.0


class TestSchedule:
    def test_times_are_ordered_and_end_before_the_kill(self) -> None:
        times = [
            STARTED_AT,
            SCHEDULE.unrestricted_until,
            SCHEDULE.accept_until,
            SCHEDULE.start_until,
            SCHEDULE.finish_at,
            SCHEDULE.close_by,
            STARTED_AT + GRACE_SECONDS,
        ]
        assert times == sorted(set(times))

    # The platform excuses only requests that still run in the last sixth of
    # the grace period.
    def test_nothing_is_aborted_before_the_last_sixth(self) -> None:
        assert SCHEDULE.finish_at > STARTED_AT + GRACE_SECONDS * 5 / 6


class TestLatestStart:
    """Guards against requests that are sent to a target and then aborted."""

    @pytest.mark.parametrize(
        ("elapsed_seconds", "baseline_seconds", "deadline_seconds", "starts"),
        [
            # At first, all requests start.
            (0.0, SHORT_SECONDS, 60.0, True),
            (5.0, LONG_SECONDS, 60.0, True),
            # Then only those that end in time, even on a slow target.
            (5.1, LONG_SECONDS, 60.0, False),
            (5.1, SHORT_SECONDS, 60.0, True),
            (8.1, SHORT_SECONDS, 60.0, True),
            (8.3, SHORT_SECONDS, 60.0, False),
            # At the end, none that may still run.
            (8.9, 0.0, 60.0, False),
            # A request whose caller gives up before the end is never cut.
            (8.9, LONG_SECONDS, 9.1, True),
            (8.9, LONG_SECONDS, 9.3, False),
        ],
    )
    def test_request_starts_only_if_it_ends_in_time(
        self,
        elapsed_seconds: float,
        baseline_seconds: float,
        deadline_seconds: float,
        starts: bool,
    ) -> None:
        latest_start = drain_policy.find_latest_start(
            SCHEDULE, baseline_seconds, STARTED_AT + deadline_seconds
        )
        assert (STARTED_AT + elapsed_seconds <= latest_start) is starts

    def test_there_is_no_limit_without_a_stop(self) -> None:
        latest_start = drain_policy.find_latest_start(None, 9.0, math.inf)
        assert latest_start == math.inf
