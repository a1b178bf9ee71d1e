"""Which requests are refused on submission, and which are sent."""

import pytest

from wigeonspool.core import actions
from wigeonspool.core import admission
from wigeonspool.core import dispatcher
from wigeonspool.core import service_times
from wigeonspool.core import tables
from wigeonspool.model import entities
from wigeonspool.model import outcomes

SERVICE_SECONDS = 0.1


def build_request(
    number: int, deadline: float, priority: int = 0
) -> tables.RequestRow:
    return tables.RequestRow(
        number, "queue", "read", deadline, idempotent=True, priority=priority
    )


class TestAdmission:
    @pytest.mark.parametrize(
        ("remaining", "wait", "priority", "admitted"),
        [
            (1.0, 0.29, 0, True),
            (1.0, 0.31, 0, False),
            (1.0, 0.16, 1, False),
            (1.0, 0.14, 1, True),
            (0.05, 0.0, 0, False),
            (0.2, 0.0, 9, True),
        ],
    )
    def test_wait_and_service_time_must_fit_the_time_left(
        self, remaining: float, wait: float, priority: int, admitted: bool
    ) -> None:
        request = build_request(1, 10.0 + remaining, priority)
        request.expected_seconds = SERVICE_SECONDS
        admits = admission.can_finish(10.0, request, 4 * SERVICE_SECONDS, wait)
        assert admits is admitted


class TestRefusal:
    """One target with one slot; the route is known to take 0.1 s."""

    @pytest.fixture
    def core(self) -> dispatcher.Dispatcher:
        core = dispatcher.Dispatcher("zone-0")
        targets = (entities.Target("t0:1", "zone-0"),)
        core.configure([entities.Pool("queue", 1, targets)])
        core.submit(0.0, build_request(1, 10.0))
        result = tables.Result(tables.ResultKind.ANSWERED)
        core.handle_result(SERVICE_SECONDS, 1, "t0:1", result)
        return core

    def test_unreachable_deadline_is_reported_as_not_run(
        self, core: dispatcher.Dispatcher
    ) -> None:
        failure = outcomes.build_refusal(outcomes.Reason.DEADLINE_UNREACHABLE)
        pending_actions = core.submit(1.0, build_request(2, 1.05))
        assert pending_actions == [actions.Settle(2, failure)]

    def test_queued_request_that_would_be_late_is_not_sent(
        self, core: dispatcher.Dispatcher
    ) -> None:
        core.submit(1.0, build_request(2, 9.0))
        assert core.submit(1.0, build_request(3, 1.5)) == []
        result = tables.Result(tables.ResultKind.ANSWERED)
        pending_actions = core.handle_result(1.45, 2, "t0:1", result)
        failure = outcomes.build_refusal(outcomes.Reason.DEADLINE_UNREACHABLE)
        assert pending_actions == [
            actions.Settle(2, None),
            actions.Settle(3, failure),
        ]

    def test_lost_attempt_is_not_reported_as_not_run(
        self, core: dispatcher.Dispatcher
    ) -> None:
        core.submit(1.0, build_request(2, 1.15))
        lost = tables.Result(tables.ResultKind.LOST)
        failure = outcomes.build_unknown_outcome(
            outcomes.Reason.DEADLINE_UNREACHABLE
        )
        pending_actions = core.handle_result(1.1, 2, "t0:1", lost)
        assert pending_actions == [actions.Settle(2, failure)]


class TestRouteTimes:
    """The mean service time of a route after a few responses."""

    def test_first_response_does_not_dominate_the_mean(self) -> None:
        times = service_times.RouteServiceTimes()
        for seconds in (0.001, 0.020, 0.020, 0.020):
            times.record(seconds)
        assert times.mean == pytest.approx(0.01525)
