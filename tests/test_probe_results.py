"""Which targets are probed, and what probe results change."""

import dataclasses

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from wigeonspool.core import actions
from wigeonspool.core import dispatcher
from wigeonspool.core import health
from wigeonspool.core import tables
from wigeonspool.model import entities
from wigeonspool.model import probe_messages

OK = probe_messages.ProbeState.OK
DRAINING = probe_messages.ProbeState.DRAINING
FAILING = probe_messages.ProbeState.FAILING
GOOD = tables.Result(tables.ResultKind.ANSWERED)
REPORTS_DRAINING = tables.Result(tables.ResultKind.NOT_RUN, draining=True)
REFUSED = tables.Result(tables.ResultKind.NOT_RUN, connection_refused=True)


def list_targets(drained: bool = False) -> tuple[entities.Target, ...]:
    return tuple(
        entities.Target(f"t{n}:1", "zone-0", drained and n == 0)
        for n in range(3)
    )


class Scene:
    """One gateway; target t0 responds as a test sets it, the others succeed."""

    def __init__(self) -> None:
        self.core = dispatcher.Dispatcher("zone-0")
        self.pool = entities.Pool("queue", 4, list_targets())
        self.core.configure([self.pool])
        self.now = 0.0
        self.last_request_id = 0
        self.trials: list[float] = []

    @property
    def target(self) -> tables.TargetRow:
        return self.core.list_targets("queue")[0]

    def send(self, result: tables.Result) -> None:
        """Sends requests to all targets that may receive work, and ends them.

        Args:
            result: Result of the attempts at t0; the others succeed.
        """
        started = []
        for _ in range(12):
            self.last_request_id += 1
            row = tables.RequestRow(
                self.last_request_id, "queue", "read", self.now + 1e6, True
            )
            started += self.core.submit(self.now, row)
        for action in started:
            assert isinstance(action, actions.Send)
            attempt_result = GOOD
            if action.target == "t0:1":
                self.trials.append(self.now)
                attempt_result = result
            self.finish(action, attempt_result)

    def finish(self, action: actions.Send, result: tables.Result) -> None:
        pending_actions = self.core.handle_result(
            self.now, action.request_id, action.target, result
        )
        for next_action in pending_actions:
            if isinstance(next_action, actions.Send):
                assert next_action.target != "t0:1"
                self.finish(next_action, GOOD)

    def probe(self, state: probe_messages.ProbeState) -> None:
        result = probe_messages.ProbeResult(0, "queue", "t0:1", state)
        self.core.handle_probe_result(self.now, result)

    def advance(self, seconds: float) -> None:
        self.now += seconds
        self.core.tick(self.now)


class TestProbeTargets:
    def test_reported_draining_is_probed_but_configured_draining_is_not(
        self,
    ) -> None:
        scene = Scene()
        assert scene.core.list_probe_targets(scene.now) == {}
        scene.send(REPORTS_DRAINING)
        assert scene.core.list_probe_targets(scene.now) == {"queue": ("t0:1",)}
        drained = dataclasses.replace(scene.pool, targets=list_targets(True))
        scene.core.configure([drained])
        assert scene.core.list_probe_targets(scene.now) == {}

    def test_short_ejection_is_not_probed(self) -> None:
        scene = Scene()
        scene.send(REFUSED)
        assert scene.target.state is tables.TargetState.EJECTED
        assert scene.core.list_probe_targets(scene.now) == {}


class TestReportedDraining:
    def test_target_that_becomes_ready_is_restored_immediately(self) -> None:
        scene = Scene()
        scene.send(REPORTS_DRAINING)
        scene.advance(1.0)
        scene.probe(DRAINING)
        scene.advance(4.0)
        scene.probe(OK)
        scene.advance(0.01)
        scene.send(GOOD)
        assert scene.trials[-1] == scene.now
        scene.send(GOOD)
        scene.send(GOOD)
        assert scene.target.health == tables.HealthRow(
            concurrency_limit=tables.UNLIMITED,
            unavailable_since=0.0,
            probe_failed=True,
            score=scene.target.health.score,
        )

    def test_early_ok_of_a_lagging_endpoint_is_ignored(self) -> None:
        scene = Scene()
        scene.send(REPORTS_DRAINING)
        for _ in range(29):
            scene.advance(1.0)
            scene.probe(OK)
        assert scene.target.state is tables.TargetState.DRAINING

    def test_target_that_stays_draining_gets_no_requests(self) -> None:
        scene = Scene()
        scene.send(REPORTS_DRAINING)
        count = len(scene.trials)
        for _ in range(290):
            scene.advance(1.0)
            scene.probe(DRAINING)
            scene.send(GOOD)
        assert len(scene.trials) == count

    def test_target_that_reports_draining_forever_is_tried_again(self) -> None:
        scene = Scene()
        scene.send(REPORTS_DRAINING)
        count = len(scene.trials)
        for _ in range(310):
            scene.advance(1.0)
            scene.probe(DRAINING)
            scene.send(GOOD)
        assert len(scene.trials) > count
        assert scene.target.state is tables.TargetState.SERVING

    def test_draining_ends_on_time_without_probes(self) -> None:
        scene = Scene()
        scene.send(REPORTS_DRAINING)
        scene.advance(health.DRAINING_SECONDS - 0.1)
        assert scene.target.state is tables.TargetState.DRAINING
        scene.advance(0.2)
        assert scene.target.state is tables.TargetState.SERVING

    def test_end_of_reported_draining_does_not_undo_the_configuration(
        self,
    ) -> None:
        """The operators drained the target too, so it stays drained."""
        scene = Scene()
        drained = dataclasses.replace(scene.pool, targets=list_targets(True))
        scene.send(REPORTS_DRAINING)
        scene.core.configure([drained])
        scene.advance(health.DRAINING_SECONDS + 0.1)
        assert scene.target.state is tables.TargetState.DRAINING
        scene.core.configure([scene.pool])
        assert scene.target.state is tables.TargetState.SERVING


class TestEjected:
    def test_trial_is_postponed_up_to_a_bound(self) -> None:
        scene = Scene()
        scene.send(REFUSED)
        scene.probe(FAILING)
        for _ in range(29):
            scene.advance(1.0)
            scene.probe(FAILING)
            assert scene.target.state is tables.TargetState.EJECTED
        scene.advance(1.1)
        assert scene.target.state is tables.TargetState.SERVING

    def test_trial_is_not_postponed_while_most_of_the_pool_is_unavailable(
        self,
    ) -> None:
        scene = Scene()
        scene.send(REFUSED)
        for row in scene.core.list_targets("queue")[1:]:
            row.state = tables.TargetState.EJECTED
        scene.probe(FAILING)
        scene.advance(health.EJECTION_SECONDS + 0.01)
        assert scene.target.state is tables.TargetState.SERVING


def count_trials(
    first: tables.Result,
    steps: list[tuple[float, probe_messages.ProbeState | None]],
    probed: bool,
) -> list[float]:
    """Returns the times of trials of a target that never succeeds."""
    scene = Scene()
    scene.send(first)
    for passed, state in steps:
        scene.advance(passed)
        scene.send(first)
        if probed and state is not None:
            scene.probe(state)
            scene.advance(0.0)
            scene.send(first)
    return scene.trials


class TestWrongProbeResults:
    @pytest.mark.parametrize("first", [REPORTS_DRAINING, REFUSED])
    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(
        steps=strategies.lists(
            strategies.tuples(
                strategies.sampled_from([0.05, 0.3, 1.0, 7.0, 20.0]),
                strategies.sampled_from([None, OK, OK, DRAINING, FAILING]),
            ),
            max_size=60,
        )
    )
    def test_no_probe_results_add_more_than_one_trial(
        self,
        first: tables.Result,
        steps: list[tuple[float, probe_messages.ProbeState | None]],
    ) -> None:
        without_probes = count_trials(first, steps, False)
        with_probes = count_trials(first, steps, True)
        # The trial that a probe advanced replaces the next regular one.
        for later, at in zip(without_probes, with_probes[1:], strict=False):
            assert at >= later
        assert len(with_probes) <= len(without_probes) + 1
