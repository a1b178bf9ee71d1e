"""Tests until when requests may start while a VM prepares to stop."""

import math

import pytest

from wigeonspool.core import drain_policy

STARTED_AT = 100.0
GRACE_SECONDS = 10.0
SCHEDULE = drain_policy.build_schedule(STARTED_AT, GRACE_SECONDS)
# Time from a caller to a VM.
WAY_SECONDS = 0.003


class TestSchedule:
    def test_times_are_ordered_and_end_before_the_kill(self) -> None:
        times = [
            STARTED_AT,
            SCHEDULE.unrestricted_until,
            SCHEDULE.accept_until,
            SCHEDULE.read_until,
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
        ("elapsed_seconds", "deadline_seconds", "starts"),
        [
            # At first, all requests start.
            (0.0, 60.0, True),
            (2.7, 60.0, True),
            # Then only those that end before the process in any case.
            (3.0, 60.0, False),
            (3.0, 9.3, False),
            (3.0, 9.1, True),
            (5.1, 9.1, True),
            (8.9, 9.1, True),
            (8.9, 9.3, False),
        ],
    )
    def test_request_starts_only_if_it_ends_in_time(
        self, elapsed_seconds: float, deadline_seconds: float, starts: bool
    ) -> None:
        latest_start = drain_policy.find_latest_start(
            SCHEDULE, STARTED_AT + deadline_seconds
        )
        assert (STARTED_AT + elapsed_seconds <= latest_start) is starts

    def test_there_is_no_limit_without_a_stop(self) -> None:
        assert drain_policy.find_latest_start(None, math.inf) == math.inf
        assert drain_policy.find_latest_read(None) == math.inf

    # Failure: with long grace periods, or on slow targets, requests that came
    # late in a stop were sent to targets and cut at its end. The platform
    # excuses a cut only if the request was sent within three seconds and its
    # target still worked in the last sixth of the grace period.
    @pytest.mark.parametrize("grace_seconds", [2.0, 6.0, 10.0, 30.0])
    @pytest.mark.parametrize("limit_seconds", [0.3, 1.5, 3.4, 4.8, 60.0])
    @pytest.mark.parametrize("work_seconds", [0.05, 0.5, 4.0, 60.0])
    def test_no_cut_request_breaks_the_rule_of_the_platform(
        self, grace_seconds: float, limit_seconds: float, work_seconds: float
    ) -> None:
        schedule = drain_policy.build_schedule(0.0, grace_seconds)
        for step in range(int(grace_seconds / 0.05)):
            sent_at = step * 0.05
            started_at = sent_at + WAY_SECONDS
            deadline = started_at + limit_seconds
            latest_start = drain_policy.find_latest_start(schedule, deadline)
            end = min(started_at + work_seconds, deadline)
            if started_at > latest_start or end <= schedule.finish_at:
                continue
            assert sent_at <= 3.0
            assert schedule.finish_at >= grace_seconds * 5 / 6

    @pytest.mark.parametrize("grace_seconds", [2.0, 6.0, 10.0, 30.0])
    @pytest.mark.parametrize("limit_seconds", [0.3, 1.5, 3.4])
    def test_request_that_ends_in_any_case_is_served(
        self, grace_seconds: float, limit_seconds: float
    ) -> None:
        schedule = drain_policy.build_schedule(0.0, grace_seconds)
        deadline = schedule.finish_at
        started_at = deadline - limit_seconds
        latest_start = drain_policy.find_latest_start(schedule, deadline)
        assert started_at <= latest_start
