"""Explanations of decisions, in the core and on the timeline."""

import itertools

import pytest

from tests import fleet as fleets
from wigeonspool import eventlog
from wigeonspool.core import dispatcher
from wigeonspool.core import explanations
from wigeonspool.core import tables
from wigeonspool.core import target_index
from wigeonspool.gateway import decision_log
from wigeonspool.model import entities
from wigeonspool.model import events
from wigeonspool.model import outcomes
from wigeonspool.operator import timeline_formats

ANSWERED = tables.Result(tables.ResultKind.ANSWERED)
FAILED = tables.Result(tables.ResultKind.FAILED)
REFUSED = tables.Result(tables.ResultKind.NOT_RUN, connection_refused=True)
Verdict = explanations.Verdict


class Core:
    """A dispatcher that records its explanations."""

    def __init__(self, *targets: entities.Target, slots: int = 2) -> None:
        self.recorded: list[explanations.Explanation] = []
        self.dispatcher = dispatcher.Dispatcher("here")
        self.dispatcher.on_explained = self.recorded.append
        self.dispatcher.set_near_zones(["here", "near"])
        self.dispatcher.configure([entities.Pool("queue", slots, targets)])
        self._numbers = itertools.count(1)

    def submit(
        self, deadline: float = 9.0, pool: str = "queue", sampled: bool = True
    ) -> tables.RequestRow:
        number = next(self._numbers)
        row = tables.RequestRow(number, pool, "read", deadline, True)
        row.sample_id = f"read-{number}" if sampled else ""
        self.dispatcher.submit(0.5, row)
        return row

    def finish(self, row: tables.RequestRow, result: tables.Result) -> None:
        self.dispatcher.handle_result(0.6, row.request_id, row.target, result)

    def read_verdicts(self) -> dict[str, Verdict]:
        return {c.address: c.verdict for c in self.recorded[-1].candidates}


def build_own(*names: str) -> list[entities.Target]:
    return [entities.Target(name, "here") for name in names]


class TestExplanation:
    def test_choice_explains_why_each_other_target_was_passed_over(
        self,
    ) -> None:
        drained = entities.Target("drained", "here", drained=True)
        near = entities.Target("near", "near")
        core = Core(*build_own("a", "b", "c", "d"), drained, near)
        # One request each runs at a and b. Target c refuses the third request
        # and is ejected.
        for _ in range(2):
            core.submit(sampled=False)
        core.finish(core.submit(sampled=False), REFUSED)
        assert core.recorded == []
        core.submit()
        explanation = core.recorded[-1]
        assert explanation.request == "read-4"
        assert explanation.decision is explanations.Decision.SENT
        assert explanation.cause is explanations.Cause.MOST_FREE
        assert explanation.candidates[0].address == explanation.target
        assert core.read_verdicts() == {
            "a": Verdict.CHOSEN,
            "b": Verdict.EQUAL,
            "d": Verdict.EQUAL,
            "c": Verdict.EJECTED,
            "drained": Verdict.DRAINING,
            "near": Verdict.FARTHER,
        }
        counts = dict(zip(target_index.Group, explanation.groups, strict=True))
        assert counts.pop(target_index.Group.OWN) == (3, 5)
        assert counts.pop(target_index.Group.NEAR) == (1, 1)
        assert set(counts.values()) == {(0, 0)}

    def test_retry_names_the_target_that_failed(self) -> None:
        core = Core(*build_own("a", "b"))
        row = core.submit()
        first = row.target
        core.finish(row, FAILED)
        assert core.recorded[-1].attempt == 2
        verdicts = core.read_verdicts()
        assert verdicts.pop(row.target) is Verdict.CHOSEN
        assert verdicts == {first: Verdict.FAILED_REQUEST}

    def test_only_target_is_used_for_the_retry(self) -> None:
        core = Core(*build_own("a"))
        core.finish(core.submit(), FAILED)
        assert core.recorded[-1].cause is explanations.Cause.NO_OTHER

    def test_queued_request_explains_which_target_was_full(self) -> None:
        core = Core(*build_own("a"), slots=1)
        first = core.submit()
        core.submit()
        core.submit(deadline=9.5)
        assert [t.cause for t in core.recorded] == [
            explanations.Cause.MOST_FREE,
            explanations.Cause.NO_FREE_SLOT,
            explanations.Cause.EARLIER_DEADLINES,
        ]
        assert core.read_verdicts() == {"a": Verdict.FULL}
        core.finish(first, ANSWERED)
        explanation = core.recorded[-1]
        assert (explanation.request, explanation.target) == ("read-2", "a")
        assert explanation.waited == pytest.approx(0.1)

    def test_refusals_contain_their_reason(self) -> None:
        core = Core(*build_own("a"), slots=1)
        core.submit(pool="none")
        core.submit(deadline=0.1)
        core.submit()
        core.submit()
        core.dispatcher.refuse_queued(0.7)
        refused = [t for t in core.recorded if t.reason is not None]
        assert [t.reason for t in refused] == [
            outcomes.Reason.NOT_CONFIGURED,
            outcomes.Reason.DEADLINE_PASSED,
            outcomes.Reason.DRAINING,
        ]
        assert refused[0].candidates == ()
        assert refused[2].candidates[0].verdict is Verdict.FULL

    def test_candidates_are_bounded(self) -> None:
        core = Core(*build_own(*(f"t{i}" for i in range(100))))
        core.submit()
        assert len(core.recorded[0].candidates) == explanations.MAX_CANDIDATES
        assert core.recorded[0].groups[0] == (100, 100)


class TestTargetIndex:
    def test_demoted_target_is_found_only_in_the_reserve(self) -> None:
        index = target_index.TargetIndex()
        row = tables.TargetRow("a", "here", slots=2, limit=2)
        row.health.demoted = True
        index.update(row)
        assert index.choose(frozenset()) is None
        reserve = target_index.Group.RESERVE
        assert index.choose(frozenset(), reserve, reserve) is row


class TestSampler:
    @pytest.mark.parametrize("fraction", [0.0, 0.01, 0.3, 1.0])
    def test_sampled_fraction_is_as_configured(self, fraction: float) -> None:
        sampler = decision_log.DecisionSampler(fraction)
        sampled_count = sum(sampler.should_sample() for _ in range(100_000))
        assert sampled_count == pytest.approx(fraction * 100_000, rel=0.1)


class TestEventRing:
    def test_request_events_do_not_evict_decisions(self) -> None:
        log = eventlog.EventLog("vm-0-0")
        log.record_decision(events.Kind.TARGET_CHOSEN, "a", "t", {})
        for _ in range(events.MAX_REQUEST_EVENTS + 1):
            log.record(events.Kind.REQUEST_SENT, "b")
        remaining = log.ring.list_events(events.Filter(request="a"))
        assert [e.kind for e in remaining] == [events.Kind.TARGET_CHOSEN]


class TestGateway:
    async def test_decision_on_a_read_is_on_the_timeline(self) -> None:
        fleet = fleets.Fleet(explained_fraction=1.0)
        try:
            await fleet.start(1)
            target = await fleet.start_target()
            await fleet.apply(fleet.build_document())
            url = f"http://{fleet.addresses['vm-0']}/queue/1"
            fields = {"Wigeonspool-Request": "read-1"}
            async with fleet.session.get(url, headers=fields) as response:
                assert response.status == 200
            ring = fleet.gateways["vm-0"]._log.ring
            timeline_events = ring.list_events(events.Filter(request="read-1"))
        finally:
            await fleet.stop()
        assert [e.kind for e in timeline_events] == [
            events.Kind.REQUEST_RECEIVED,
            events.Kind.TARGET_CHOSEN,
            events.Kind.REQUEST_SENT,
            events.Kind.REQUEST_SETTLED,
        ]
        assert timeline_events[1].target == target.address
        assert timeline_events[1].detail["why"] == "most-free-slots"
        lines = timeline_formats.format_event(timeline_events[1]).splitlines()
        assert len(lines) == 2
        assert lines[1].startswith(f"    {target.address} ")
        assert lines[1].endswith(" free: chosen")
